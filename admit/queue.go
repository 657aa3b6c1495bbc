package admit

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// customerUsage is the number and total body size of one customer's items in the queue.
type customerUsage struct {
	count int
	bytes units.Bytes
}

// Queue holds the requests that wait for an upstream. More urgent classes are served first, but
// each class gets its minimum share; within a class, customers get service in tokens in
// proportion to their weights.
type Queue struct {
	options QueueOptions
	classes [units.Classes]*fairQueue
	// deficits holds the tokens by which each class is below its minimum share, negative if it
	// is above.
	deficits   [units.Classes]float64
	usage      map[units.CustomerID]customerUsage
	positions  map[units.AttemptID]position
	waiting    int
	throughput throughputMeter
}

// position identifies the flow in which an item waits.
type position struct {
	class    units.Class
	customer units.CustomerID
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	q := &Queue{options: o, usage: map[units.CustomerID]customerUsage{}, positions: map[units.AttemptID]position{}}
	for i := range q.classes {
		q.classes[i] = newFairQueue()
	}
	return q
}

// Push adds the item and returns an empty code. It returns units.QueueFull if the customer's
// limits would be exceeded, and units.DeadlineMissed if the estimated wait exceeds the deadline.
func (q *Queue) Push(now clock.Time, it Item) units.Code {
	it.Class = min(it.Class, units.Classes-1)
	u := q.usage[it.Customer]
	if u.count >= q.options.MaxItems || u.bytes+it.Bytes > q.options.MaxBytes {
		return units.QueueFull
	}
	if it.Deadline != 0 && now.Add(q.EstimateWait(it)).After(it.Deadline) {
		return units.DeadlineMissed
	}
	q.usage[it.Customer] = customerUsage{u.count + 1, u.bytes + it.Bytes}
	q.positions[it.ID] = position{it.Class, it.Customer}
	q.classes[it.Class].push(it)
	q.waiting++
	q.throughput.advance(now, true)
	return ""
}

// EstimateWait estimates how long a new item would wait: the tokens ahead of it divided by the
// measured throughput. It returns 0 while the throughput is unknown.
func (q *Queue) EstimateWait(it Item) clock.Span {
	perSecond := q.throughput.tokensPerSecond()
	if perSecond <= 0 {
		return 0
	}
	ahead := q.classes[it.Class].tokensAhead(&it)
	for c := range it.Class {
		ahead += q.classes[c].tokens
	}
	return clock.Span(ahead / perSecond * float64(clock.Second))
}

// Next removes and returns the next item to start that has not expired and for which fits returns
// true. It returns false if there is none. The caller must report the item's end to Done.
func (q *Queue) Next(now clock.Time, fits func(*Item) bool) (Item, bool) {
	var flows [units.Classes]*flow
	var indexes [units.Classes]int
	for c := range q.classes {
		flows[c], indexes[c] = q.classes[c].findNext(now, fits)
		if flows[c] == nil {
			// A class without a runnable item has no claim to service.
			q.deficits[c] = 0
		}
	}
	c := q.chooseClass(flows)
	if c < 0 {
		return Item{}, false
	}
	it := q.classes[c].take(flows[c], indexes[c])
	q.chargeClass(c, it.cost(), flows)
	q.untrack(&it)
	q.throughput.advance(now, q.waiting > 0)
	return it, true
}

// chooseClass returns the class to serve among those with a flow: the one with the largest
// deficit, or if none has a deficit, the most urgent one. It returns -1 if there is no flow.
func (q *Queue) chooseClass(flows [units.Classes]*flow) int {
	mostUrgent, underserved := -1, -1
	for c := units.Classes - 1; c >= 0; c-- {
		if flows[c] == nil {
			continue
		}
		mostUrgent = c
		if q.deficits[c] > 0 && (underserved < 0 || q.deficits[c] > q.deficits[underserved]) {
			underserved = c
		}
	}
	if underserved >= 0 {
		return underserved
	}
	return mostUrgent
}

// chargeClass updates the deficits for an item of class c that starts. The cost is in tokens.
func (q *Queue) chargeClass(c int, cost float64, flows [units.Classes]*flow) {
	for i := range q.deficits {
		if flows[i] != nil {
			q.deficits[i] += q.options.MinShare[i] * cost
		}
	}
	// Service that no other class needed must not reduce the class's minimum share later, so
	// the deficit is bounded to the cost of one item.
	q.deficits[c] = max(q.deficits[c]-cost, -cost)
}

// untrack removes the item from positions and from its customer's usage.
func (q *Queue) untrack(it *Item) {
	delete(q.positions, it.ID)
	q.waiting--
	u := q.usage[it.Customer]
	u.count--
	u.bytes -= it.Bytes
	if u.count == 0 {
		delete(q.usage, it.Customer)
		return
	}
	q.usage[it.Customer] = u
}

// Remove removes a waiting item that will not start. It returns false if the item isn't in the
// queue.
func (q *Queue) Remove(now clock.Time, id units.AttemptID) bool {
	p, ok := q.positions[id]
	if !ok {
		return false
	}
	f := q.classes[p.class]
	fl := f.flows[p.customer]
	for i := range fl.items {
		if fl.items[i].ID == id {
			it := fl.items[i]
			f.remove(fl, i)
			q.untrack(&it)
			break
		}
	}
	q.throughput.advance(now, q.waiting > 0)
	return true
}

// Done records the end of an item that Next returned; used is the number of tokens it used.
// Reserved tokens that were not used are credited to the customer.
func (q *Queue) Done(now clock.Time, it Item, used units.Tokens) {
	q.throughput.add(now, it.cost(), q.waiting > 0)
	if unused := it.cost() - float64(max(used, 0)); unused > 0 {
		q.classes[min(it.Class, units.Classes-1)].refund(&it, unused)
	}
}

// Waiting returns the number of items in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Backlog returns the total reserved cost of the items in the queue.
func (q *Queue) Backlog() units.Tokens {
	sum := 0.0
	for _, f := range q.classes {
		sum += f.tokens
	}
	return units.Tokens(sum)
}

// Throughput returns the measured throughput in reserved tokens/s, or 0 while it is unknown.
func (q *Queue) Throughput() units.Tokens { return units.Tokens(q.throughput.tokensPerSecond()) }
