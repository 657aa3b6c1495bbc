package syncer

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// isolationSpan is the time without contact after which a gateway is isolated. It
// leaves 1 s of the 3 s in which a withdrawn key must stop working.
const isolationSpan = 2 * clock.Second

// reach notes when calls were made that the store and the gateways answered. The time
// of the call counts, as an answer may have waited while the process was paused.
type reach struct {
	self     units.VMID
	store    clock.Time
	gateways []units.VMID
	calls    map[units.VMID]clock.Time
}

func newReach(self units.VMID) reach {
	return reach{self: self, calls: map[units.VMID]clock.Time{}}
}

func (r *reach) storeAnswered(sent clock.Time) { r.store = max(r.store, sent) }

func (r *reach) answered(sent clock.Time, from units.VMID) { r.calls[from] = max(r.calls[from], sent) }

func (r *reach) setGateways(l []units.VMID) {
	r.gateways = slices.Clone(l)
	// Times of VMs that are gone for good are dropped, those of agents too.
	kept := make(map[units.VMID]clock.Time, len(l))
	for _, id := range l {
		if t, ok := r.calls[id]; ok {
			kept[id] = t
		}
	}
	r.calls = kept
}

// never and always bound the times of contact.
const (
	never  clock.Time = -1 << 62
	always clock.Time = 1<<62 - 1
)

// until returns the time at which the last contact becomes too old. A gateway
// reaches itself. Without any contact, the time has passed.
func (r *reach) until() clock.Time {
	last := r.mostGateways()
	if r.store != 0 {
		last = max(last, r.store)
	}
	if last == always || last == never {
		return last
	}
	return last.Add(isolationSpan)
}

// mostGateways returns the last time since which more than half of the gateways have
// answered a call.
func (r *reach) mostGateways() clock.Time {
	if len(r.gateways) == 0 {
		return never
	}
	times := make([]clock.Time, 0, len(r.gateways))
	for _, id := range r.gateways {
		t, ok := r.calls[id]
		switch {
		case id == r.self:
			t = always
		case !ok:
			t = never
		}
		times = append(times, t)
	}
	slices.Sort(times)
	slices.Reverse(times)
	return times[len(times)/2]
}
