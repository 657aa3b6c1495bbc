package notice_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/units"
)

func ExampleBoard() {
	b := notice.NewBoard()
	p := notice.Process{Upstream: "engine-1", Start: 7}
	b.Record(1000, p, notice.Notice{Pause: 2 * clock.Second})
	fmt.Println(b.Accepts(2999, p), b.Pause(2999, p), b.Accepts(3000, p))
	b.Record(3000, p, notice.Notice{Leaving: true})
	fmt.Println(b.Accepts(9000, p), b.Accepts(9000, notice.Process{Upstream: "engine-1", Start: 8}))
	// Output:
	// false 1 true
	// false true
}

// Guards against a pause that a later answer shortens.
func TestLaterNoticeDoesNotShortenPause(t *testing.T) {
	b := notice.NewBoard()
	p := notice.Process{Upstream: "u"}
	assert.Assert(t, b.Record(0, p, notice.Notice{Pause: 5000}))
	assert.Assert(t, !b.Record(100, p, notice.Notice{Pause: 200}))
	assert.Equal(t, b.Pause(1000, p), clock.Span(4000))
	assert.Assert(t, b.Record(1000, p, notice.Notice{Pause: 9000}))
	assert.Equal(t, b.Pause(1000, p), clock.Span(9000))
}

// Guards against memory that grows with the upstreams that come and go, and against a belief that pauses that
// have ended displace.
func TestManyProcessesAreBounded(t *testing.T) {
	b := notice.NewBoard()
	leaving := notice.Process{Upstream: "leaving"}
	b.Record(1, leaving, notice.Notice{Leaving: true})
	for i := range 20_000 {
		b.Record(clock.Time(2+i), notice.Process{Upstream: units.UpstreamID(fmt.Sprint(i))}, notice.Notice{Pause: 10})
	}
	assert.Assert(t, b.Leaving(leaving))
}
