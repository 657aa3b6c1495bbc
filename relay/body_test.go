package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against bodies that use up the gateway's memory: one that finds no room is refused
// as not run, though its caller has more to send, and its room is free again afterwards.
func TestBodiesBeyondRoomAreRefused(t *testing.T) {
	entered, release := make(chan struct{}, 8), make(chan struct{})
	p := replica(t, "one", func(r *fakes.Request) {
		if r.URL.Path == "/once/held" {
			entered <- struct{}{}
			<-release
		}
		r.Answer("200 OK", "done")
	})
	r := newRoomyRig(t, 256<<10, p)
	body := strings.Repeat("x", 100<<10)
	ended := make(chan result, 1)
	go func() { ended <- r.post("/once/held", body) }()
	<-entered
	for range 3 {
		got := r.post("/once/a", strings.Repeat("y", 900<<10))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(units.QueueFull)), got.body)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, r.post("/once/a", "short").status, http.StatusOK)
	close(release)
	assert.Equal(t, (<-ended).status, http.StatusOK)
	assert.Equal(t, total(p), 2)
	for range 8 {
		assert.Equal(t, r.post("/once/a", body).status, http.StatusOK)
	}
}

// Guards against callers that announce a body and do not send it: they hold little and
// are answered at the time limit of their request.
func TestBodyThatDoesNotArrive(t *testing.T) {
	r := newRoomyRig(t, 256<<10, replica(t, "one", func(r *fakes.Request) { r.Answer("200 OK", "done") }))
	header := fakes.Ask("id-1", key, "", 500)
	for range 20 {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.web.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: %s\r\nContent-Length: 900000\r\n", fakes.Host)
		assert.NilError(t, header.Write(c))
		fmt.Fprint(c, "\r\nbegin")
		defer func() {
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			defer res.Body.Close()
			_, err = io.Copy(io.Discard, res.Body)
			assert.NilError(t, err)
			assert.Assert(t, res.StatusCode >= 400)
		}()
	}
	assert.Equal(t, r.post("/once/b", strings.Repeat("x", 20<<10)).status, http.StatusOK)
}
