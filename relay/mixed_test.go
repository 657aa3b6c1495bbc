package relay_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against an answer that begins with the bytes of an attempt that broke off inside its first event.
func TestCutFirstEventIsNotPartOfNextAttempt(t *testing.T) {
	event := fakes.Event(1)
	for cut := 1; cut < len(event); cut++ {
		var requests atomic.Int64
		script := func(r *fakes.Request) {
			if requests.Add(1) > 1 {
				r.Stream(1, 3, true)
				return
			}
			r.Stream(1, 0, false)
			r.Chunk(event[:cut])
			r.CloseConnection()
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.NilError(t, got.err, "cut at %d", cut)
		assert.Equal(t, got.body, eventRange(1, 3), "cut at %d", cut)
		assert.Equal(t, requests.Load(), int64(2), "cut at %d", cut)
	}
}
