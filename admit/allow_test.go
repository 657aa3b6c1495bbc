package admit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
)

// Guards against a cold upstream that gets more than it bears: no start exceeds
// the allowance that a plain model computes from successes, reports and jumps.
func TestAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.IntRange(1, 2).Draw(t, "start")
		full := rapid.IntRange(start, 12).Draw(t, "full")
		a := admit.NewColdStartLimit(start, full)
		type flight struct {
			ticket admit.ColdStartSlot
			fresh  bool
		}
		var flights []flight
		allowed, cold, steady := start, false, 0
		fall := func() {
			allowed, steady = start, 0
			for i := range flights {
				flights[i].fresh = false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				k, ok := a.Take()
				assert.Equal(t, ok, len(flights) < allowed || allowed == full)
				if ok {
					flights = append(flights, flight{k, true})
				}
			},
			"release": func(t *rapid.T) {
				if len(flights) == 0 {
					return
				}
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				success := rapid.Bool().Draw(t, "success")
				a.Release(flights[i].ticket, success)
				if success && flights[i].fresh && !cold {
					allowed = min(allowed+1, full)
				}
				flights = append(flights[:i], flights[i+1:]...)
			},
			"report": func(t *rapid.T) {
				cold = rapid.Bool().Draw(t, "cold")
				a.SetCold(cold)
				if cold {
					fall()
				}
			},
			"first": func(t *rapid.T) {
				if len(flights) == 0 {
					return
				}
				f := flights[rapid.IntRange(0, len(flights)-1).Draw(t, "flight")]
				if !f.fresh {
					a.RecordFirstToken(f.ticket, 10*clock.Second)
					return
				}
				jump := rapid.Bool().Draw(t, "jump") && steady >= 8
				if jump {
					a.RecordFirstToken(f.ticket, 5*clock.Second)
					fall()
					return
				}
				a.RecordFirstToken(f.ticket, 50)
				steady++
			},
			"": func(t *rapid.T) {
				want := allowed
				if allowed == full {
					want = 0
				}
				assert.Equal(t, a.Limit(), want)
				assert.Equal(t, a.Running(), len(flights))
			},
		})
	})
}
