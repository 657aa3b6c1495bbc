package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
)

// Guards against averages that follow a change in demand too slowly, and against demand that
// remains for targets without requests.
func TestMeterFollowsDemand(t *testing.T) {
	m := place.NewMeter(0)
	now := clock.Time(0)
	reportSecond := func(tokens int) place.Demand {
		now = now.Add(clock.Second)
		m.Add(now, "g1", "m", 0, 0)
		m.Add(now, "g2", "m", 0, 0)
		if tokens > 0 {
			m.Add(now, "g1", "m", 40, 0)
			m.Add(now, "g2", "m", 60, 0)
		}
		return m.Demand(now)["m"]
	}
	var d place.Demand
	for range 30 {
		d = reportSecond(100)
	}
	assert.Assert(t, d.ShortTerm > 90 && d.ShortTerm < 101, "%v", d)
	assert.Assert(t, d.LongTerm > 5 && d.LongTerm < 15, "%v", d)
	now = now.Add(clock.Second)
	m.Add(now, "g1", "m", 1000, 0)
	assert.Assert(t, m.Demand(now)["m"].ShortTerm > 170)
	now = now.Add(2 * clock.Hour)
	m.Demand(now)
	assert.Equal(t, len(m.Demand(now)), 0)
}

// Guards against requests that count as waiting forever because the last message of their
// gateway was lost.
func TestMeterExpiresWaiting(t *testing.T) {
	m := place.NewMeter(0)
	m.Add(1000, "g1", "m", 0, 2)
	m.Add(1500, "g2", "m", 0, 3)
	m.Add(2000, "g2", "m", 0, 1)
	assert.Equal(t, m.Demand(2000)["m"].Waiting, 3)
	assert.Equal(t, m.Demand(4500)["m"].Waiting, 1)
	m.Add(4600, "g2", "m", 0, 0)
	assert.Equal(t, m.Demand(4700)["m"].Waiting, 0)
}
