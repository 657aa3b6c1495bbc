package retry

import "github.com/magnolialever/magnolialever/clock"

const (
	// holdbackLimit is the number of failures from which on a task is held back. Upstreams also fail for other
	// reasons, so that one is no verdict.
	holdbackLimit = 2
	// firstHoldback is the time from the verdict to the next try, which ends a wrong one soon. If that fails as
	// well, the next one follows after laterHoldback, which doubles with each further one up to maxHoldback.
	firstHoldback = 5 * clock.Second
	laterHoldback = clock.Minute
	maxHoldback   = clock.Hour
)

// failures is the number of failures of a task since it last succeeded, and when the last one was.
type failures struct {
	count int
	at    clock.Time
}

// Holdback holds back tasks that end or fail each upstream that executes them, such as the load of a model.
// K identifies a task, whatever upstream executes it. It is not safe for concurrent use; the caller passes the
// time.
type Holdback[K comparable] struct{ tasks map[K]failures }

// NewHoldback returns a Holdback without failures.
func NewHoldback[K comparable]() *Holdback[K] { return &Holdback[K]{tasks: map[K]failures{}} }

// RecordFailure records that an upstream ended while it executed a task that was started at a time, or failed to.
// What was started before the last failure was known counts together with it: many upstreams end at once for
// another cause, and suspect tasks are started one at a time.
func (h *Holdback[K]) RecordFailure(now clock.Time, task K, startedAt clock.Time) {
	f := h.tasks[task]
	if !startedAt.Before(f.at) || f.count == 0 {
		f = failures{f.count + 1, now}
	}
	h.tasks[task] = f
}

// RecordSuccess records that an upstream has executed a task: failures of others had other causes.
func (h *Holdback[K]) RecordSuccess(task K) { delete(h.tasks, task) }

// Suspect reports whether a task must not be started while another upstream executes it.
func (h *Holdback[K]) Suspect(task K) bool { return h.tasks[task].count > 0 }

// Blocked reports whether a task must not be started now.
func (h *Holdback[K]) Blocked(now clock.Time, task K) bool {
	f := h.tasks[task]
	switch {
	case f.count < holdbackLimit:
		return false
	case f.count == holdbackLimit:
		return now.Sub(f.at) < firstHoldback
	}
	return now.Sub(f.at) < min(laterHoldback<<min(f.count-holdbackLimit-1, 10), maxHoldback)
}
