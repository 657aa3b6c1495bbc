package admit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/admit"
	"github.com/magnolialever/magnolialever/clock"
)

// Guards against overloading a cold upstream: the limit always equals that of a simple model,
// which follows successful requests, cold reports and latency jumps.
func TestColdStartLimitMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		initial := rapid.IntRange(1, 2).Draw(t, "start")
		ceiling := rapid.IntRange(initial, 12).Draw(t, "full")
		limit := admit.NewColdStartLimit(initial, ceiling)
		type coldRequest struct {
			slot      admit.ColdStartSlot
			sameEpoch bool
		}
		var inFlight []coldRequest
		current, cold, samples := initial, false, 0
		resetModel := func() {
			current, samples = initial, 0
			for i := range inFlight {
				inFlight[i].sameEpoch = false
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				slot, ok := limit.Take()
				assert.Equal(t, ok, len(inFlight) < current || current == ceiling)
				if ok {
					inFlight = append(inFlight, coldRequest{slot, true})
				}
			},
			"release": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "flight")
				success := rapid.Bool().Draw(t, "success")
				limit.Release(inFlight[i].slot, success)
				if success && inFlight[i].sameEpoch && !cold {
					current = min(current+1, ceiling)
				}
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			},
			"report": func(t *rapid.T) {
				cold = rapid.Bool().Draw(t, "cold")
				limit.SetCold(cold)
				if cold {
					resetModel()
				}
			},
			"first": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				f := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "flight")]
				if !f.sameEpoch {
					limit.RecordFirstToken(f.slot, 10*clock.Second)
					return
				}
				jump := rapid.Bool().Draw(t, "jump") && samples >= 8
				if jump {
					limit.RecordFirstToken(f.slot, 5*clock.Second)
					resetModel()
					return
				}
				limit.RecordFirstToken(f.slot, 50)
				samples++
			},
			"": func(t *rapid.T) {
				want := current
				if current == ceiling {
					want = 0
				}
				assert.Equal(t, limit.Limit(), want)
				assert.Equal(t, limit.Running(), len(inFlight))
			},
		})
	})
}
