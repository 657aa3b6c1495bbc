package admit

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// lookAhead is the number of items of one customer that are tried when the first
// ones can't run, for example because their adapter is at its limit.
const lookAhead = 16

// maxIdleFlows is the number of idle flows that may be kept.
const maxIdleFlows = 16

// flow holds the waiting items of one customer in one class.
type flow struct {
	customer units.CustomerID
	items    []Item
	// start is the virtual time at which the next item starts.
	start  float64
	tokens float64
}

// fair shares the service of one class among customers by start-time fair
// queueing: the customer whose next item has the smallest virtual start is served,
// and its next start is later by cost / weight.
type fair struct {
	flows map[units.CustomerID]*flow
	// busy are the flows with waiting items.
	busy []*flow
	// now is the virtual time: the largest start of an item that was served.
	now    float64
	tokens float64
}

func newFair() *fair { return &fair{flows: map[units.CustomerID]*flow{}} }

func (f *fair) push(it Item) {
	fl := f.flows[it.Customer]
	if fl == nil {
		fl = &flow{customer: it.Customer, start: f.now}
		f.flows[it.Customer] = fl
	}
	if len(fl.items) == 0 {
		// A customer gains no credit while it has nothing to run.
		fl.start = max(fl.start, f.now)
		f.busy = append(f.busy, fl)
	}
	fl.items = append(fl.items, it)
	fl.tokens += it.cost()
	f.tokens += it.cost()
}

// find returns the next item that fits, as its flow and position.
func (f *fair) find(now clock.Time, fits func(*Item) bool) (best *flow, index int) {
	for _, fl := range f.busy {
		if best != nil && fl.start >= best.start {
			continue
		}
		for i := range min(len(fl.items), lookAhead) {
			if it := &fl.items[i]; !it.expired(now) && fits(it) {
				best, index = fl, i
				break
			}
		}
	}
	return best, index
}

// take removes the item for its start.
func (f *fair) take(fl *flow, index int) Item {
	it := fl.items[index]
	f.now = max(f.now, fl.start)
	fl.start += it.cost() / it.weight()
	f.remove(fl, index)
	return it
}

func (f *fair) remove(fl *flow, index int) {
	cost := fl.items[index].cost()
	fl.items = slices.Delete(fl.items, index, index+1)
	fl.tokens -= cost
	f.tokens -= cost
	if len(fl.items) == 0 {
		f.busy = slices.DeleteFunc(f.busy, func(b *flow) bool { return b == fl })
		f.forget()
	}
}

// forget drops idle flows that hold no information. It waits for enough of them,
// so that a removal costs little on average.
func (f *fair) forget() {
	if len(f.busy) > 0 && len(f.flows) <= 2*len(f.busy)+maxIdleFlows {
		return
	}
	for id, fl := range f.flows {
		if len(fl.items) == 0 && fl.start <= f.now {
			delete(f.flows, id)
		}
	}
	if len(f.busy) == 0 {
		f.now = f.latest()
	}
}

// latest returns the largest virtual start. An idle class moves there, so that
// all customers start equal again.
func (f *fair) latest() float64 {
	v := f.now
	for _, fl := range f.flows {
		v = max(v, fl.start)
	}
	return v
}

// credit returns service that was charged at the start but not used.
func (f *fair) credit(it *Item, unused float64) {
	if fl := f.flows[it.Customer]; fl != nil {
		fl.start -= unused / it.weight()
	}
}

// ahead estimates the tokens that are served before a new item of the customer.
func (f *fair) ahead(it *Item) float64 {
	start, own := f.now, 0.0
	if fl := f.flows[it.Customer]; fl != nil {
		own = fl.tokens
		start = max(fl.start, f.now) + own/it.weight()
	}
	sum := own
	for _, fl := range f.busy {
		if fl.customer != it.Customer {
			sum += min(fl.tokens, max(start-fl.start, 0)*fl.items[0].weight())
		}
	}
	return sum
}
