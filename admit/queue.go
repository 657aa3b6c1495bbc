package admit

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// usage counts what one customer has in the queue.
type usage struct {
	count int
	bytes units.Bytes
}

// Queue orders the requests in front of an upstream. More urgent classes come
// first, but each class keeps its floor; inside a class, customers share by
// weighted service in tokens.
type Queue struct {
	options QueueOptions
	classes [units.Classes]*fair
	// owed is the service that a class is due by its floor, in tokens.
	owed      [units.Classes]float64
	usage     map[units.CustomerID]usage
	positions map[units.AttemptID]position
	waiting   int
	speed     speed
}

// position tells where an item waits.
type position struct {
	class    units.Class
	customer units.CustomerID
}

// NewQueue returns an empty queue.
func NewQueue(o QueueOptions) *Queue {
	q := &Queue{options: o, usage: map[units.CustomerID]usage{}, positions: map[units.AttemptID]position{}}
	for i := range q.classes {
		q.classes[i] = newFair()
	}
	return q
}

// Push adds the item. It returns an empty code, queue_full or
// deadline_unreachable.
func (q *Queue) Push(now clock.Time, it Item) units.Code {
	it.Class = min(it.Class, units.Classes-1)
	h := q.usage[it.Customer]
	if h.count >= q.options.MaxItems || h.bytes+it.Bytes > q.options.MaxBytes {
		return units.QueueFull
	}
	if it.Deadline != 0 && now.Add(q.EstimateWait(it)).After(it.Deadline) {
		return units.DeadlineMissed
	}
	q.usage[it.Customer] = usage{h.count + 1, h.bytes + it.Bytes}
	q.positions[it.ID] = position{it.Class, it.Customer}
	q.classes[it.Class].push(it)
	q.waiting++
	q.speed.observe(now, true)
	return ""
}

// EstimateWait estimates how long the item would wait: the tokens ahead of it by the
// measured speed. It is 0 while the speed is not known.
func (q *Queue) EstimateWait(it Item) clock.Span {
	perSecond := q.speed.value()
	if perSecond <= 0 {
		return 0
	}
	ahead := q.classes[it.Class].ahead(&it)
	for c := range it.Class {
		ahead += q.classes[c].tokens
	}
	return clock.Span(ahead / perSecond * float64(clock.Second))
}

// Next removes and returns the next item for which fits is true.
func (q *Queue) Next(now clock.Time, fits func(*Item) bool) (Item, bool) {
	var flows [units.Classes]*flow
	var indexes [units.Classes]int
	for c := range q.classes {
		flows[c], indexes[c] = q.classes[c].find(now, fits)
		if flows[c] == nil {
			// A class that has nothing to run is not owed anything.
			q.owed[c] = 0
		}
	}
	c := q.chooseClass(flows)
	if c < 0 {
		return Item{}, false
	}
	it := q.classes[c].take(flows[c], indexes[c])
	q.chargeClass(c, it.cost(), flows)
	q.drop(&it)
	q.speed.observe(now, q.waiting > 0)
	return it, true
}

// chooseClass returns the class to serve: the one furthest below its floor, else the
// most urgent one.
func (q *Queue) chooseClass(flows [units.Classes]*flow) int {
	urgent, owed := -1, -1
	for c := units.Classes - 1; c >= 0; c-- {
		if flows[c] == nil {
			continue
		}
		urgent = c
		if q.owed[c] > 0 && (owed < 0 || q.owed[c] > q.owed[owed]) {
			owed = c
		}
	}
	if owed >= 0 {
		return owed
	}
	return urgent
}

// chargeClass accounts for the service of class c.
func (q *Queue) chargeClass(c int, cost float64, flows [units.Classes]*flow) {
	for i := range q.owed {
		if flows[i] != nil {
			q.owed[i] += q.options.MinShare[i] * cost
		}
	}
	// Service that nobody else wanted must not cost the class its floor later, so
	// it is remembered for one item only.
	q.owed[c] = max(q.owed[c]-cost, -cost)
}

func (q *Queue) drop(it *Item) {
	delete(q.positions, it.ID)
	q.waiting--
	h := q.usage[it.Customer]
	h.count--
	h.bytes -= it.Bytes
	if h.count == 0 {
		delete(q.usage, it.Customer)
		return
	}
	q.usage[it.Customer] = h
}

// Remove takes an item out that will not start.
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
			q.drop(&it)
			break
		}
	}
	q.speed.observe(now, q.waiting > 0)
	return true
}

// Done reports the end of an item that Next returned and the tokens that it used.
func (q *Queue) Done(now clock.Time, it Item, used units.Tokens) {
	q.speed.add(now, it.cost(), q.waiting > 0)
	if unused := it.cost() - float64(max(used, 0)); unused > 0 {
		q.classes[min(it.Class, units.Classes-1)].credit(&it, unused)
	}
}

// Waiting returns the number of items in the queue.
func (q *Queue) Waiting() int { return q.waiting }

// Backlog returns the reserved cost of the items in the queue.
func (q *Queue) Backlog() units.Tokens {
	sum := 0.0
	for _, f := range q.classes {
		sum += f.tokens
	}
	return units.Tokens(sum)
}

// Throughput returns the measured speed in tokens a second, or 0 when it is not known.
func (q *Queue) Throughput() units.Tokens { return units.Tokens(q.speed.value()) }
