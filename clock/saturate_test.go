package clock_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
)

// Guards against a span that overflows when it is added to a time or becomes a time.Duration, and against one that
// differs between processors.
func TestFromMilliseconds(t *testing.T) {
	for ms, want := range map[float64]clock.Span{
		0: 0, 0.9: 0, 4000.5: 4000, -1: 0, 1e308: clock.MaxSpan, -1e308: 0, math.Inf(1): clock.MaxSpan, math.Inf(-1): 0,
		math.NaN(): 0, 9.3e18: clock.MaxSpan,
	} {
		got := clock.FromMilliseconds(ms)
		assert.Equal(t, got, want, "%v", ms)
		assert.Assert(t, got.Duration() >= 0)
		assert.Assert(t, !clock.Time(1<<50).Add(got).Before(1<<50))
	}
}
