package gate

import (
	"context"
	"sync"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// StoredResponse is a complete response that is kept for repeated calls or deferred jobs.
type StoredResponse struct {
	Status int
	Header []*wire.Header
	Body   []byte
	// BodyOmitted is set when the body was too large to be stored.
	BodyOmitted bool
}

// OnceAttempt identifies one attempt of a call with an Idempotency-Key.
type OnceAttempt struct {
	Customer units.CustomerID
	// Key is the caller's Idempotency-Key.
	Key      string
	Attempt  units.AttemptID
	Upstream units.UpstreamID
	// Incarnation of the agent process; another incarnation does not run the attempt.
	Incarnation uint64
	// Fingerprint distinguishes a repeated call from another call with the same key.
	Fingerprint uint64
}

// Once makes calls with an Idempotency-Key run at most once. It must be safe for concurrent use.
type Once interface {
	// Begin records the attempt before it is sent. It returns the stored response when the call is
	// complete, or a *Problem when the attempt must not run.
	Begin(ctx context.Context, c OnceAttempt) (*StoredResponse, error)
	// Answered records that the upstream has sent the complete response. It is called before the
	// caller has all of it, and so before the caller can repeat the call.
	Answered(c OnceAttempt)
	// End ends the attempt. It stores s, the complete response. With s nil, mayHaveRun decides: if
	// false, the record is removed so that another attempt may run; if true, the outcome of the
	// call is unknown.
	End(ctx context.Context, c OnceAttempt, s *StoredResponse, mayHaveRun bool)
}

// MemoryOnce is a Once for a single gateway: its records are lost when the process ends.
type MemoryOnce struct {
	mu      sync.Mutex
	records map[memoryKey]*memoryRecord
}

// memoryKey identifies a call: keys of different customers are unrelated.
type memoryKey struct {
	customer units.CustomerID
	key      string
}

// memoryRecord is the record of a call. An ended call without an outcome may have run.
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
		return nil, newProblem(units.InvalidRequest, "the Idempotency-Key belongs to another call")
	case !r.ended:
		return nil, &Problem{Code: units.InProgress, Message: "the call is in progress", MayHaveRun: true}
	case r.outcome == nil:
		return nil, &Problem{Code: units.OutcomeUnknown, Message: "the outcome of the call is unknown", MayHaveRun: true}
	default:
		return r.outcome, nil
	}
}

// Answered implements Once. A call counts as in progress until End stores its response.
func (*MemoryOnce) Answered(OnceAttempt) {}

// End implements Once.
func (m *MemoryOnce) End(_ context.Context, c OnceAttempt, s *StoredResponse, mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := memoryKey{c.Customer, c.Key}
	r := m.records[k]
	if r == nil || r.call.Attempt != c.Attempt {
		return
	}
	if s == nil && !mayHaveRun {
		delete(m.records, k)
		return
	}
	r.ended, r.outcome = true, s
}
