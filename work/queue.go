package work

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Limits bound the deferred work that a gateway accepts and runs. A value of 0 takes the default.
type Limits struct {
	// MaxRunning is the maximum number of entries that run at once, 8 by default.
	MaxRunning int
	// MaxOpen is the maximum number of entries per customer that are not done, 5,000 by
	// default.
	MaxOpen int
	// HeartbeatTimeout is how long a worker's heartbeat must stay unchanged before others claim
	// its entries, 40 s by default. Overnight work tolerates that delay, and it spans
	// heartbeatsPerTimeout heartbeats.
	HeartbeatTimeout clock.Span
	// MaxJitter is the maximum of the random delay before an entry is claimed, which keeps
	// gateways from claiming the same entry at once; 1 s by default.
	MaxJitter clock.Span
	// RetryWindow is the time after submission during which a failed entry is run again, 12 h by
	// default: work submitted in the evening has a result in the morning.
	RetryWindow clock.Span
	// Retention is the minimum time for which a result is kept, 24 h by default.
	Retention clock.Span
}

func (l *Limits) setDefaults() {
	orDefault(&l.MaxRunning, 8)
	orDefault(&l.MaxOpen, 5000)
	orDefault(&l.HeartbeatTimeout, 40*clock.Second)
	orDefault(&l.MaxJitter, clock.Second)
	orDefault(&l.RetryWindow, 12*clock.Hour)
	orDefault(&l.Retention, 24*clock.Hour)
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// heartbeatsPerTimeout is the number of heartbeats written within HeartbeatTimeout.
const heartbeatsPerTimeout = 4

// Options configure a Queue.
type Options struct {
	Store store.KV
	// Execute runs a job within the customer's rate limit. Its error is a *gate.Problem or
	// gate.ErrResponseTooLarge.
	Execute func(context.Context, gate.Job) (*gate.StoredResponse, error)
	Clock   clock.Clock
	// UnixMillis returns the wall-clock time in Unix ms; nil means the system time.
	UnixMillis func() int64
	// Ready, if set, reports whether the gateway accepts new requests.
	Ready  func() bool
	Limits Limits
}

// Queue implements gate.JobStore. It is safe for concurrent use.
type Queue struct {
	options Options
	self    WorkerID
	// expiring writes heartbeats and entries that are done; their keys expire after Retention.
	expiring *store.ExpiringKeys
	// wake makes Run look for entries to claim.
	wake chan struct{}
	// inProgress counts the slots taken.
	inProgress sync.WaitGroup
	// heartbeatRevision and heartbeatAt are those of the last write of the heartbeat. Only
	// writeHeartbeat uses them.
	heartbeatRevision units.Revision
	heartbeatAt       clock.Time
	heartbeatInterval clock.Span

	// mu guards the fields below.
	mu      sync.Mutex
	tracker *Tracker
	// running is true while Run accepts entries.
	running bool
}

var _ gate.JobStore = (*Queue)(nil)

// New returns a Queue. Entries run only while Run is called.
func New(o Options) *Queue {
	o.Limits.setDefaults()
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.UnixMillis == nil {
		o.UnixMillis = func() int64 { return time.Now().UnixMilli() }
	}
	self := WorkerID(uuid.NewString())
	return &Queue{
		options:           o,
		self:              self,
		expiring:          store.NewExpiringKeys(o.Store, o.Clock, o.Limits.Retention),
		wake:              make(chan struct{}, 1),
		heartbeatInterval: o.Limits.HeartbeatTimeout / heartbeatsPerTimeout,
		tracker:           NewTracker(self, o.Limits, rand.Int64N),
	}
}

// Submit implements gate.JobStore.
func (q *Queue) Submit(ctx context.Context, j gate.Job) (string, error) {
	id := ID(uuid.NewString())
	ce, err := q.storeNew(ctx, id, &j)
	if err != nil {
		return "", err
	}
	if ce != nil {
		// The caller may reuse the body after Submit returns.
		b := *ce.entry.Job
		b.Body = append([]byte(nil), b.Body...)
		ce.entry.Job = &b
		go q.runAndStore(context.WithoutCancel(ctx), ce)
	}
	return string(id), nil
}

// storeNew stores a new entry. If this process has a free slot, the entry is stored as claimed and
// returned for the caller to run; otherwise the result is nil. The error is a *gate.Problem.
func (q *Queue) storeNew(ctx context.Context, id ID, j *gate.Job) (*claimedEntry, error) {
	e := newEntry(j, q.options.UnixMillis()+int64(q.options.Limits.RetryWindow))
	runHere, problem := q.reserveSlot(id, e.Customer)
	if problem != nil {
		return nil, problem
	}
	if runHere {
		e.State, e.Worker = Running, q.self
	}
	revision, err := q.compareAndSwap(ctx, id, 0, &e)
	if err != nil {
		if runHere {
			q.releaseSlot(id)
		}
		return nil, submitProblem(err)
	}
	q.mu.Lock()
	q.tracker.UpdateEntry(q.options.Clock.Now(), id, &e, revision)
	q.mu.Unlock()
	if !runHere {
		return nil, nil
	}
	return &claimedEntry{id: id, entry: e, revision: revision}, nil
}

// reserveSlot reserves a slot for a new entry if this process can run it now. It returns a problem
// if the customer has too many open entries.
func (q *Queue) reserveSlot(id ID, c units.CustomerID) (reserved bool, problem *gate.Problem) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tracker.OpenEntries(c) >= q.options.Limits.MaxOpen {
		return false, &gate.Problem{Code: units.QueueFull, Message: "the customer has too many deferred requests"}
	}
	if !q.running || !q.ready() || !q.tracker.ReserveSlot(id) {
		return false, nil
	}
	q.inProgress.Add(1)
	return true, nil
}

