package clock_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
)

// Guards against loops that sleep on after their context is done.
func TestSleepEndsWithContext(t *testing.T) {
	assert.Assert(t, clock.Sleep(context.Background(), time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	begin := time.Now()
	assert.Assert(t, !clock.Sleep(ctx, time.Hour))
	assert.Assert(t, time.Since(begin) < 10*time.Second)
}

// Guards against a clock that stands still or starts at 0, which stands for never.
func TestBootClock(t *testing.T) {
	first := clock.Boot{}.Now()
	assert.Assert(t, first > 0)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, clock.Boot{}.Now().Sub(first) >= 15)
}
