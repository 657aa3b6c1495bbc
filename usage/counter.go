package usage

import (
	"maps"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// maxWindows is the number of windows of which a gateway keeps totals while nobody reports them.
	maxWindows = 400
	// maxLate is how long after the end of a window a request may still be counted in it. One that is recorded later, as
	// its upstream took that long, counts when it is recorded.
	maxLate = clock.Second
	// settleTime is how far behind the present totals are called complete: calls without streaming are recorded at their
	// answer with the time at which they were sent.
	settleTime = 300 * clock.Millisecond
	// maxPending is the number of requests that are kept without a window until the time of day is known.
	maxPending = 1 << 16
)

// Counter counts the requests that begin to run at one gateway. It is safe for concurrent use.
type Counter struct {
	length clock.Span

	mu sync.Mutex // guards the fields below
	// pending are the requests that were not counted in a window yet.
	pending []begun
	totals  map[Window]Counts
	// changed are the customers whose totals have changed since TakeChanged, by window.
	changed map[Window]map[units.CustomerID]bool
	until   Instant
}

// begun is a request that began to run.
type begun struct {
	at, recordedAt clock.Time
	customer       units.CustomerID
}

// NewCounter returns a Counter for windows of the length.
func NewCounter(length clock.Span) *Counter {
	return &Counter{length: length, totals: map[Window]Counts{}, changed: map[Window]map[units.CustomerID]bool{}}
}

// Record counts a request of the customer that began to run at a time.
func (c *Counter) Record(now, at clock.Time, customer units.CustomerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < maxPending {
		c.pending = append(c.pending, begun{at, now, customer})
	}
}

// Fold counts what was recorded in its windows, given the offset from the gateway's clock to the time of day.
func (c *Counter) Fold(now clock.Time, offset clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.pending {
		w := WindowOf(At(b.at, offset), c.length)
		if At(b.recordedAt, offset) > w.End(c.length).Add(maxLate) {
			w = WindowOf(At(b.recordedAt, offset), c.length)
		}
		if c.totals[w] == nil {
			c.totals[w] = Counts{}
		}
		if c.changed[w] == nil {
			c.changed[w] = map[units.CustomerID]bool{}
		}
		c.totals[w][b.customer]++
		c.changed[w][b.customer] = true
	}
	c.pending = c.pending[:0]
	c.until = max(c.until, At(now, offset).Add(-settleTime))
	current := WindowOf(At(now, offset), c.length)
	c.forget(current - maxWindows)
}

// End counts what is left and calls all totals complete: no request runs any longer.
func (c *Counter) End(now clock.Time, offset clock.Span) {
	c.Fold(now, offset)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = max(c.until, At(now, offset))
}

// Forget drops the windows before next, of which the reports are decided.
func (c *Counter) Forget(next Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(next)
}

// forget is Forget for callers that hold c.mu.
func (c *Counter) forget(next Window) {
	maps.DeleteFunc(c.totals, func(w Window, _ Counts) bool { return w < next })
	maps.DeleteFunc(c.changed, func(w Window, _ map[units.CustomerID]bool) bool { return w < next })
}

// Totals returns the totals of all windows from one on. The VM and the process are left to the caller.
func (c *Counter) Totals(from Window) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Totals{Until: c.until, Windows: map[Window]Counts{}}
	for w, n := range c.totals {
		if w >= from {
			t.Windows[w] = maps.Clone(n)
		}
	}
	return t
}

// TakeChanged returns the totals that have changed since the last call.
func (c *Counter) TakeChanged() Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Totals{Until: c.until, Windows: map[Window]Counts{}}
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