// ready reports whether the gateway accepts new requests.
func (q *Queue) ready() bool { return q.options.Ready == nil || q.options.Ready() }

// submitProblem logs an error of storing a new entry and returns the problem to report.
func submitProblem(err error) *gate.Problem {
	klog.Warningf("work: can't store a new entry: %v", err)
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return &gate.Problem{Code: units.BodyTooLarge, Message: "the request is too large to be deferred"}
	case errors.Is(err, store.ErrUnknownResult):
		// The write may have succeeded or may still do so; the entry then runs.
		return &gate.Problem{Code: units.StoreUnavailable, Message: "the request may have been stored", MayHaveRun: true}
	default:
		return &gate.Problem{Code: units.StoreUnavailable, Message: "the request can't be stored"}
	}
}

// Get implements gate.JobStore.
func (q *Queue) Get(ctx context.Context, c units.CustomerID, id string) (*gate.StoredResponse, error) {
	entryID, ok := idFromKey(entryKey(ID(id)))
	if !ok {
		return nil, notFound(id)
	}
	v, err := q.options.Store.Get(ctx, entryKey(entryID))
	if errors.Is(err, store.ErrNotFound) {
		return nil, notFound(id)
	}
	var e Entry
	if err == nil {
		e, err = decode(v.Value)
	}
	if err != nil {
		klog.Warningf("work: can't read an entry: %v", err)
		return nil, &gate.Problem{Code: units.StoreUnavailable, Message: "the deferred request can't be read"}
	}
	switch {
	case e.Customer != c:
		return nil, notFound(id)
	case e.Failure != nil:
		return nil, &gate.Problem{Code: e.Failure.Code, Message: e.Failure.Message, MayHaveRun: e.Failure.MayHaveRun}
	case e.Response != nil:
		return &gate.StoredResponse{Status: e.Response.Status, Header: headerToWire(e.Response.Header), Body: e.Response.Body}, nil
	default:
		return stateResponse(id, e.State), nil
	}
}

// notFound returns the problem for an ID without an entry of the customer.
func notFound(id string) *gate.Problem {
	return &gate.Problem{
		Code: units.InvalidRequest, Message: fmt.Sprintf("there is no deferred request %q", id), Status: http.StatusNotFound,
	}
}

// stateResponse returns the response to a poll before the entry is done. The ID belongs to a
// stored entry, so it contains no characters that JSON escapes.
func stateResponse(id string, s State) *gate.StoredResponse {
	return &gate.StoredResponse{
		Status: http.StatusAccepted,
		Header: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   fmt.Appendf(nil, `{"id":%q,"object":"deferred","status":%q}`, id, s),
	}
}

// compareAndSwap writes an entry that is not done if the key is at the old revision; 0 creates it.
// It returns the new revision.
func (q *Queue) compareAndSwap(ctx context.Context, id ID, old units.Revision, e *Entry) (units.Revision, error) {
	b, err := e.encode()
	if err != nil {
		return 0, err
	}
	revision, err := q.options.Store.CompareAndSwap(ctx, entryKey(id), old, b, 0)
	return revision, q.storeError(err)
}

// storeError wraps an error of the store; nil stays nil. If the store did not respond, it also
// counts an event and restarts the heartbeat timeouts.
func (q *Queue) storeError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownResult) {
		stats.Event("work_store_unavailable")
		q.mu.Lock()
		q.tracker.RestartTimeouts(q.options.Clock.Now())
		q.mu.Unlock()
	}
	return fmt.Errorf("call the store of deferred work: %w", err)
}

// releaseSlot frees the slot of an entry and wakes Run, which waits for all slots before it
// returns.
func (q *Queue) releaseSlot(id ID) {
	defer q.inProgress.Done()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.ReleaseSlot(id)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
