package vmlist_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/vmlist"
)

// Guards against a copy of the answer to an earlier poll, written right after the next one was read, that counts as a list of
// the later moment: it may lack a VM that has started in between.
func TestCopyIsNotAnswerOfNextPoll(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	serve := func(c net.Conn) {
		defer c.Close()
		previous := ""
		for r := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			body := fmt.Sprintf(`[{"id":"%d"}]`, clock.System{}.Now())
			_, _ = io.WriteString(c, previous)
			previous = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(c, previous)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	c := vmlist.New(vmlist.Options{Address: l.Addr().String(), Interval: 50 * clock.Millisecond})
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	for range 5 {
		list := <-c.Updates()
		readAt, err := strconv.ParseInt(string(list.VMs[0].ID), 10, 64)
		assert.NilError(t, err)
		assert.Check(t, clock.Time(readAt) >= list.RequestedAt, "list of %d counts as one of %d", readAt, list.RequestedAt)
	}
	cancel()
	assert.NilError(t, <-ended)
}
