package gate

import (
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// running holds the requests in progress and bounds their number.
type running struct {
	limit         int
	customerLimit int

	mu        sync.Mutex
	entered   int
	customers map[units.CustomerID]int
	requests  map[*request]struct{}
	// idle is set once no new requests are taken; it is closed when none is left.
	idle chan struct{}
}

func newRunning(l *Limits) *running {
	return &running{
		limit:         l.MaxRequests,
		customerLimit: l.MaxCustomerRequests,
		customers:     map[units.CustomerID]int{},
		requests:      map[*request]struct{}{},
	}
}

// enter takes a place for a request; leave returns it.
func (r *running) enter() *Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		return problem(units.Draining, "the gateway is stopping")
	}
	if r.entered >= r.limit {
		return problem(units.QueueFull, "the gateway has too many requests in progress")
	}
	r.entered++
	return nil
}

func (r *running) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entered--
	r.check()
}

func (r *running) check() {
	if r.entered != 0 || r.idle == nil {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// add takes a place of the customer for a request that has entered; remove returns
// it.
func (r *running) add(q *request) *Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := q.caller.Customer
	if r.customers[c] >= r.customerLimit {
		return problem(units.QueueFull, "the customer has too many requests in progress")
	}
	r.customers[c]++
	r.requests[q] = struct{}{}
	return nil
}

func (r *running) remove(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := q.caller.Customer
	if r.customers[c]--; r.customers[c] == 0 {
		delete(r.customers, c)
	}
	delete(r.requests, q)
}

// close lets no new request enter, and returns a channel that is closed when none
// is left.
func (r *running) close() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	r.check()
	return r.idle
}

// each calls f for a copy of the requests in progress.
func (r *running) each(f func(q *request)) {
	r.mu.Lock()
	all := make([]*request, 0, len(r.requests))
	for q := range r.requests {
		all = append(all, q)
	}
	r.mu.Unlock()
	for _, q := range all {
		f(q)
	}
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entered
}
