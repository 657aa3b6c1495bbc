package coord

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
)

// Guards against a control loop that never sleeps: the time of the next tick of a
// client without requests overflowed, and an idle gateway used a whole core.
func TestWakeAfter(t *testing.T) {
	now := clock.Time(1000)
	assert.Equal(t, wakeAfter(now, rate.NewClient(1).NextTick()), maxWake.Duration())
	assert.Equal(t, wakeAfter(now, now.Add(20)), 20*time.Millisecond)
	assert.Equal(t, wakeAfter(now, now), time.Millisecond)
	assert.Equal(t, wakeAfter(now, 0), time.Millisecond)
}
