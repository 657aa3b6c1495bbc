package gate

import (
	"sync"

	"github.com/magnolialever/magnolialever/units"
)

// inFlightRequests tracks the requests in progress and bounds their number, in total and for each
// customer.
type inFlightRequests struct {
	maxRequests         int
	maxCustomerRequests int

	mu          sync.Mutex
	total       int
	perCustomer map[units.CustomerID]int
	requests    map[*request]struct{}
	// idle is set once no new requests are accepted. It is closed when none is in progress.
	idle chan struct{}
}

func newInFlightRequests(l *Limits) *inFlightRequests {
	return &inFlightRequests{
		maxRequests:         l.MaxRequests,
		maxCustomerRequests: l.MaxCustomerRequests,
		perCustomer:         map[units.CustomerID]int{},
		requests:            map[*request]struct{}{},
	}
}

// acquire reserves a slot for a request; release frees it.
func (r *inFlightRequests) acquire() *Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle != nil {
		return newDrainingProblem()
	}
	if r.total >= r.maxRequests {
		return newProblem(units.QueueFull, "the gateway has too many requests in progress")
	}
	r.total++
	return nil
}

// release frees the slot of a request.
func (r *inFlightRequests) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total--
	r.closeIfIdle()
}

// closeIfIdle closes idle when no request is left. The caller holds mu.
func (r *inFlightRequests) closeIfIdle() {
	if r.total != 0 || r.idle == nil {
		return
	}
	select {
	case <-r.idle:
	default:
		close(r.idle)
	}
}

// add registers a request that holds a slot, and counts it for its customer; remove undoes both.
func (r *inFlightRequests) add(q *request) *Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := q.caller.Customer
	if r.perCustomer[c] >= r.maxCustomerRequests {
		return newProblem(units.QueueFull, "the customer has too many requests in progress")
	}
	r.perCustomer[c]++
	r.requests[q] = struct{}{}
	return nil
}

func (r *inFlightRequests) remove(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := q.caller.Customer
	if r.perCustomer[c]--; r.perCustomer[c] == 0 {
		delete(r.perCustomer, c)
	}
	delete(r.requests, q)
}

// drain refuses all new requests from now on. It returns a channel that is closed when no request
// is in progress.
func (r *inFlightRequests) drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	r.closeIfIdle()
	return r.idle
}

// each calls f for each registered request, without holding the lock.
func (r *inFlightRequests) each(f func(q *request)) {
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

// count returns the number of slots in use.
func (r *inFlightRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}
