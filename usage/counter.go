package usage

import (
	"maps"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// maxBacklog is the number of windows before the current one that are kept and still reported.
	maxBacklog = 400
	// maxSettleTime is the longest time after which totals are complete, settleShare its part of the delay of a report.
	// Calls without streaming are recorded at their answer, with the time at which they were sent; those that take longer
	// count in the window of their answer.
	maxSettleTime = clock.Second
	settleShare   = 0.2
	// maxPending is the number of requests that are kept without a window until the time of day is known.
	maxPending = 1 << 16
	// maxSums is the number of windows of which a message states the sums.
	maxSums = 100
)

// Counter counts the requests that begin to run at one gateway. It is safe for concurrent use.
type Counter struct {
	length, settle clock.Span

	mu sync.Mutex // guards the fields below
	// pending are the requests that were not counted in a window yet.
	pending []begun
	totals  map[Window]Counts
	// changed are the customers whose totals have changed since TakeChanged, by window.
	changed map[Window]map[units.CustomerID]bool
	// foldedAt is the clock, and until the instant, up to which totals are complete as of the last Fold.
	foldedAt clock.Time
	until    Instant
	// next is the first window that is not decided.
	next Window
}

// begun is a request that began to run.
type begun struct {
	at, recordedAt clock.Time
	customer       units.CustomerID
}

// NewCounter returns a Counter for windows of the length, whose reports are due a delay after their end.
func NewCounter(length, delay clock.Span) *Counter {
	return &Counter{
		length: length, settle: min(maxSettleTime, clock.FromMilliseconds(float64(delay)*settleShare)),
		totals: map[Window]Counts{}, changed: map[Window]map[units.CustomerID]bool{},
	}
}

// Record counts a request of the customer that began to run at a time.
func (c *Counter) Record(now, at clock.Time, customer units.CustomerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		stats.Event("usage_requests_dropped")
		return
	}
	c.pending = append(c.pending, begun{at, now, customer})
}

// Fold counts what was recorded in its windows, given the offset from the gateway's clock to the time of day. What comes
// too late for its window counts in the window of its answer, or in the first one that is not decided.
func (c *Counter) Fold(now clock.Time, offset clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.pending {
		w := WindowOf(At(b.at, offset), c.length)
		if At(b.recordedAt, offset) > w.End(c.length).Add(c.settle) {
			stats.Event("usage_requests_moved")
			w = WindowOf(At(b.recordedAt, offset), c.length)
		}
		c.add(max(w, c.next), b.customer)
	}
	c.pending = c.pending[:0]
	c.foldedAt, c.until = now, At(now, offset).Add(-c.settle)
	c.forget(WindowOf(At(now, offset), c.length) - maxBacklog)
}

// add counts a request. The caller holds c.mu.
func (c *Counter) add(w Window, customer units.CustomerID) {
	if c.totals[w] == nil {
		c.totals[w] = Counts{}
	}
	if c.changed[w] == nil {
		c.changed[w] = map[units.CustomerID]bool{}
	}
	c.totals[w][customer]++
	c.changed[w][customer] = true
}

// End counts what is left and calls all totals complete: no request runs any longer.
func (c *Counter) End(now clock.Time, offset clock.Span) {
	c.Fold(now, offset)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = At(now, offset)
}

// Forget drops the windows before next, of which the reports are decided.
func (c *Counter) Forget(next Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = max(c.next, next)
	c.forget(next)
}

// forget drops the windows before next. The caller holds c.mu.
func (c *Counter) forget(next Window) {
	maps.DeleteFunc(c.totals, func(w Window, _ Counts) bool { return w < next })
	maps.DeleteFunc(c.changed, func(w Window, _ map[units.CustomerID]bool) bool { return w < next })
}

// Totals returns the totals of the windows from one on, with what is complete. The VM and the process are left to the
// caller.
func (c *Counter) Totals(from Window) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Totals{SentAt: c.foldedAt, Until: c.until, Sums: map[Window]int64{}, Windows: map[Window]Counts{}}
	for w, n := range c.totals {
		if w >= from {
			t.Windows[w] = maps.Clone(n)
		}
		t.Sums[w] = n.Total()
	}
	if len(t.Sums) > maxSums {
		// Nothing is stated of the later ones.
		last := c.first() + maxSums
		maps.DeleteFunc(t.Sums, func(w Window, _ int64) bool { return w >= last })
		t.Until = min(t.Until, last.Begin(c.length))
	}
	return t
}

// first returns the first window that has totals. The caller holds c.mu.
func (c *Counter) first() Window {
	first := Window(0)
	for w := range c.totals {
		if first == 0 || w < first {
			first = w
		}
	}
	return first
}

// TakeChanged returns the totals that have changed since the last call, without a statement of what is complete.
func (c *Counter) TakeChanged() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Totals{Windows: map[Window]Counts{}}
	for w, customers := range c.changed {
		t.Windows[w] = Counts{}
		for id := range customers {
			t.Windows[w][id] = c.totals[w][id]
		}
	}
	clear(c.changed)
	return t
}

// Complete returns the first window of which not all requests are counted.
func (c *Counter) Complete() Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	return WindowOf(c.until, c.length)
}

// HasChanged reports whether TakeChanged would return a window.
func (c *Counter) HasChanged() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.changed) > 0
}
