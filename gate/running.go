package gate

import (
	"sync"
)

// running holds the requests in progress.
type running struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	done     chan struct{}
}

func newRunning() *running {
	return &running{requests: map[*request]struct{}{}}
}

func (r *running) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q] = struct{}{}
}

func (r *running) remove(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, q)
	if len(r.requests) == 0 && r.done != nil {
		close(r.done)
		r.done = nil
	}
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// idle returns a channel that is closed when no request is left.
func (r *running) idle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan struct{})
	if len(r.requests) == 0 {
		close(c)
		return c
	}
	r.done = c
	return c
}
