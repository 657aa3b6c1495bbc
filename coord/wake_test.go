package coord

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
)

// Guards against a busy loop: the delay until the next tick of an idle client overflowed, and an
// idle gateway used a whole core.
func TestWakeDelay(t *testing.T) {
	now := clock.Time(1000)
	assert.Equal(t, wakeDelay(now, rate.NewClient(1).NextTick()), maxWakeDelay.Duration())
	assert.Equal(t, wakeDelay(now, now.Add(20)), 20*time.Millisecond)
	assert.Equal(t, wakeDelay(now, now), time.Millisecond)
	assert.Equal(t, wakeDelay(now, 0), time.Millisecond)
}
