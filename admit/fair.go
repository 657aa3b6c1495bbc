package admit

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// maxLookAhead is the number of items of one customer that are considered if the first ones
// can't run, for example because their adapter is at its concurrency limit.
const maxLookAhead = 16

// maxIdleFlows is the number of idle flows that pruneIdle tolerates, in addition to one per
// flow with items.
const maxIdleFlows = 16

// flow holds the waiting items of one customer in one class.
type flow struct {
	customer units.CustomerID
	items    []Item
	// virtualStart is the virtual start time of the next item.
	virtualStart float64
	// tokens is the total cost of items.
	tokens float64
}

// fairQueue shares the service of one class among customers by start-time fair queueing: it
// serves the customer whose next item has the lowest virtual start time, and then advances the
// customer's virtual start time by cost / weight.
type fairQueue struct {
	flows map[units.CustomerID]*flow
	// backlogged lists the flows with items.
	backlogged []*flow
	// virtualTime is the highest virtual start time of an item that was served.
	virtualTime float64
	// tokens is the total cost of all items.
	tokens float64
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[units.CustomerID]*flow{}} }

func (f *fairQueue) push(it Item) {
	fl := f.flows[it.Customer]
	if fl == nil {
		fl = &flow{customer: it.Customer, virtualStart: f.virtualTime}
		f.flows[it.Customer] = fl
	}
	if len(fl.items) == 0 {
		// An idle customer must not accumulate a claim to service.
		fl.virtualStart = max(fl.virtualStart, f.virtualTime)
		f.backlogged = append(f.backlogged, fl)
	}
	fl.items = append(fl.items, it)
	fl.tokens += it.cost()
	f.tokens += it.cost()
}

// findNext returns the flow and index of the next item that has not expired and for which fits
// returns true; best is nil if there is none.
func (f *fairQueue) findNext(now clock.Time, fits func(*Item) bool) (best *flow, index int) {
	for _, fl := range f.backlogged {
		if best != nil && fl.virtualStart >= best.virtualStart {
			continue
		}
		for i := range min(len(fl.items), maxLookAhead) {
			if it := &fl.items[i]; !it.expired(now) && fits(it) {
				best, index = fl, i
				break
			}
		}
	}
	return best, index
}

// take removes an item that is about to run and charges its cost to its customer.
func (f *fairQueue) take(fl *flow, index int) Item {
	it := fl.items[index]
	f.virtualTime = max(f.virtualTime, fl.virtualStart)
	fl.virtualStart += it.cost() / it.weight()
	f.remove(fl, index)
	return it
}

// remove removes an item without charging for it.
func (f *fairQueue) remove(fl *flow, index int) {
	cost := fl.items[index].cost()
	fl.items = slices.Delete(fl.items, index, index+1)
	fl.tokens -= cost
	f.tokens -= cost
	if len(fl.items) == 0 {
		f.backlogged = slices.DeleteFunc(f.backlogged, func(b *flow) bool { return b == fl })
		f.pruneIdle()
	}
}

// pruneIdle drops idle flows whose virtual start time has passed, because a new flow would start
// at the same virtual time. Unless all flows are idle, it waits until there are many, so that the
// amortized cost per removed item is low.
func (f *fairQueue) pruneIdle() {
	if len(f.backlogged) > 0 && len(f.flows) <= 2*len(f.backlogged)+maxIdleFlows {
		return
	}
	for id, fl := range f.flows {
		if len(fl.items) == 0 && fl.virtualStart <= f.virtualTime {
			delete(f.flows, id)
		}
	}
	if len(f.backlogged) == 0 {
		f.virtualTime = f.maxVirtualStart()
	}
}

// maxVirtualStart returns the highest virtual start time of all flows. The virtual time of an
// idle class advances to it, so that all customers start equal again.
func (f *fairQueue) maxVirtualStart() float64 {
	latest := f.virtualTime
	for _, fl := range f.flows {
		latest = max(latest, fl.virtualStart)
	}
	return latest
}

// refund credits the customer with tokens that take charged but the item didn't use.
func (f *fairQueue) refund(it *Item, unused float64) {
	if fl := f.flows[it.Customer]; fl != nil {
		fl.virtualStart -= unused / it.weight()
	}
}

// tokensAhead estimates the number of tokens that this class serves before a new item of the
// customer.
func (f *fairQueue) tokensAhead(it *Item) float64 {
	virtualStart, ownTokens := f.virtualTime, 0.0
	if fl := f.flows[it.Customer]; fl != nil {
		ownTokens = fl.tokens
		virtualStart = max(fl.virtualStart, f.virtualTime) + ownTokens/it.weight()
	}
	sum := ownTokens
	for _, fl := range f.backlogged {
		if fl.customer != it.Customer {
			sum += min(fl.tokens, max(virtualStart-fl.virtualStart, 0)*fl.items[0].weight())
		}
	}
	return sum
}
