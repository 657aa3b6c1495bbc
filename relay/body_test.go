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

// Guards against request bodies that exhaust the gateway's memory: a body beyond the budget is
// refused as not run, even while its caller is still sending, and its budget is released.
func TestBodiesBeyondBudgetAreRefused(t *testing.T) {
	entered, release := make(chan struct{}, 8), make(chan struct{})
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if r.URL.Path == "/once/held" {
			entered <- struct{}{}
			<-release
		}
		r.Respond("200 OK", "done")
	})
	r := newTestGatewayWithBudget(t, 256<<10, replica)
	body := strings.Repeat("x", 100<<10)
	firstResult := make(chan result, 1)
	go func() { firstResult <- r.post("/once/held", body) }()
	<-entered
	for range 3 {
		refused := r.post("/once/a", strings.Repeat("y", 900<<10))
		assert.NilError(t, refused.err)
		assert.Equal(t, refused.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(refused.body, string(units.QueueFull)), refused.body)
		assert.Assert(t, refused.header.Get("Retry-After") != "")
	}
	assert.Equal(t, r.post("/once/a", "short").status, http.StatusOK)
	close(release)
	assert.Equal(t, (<-firstResult).status, http.StatusOK)
	assert.Equal(t, totalRequests(replica), 2)
	for range 8 {
		assert.Equal(t, r.post("/once/a", body).status, http.StatusOK)
	}
}

// Guards against callers that announce a body and do not send it: they take little of the budget
// and get a response when their request times out.
func TestBodyThatDoesNotArrive(t *testing.T) {
	r := newTestGatewayWithBudget(t, 256<<10, startReplica(t, "one", func(r *fakes.Request) { r.Respond("200 OK", "done") }))
	header := fakes.RequestHeader("id-1", key, "", 500)
	for range 20 {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.httpServer.Listener.Addr().String())
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
