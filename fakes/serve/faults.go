package serve

import (
	"net/http"
	"sync"
)

// Faults holds the switchable faults of a stand-in. It is safe for concurrent
// use. Over HTTP, GET returns the faults as JSON, and POST changes those that the
// body names.
type Faults[T any] struct {
	mu    sync.Mutex
	value T
}

// Get returns the faults in force.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the faults.
func (f *Faults[T]) Update(change func(*T)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.value)
}

// ServeHTTP reads or changes the faults.
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
