package serve

import (
	"net/http"
	"sync"
)

// Faults holds the injected faults of a fake. It is safe for concurrent use. As an HTTP
// handler it returns the faults as JSON; a POST first sets the fields that its JSON body
// contains.
type Faults[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns a copy of the injected faults.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the injected faults under a lock.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// Consume decrements the counter of a fault and reports whether it was above 0.
func (f *Faults[T]) Consume(counter func(*T) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := counter(&f.value)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// ServeHTTP returns the faults as JSON, after it has applied the body of a POST.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		v := f.Get()
		if !ReadJSON(w, r, &v) {
			return
		}
		f.Update(func(t *T) { *t = v })
	}
	WriteJSON(w, http.StatusOK, f.Get())
}
