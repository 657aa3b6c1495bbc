package vmlist_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/vmlist"
)

// Guards against a copy of the answer to an earlier poll, written right after the next one was read, that counts as a list of
// the later moment: it may lack a VM that has started in between.
func TestCopyIsNotAnswerOfNextPoll(t *testing.T) {
	server, err := raw.StartCopying(func(*raw.Request) string {
		return raw.Answer(http.StatusOK, fmt.Sprintf(`[{"id":"%d","role":"entry","state":"live","address":"127.0.0.1:1"}]`, clock.System{}.Now()))
	})
	assert.NilError(t, err)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	c := vmlist.New(vmlist.Options{Address: server.Addr(), Interval: 50 * clock.Millisecond})
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
