package agent_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/wire"
)

// Guards against calls to an upstream within the pause that it asked for, and against callers that don't learn
// how long it is.
func TestPausedUpstreamGetsNoCalls(t *testing.T) {
	var calls, limited atomic.Int64
	ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/limited":
			limited.Add(1)
			w.Header().Set("Retry-After", "600")
			w.WriteHeader(http.StatusTooManyRequests)
		case calls.Add(1) == 1:
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("done"))
		}
	}), nil)
	call := func(id, path string) *callResult {
		return readResponse(t, ta.call(&wire.Call{Attempt: id, Kind: "service", Path: path, Method: http.MethodGet, Idempotent: true}))
	}
	assert.Assert(t, call("limited", "/limited").done != nil, "a service's 429 may concern one customer")
	assert.Equal(t, call("first", "/x").head.GetStatus(), uint32(http.StatusServiceUnavailable))
	paused := time.Now()
	for i := range 5 {
		refused := call(fmt.Sprint("paused", i), "/x").refuse
		assert.Equal(t, refused.GetCode(), "queue_full")
		assert.Assert(t, !refused.Ran && refused.Wait > 0 && refused.Wait <= 1000)
	}
	assert.Equal(t, calls.Load(), int64(1))
	time.Sleep(time.Second - time.Since(paused) + 50*time.Millisecond)
	assert.Assert(t, call("after", "/x").done != nil)
	assert.Equal(t, calls.Load(), int64(2))
}
