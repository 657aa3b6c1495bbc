package pace_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/pace"
)

// Guards against prompts that count until the next digest although they were read long before.
func TestPromptsAreReadAtTheRate(t *testing.T) {
	var p pace.Prompts
	p.Add(1000, 800, 20)
	p.Add(1010, 400, 20)
	assert.Equal(t, int(p.Left(1010, 20)), 1000)
	assert.Equal(t, int(p.Left(1030, 20)), 600)
	assert.Equal(t, int(p.Left(1100, 20)), 0)
}

// Guards against stops that show only once they are over, and against those of long ago.
func TestStopsShowWhileTheyLast(t *testing.T) {
	var p pace.Stops
	p.Begin(1000)
	p.Event(1040, 40, 40)
	assert.Equal(t, p.Ms(1060, 40), 0.0)
	assert.Equal(t, p.Ms(1240, 40), 160.0)
	p.Event(1240, 200, 40)
	assert.Equal(t, p.Ms(1240, 40), 160.0)
	p.End()
	assert.Check(t, p.Ms(2000, 40) < 5)
}

// Guards against memory that is counted for good, or not at all until a digest shows it.
func TestFreshAmountsGiveWayToDigests(t *testing.T) {
	var f pace.SinceDigest
	f.Add(1000, 900, 200)
	assert.Equal(t, int(f.Left(1000, 200)), 900)
	assert.Check(t, f.Left(2200, 200) < 5)
}
