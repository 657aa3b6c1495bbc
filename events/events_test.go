package events_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/events"
)

// Guards against streams of comments that go on for ever, and against sound streams that end as comments between many events
// add up.
func TestCommentsAreBoundedBetweenEvents(t *testing.T) {
	var c events.Comments
	for range 10 {
		assert.NilError(t, c.Add(64<<10))
		c.Reset()
	}
	assert.NilError(t, c.Add(64<<10))
	assert.ErrorIs(t, c.Add(1), events.ErrNoProgress)
}
