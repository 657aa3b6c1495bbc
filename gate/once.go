package gate

import (
	"context"
	"sync"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// StoredResponse is a complete answer.
type StoredResponse struct {
	Status int
	Header []*wire.Header
	Body   []byte
	// BodyOmitted is set when the body was too large to be kept.
	BodyOmitted bool
}

// OnceAttempt names one attempt of a call that must not be repeated.
type OnceAttempt struct {
	Customer units.CustomerID
	// Key is the caller's Idempotency-Key.
	Key      string
	Attempt  units.AttemptID
	Upstream units.UpstreamID
	// Incarnation of the upstream's agent; another one does not run the attempt.
	Incarnation uint64
	// Fingerprint tells a repeated call from another call with the same key.
	Fingerprint uint64
}

// Once keeps calls from running twice. It is called by many goroutines.
type Once interface {
	// Begin records the attempt before it is sent. It returns the stored answer when
	// the call is done, or a *Problem when it may not run.
	Begin(ctx context.Context, c OnceAttempt) (*StoredResponse, error)
	// Answered notes that the upstream has answered the attempt in full. It is called
	// before the caller has the answer, and so before the caller can repeat the call.
	Answered(c OnceAttempt)
	// End stores the answer. It is nil when the attempt did not run, so that another
	// may, and when ran is set and the outcome is unknown.
	End(ctx context.Context, c OnceAttempt, s *StoredResponse, ran bool)
}

// MemoryOnce is a Once for a single gateway: its records are lost when the process
// ends.
type MemoryOnce struct {
	mu      sync.Mutex
	records map[memoryKey]*memoryRecord
}

type memoryKey struct {
	customer units.CustomerID
	key      string
}

type memoryRecord struct {
	call    OnceAttempt
	ended   bool
	outcome *StoredResponse
}

// Begin implements Once.
func (m *MemoryOnce) Begin(_ context.Context, c OnceAttempt) (*StoredResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = map[memoryKey]*memoryRecord{}
	}
	k := memoryKey{c.Customer, c.Key}
	r := m.records[k]
	switch {
	case r == nil:
		m.records[k] = &memoryRecord{call: c}
		return nil, nil
	case r.call.Fingerprint != c.Fingerprint:
		return nil, problem(units.InvalidRequest, "the Idempotency-Key belongs to another call")
	case !r.ended:
		return nil, &Problem{Code: units.InProgress, Message: "the call is in progress", MayHaveRun: true}
	case r.outcome == nil:
		return nil, &Problem{Code: units.OutcomeUnknown, Message: "the outcome of the call is unknown", MayHaveRun: true}
	default:
		return r.outcome, nil
	}
}

// Answered implements Once. A repeated call is in progress until the answer is stored.
func (*MemoryOnce) Answered(OnceAttempt) {}

// End implements Once.
func (m *MemoryOnce) End(_ context.Context, c OnceAttempt, s *StoredResponse, ran bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := memoryKey{c.Customer, c.Key}
	r := m.records[k]
	if r == nil || r.call.Attempt != c.Attempt {
		return
	}
	if s == nil && !ran {
		delete(m.records, k)
		return
	}
	r.ended, r.outcome = true, s
}
