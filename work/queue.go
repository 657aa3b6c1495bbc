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

// Limits bound the work of a gateway. A value of 0 takes the default.
type Limits struct {
	// MaxRunning is the number of entries that run at the same time, 8.
	MaxRunning int
	// MaxOpen is the number of entries of a customer that are not done, 5,000.
	MaxOpen int
	// HeartbeatTimeout is how long a claim must stay unchanged for others to take its entries, 40 s.
	// Night work can wait that long, and a claim is renewed four times meanwhile.
	HeartbeatTimeout clock.Span
	// MaxJitter is the longest delay between two gateways that claim the same entry, 1 s.
	MaxJitter clock.Span
	// RetryWindow is the time after which an entry is given up, 12 h: the morning after.
	RetryWindow clock.Span
	// Retention is how long an answer is kept at least, 24 h.
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

// renewals is how often a claim is renewed within its span.
const renewals = 4

// Options configure a Queue.
type Options struct {
	Store store.KV
	// Execute runs a job with the customer's rate.
	Execute func(context.Context, gate.Job) (*gate.StoredResponse, error)
	Clock   clock.Clock
	// UnixMillis returns the ms since 1970; nil means that of the system.
	UnixMillis func() int64
	// Ready, if set, reports whether the gateway takes new requests.
	Ready  func() bool
	Limits Limits
}

// Queue implements gate.JobStore. It is safe for concurrent use.
type Queue struct {
	options Options
	self    WorkerID
	answers *store.ExpiringKeys
	wake    chan struct{}
	// group counts the places taken.
	group    sync.WaitGroup
	claimed  units.Revision
	renewed  clock.Time
	interval clock.Span

	mu    sync.Mutex
	board *Tracker
	// running is set while Run takes entries.
	running bool
}

var _ gate.JobStore = (*Queue)(nil)

// New returns a Queue; Run runs its entries.
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
		options:  o,
		self:     self,
		answers:  store.NewExpiringKeys(o.Store, o.Clock, o.Limits.Retention),
		wake:     make(chan struct{}, 1),
		interval: o.Limits.HeartbeatTimeout / renewals,
		board:    NewTracker(self, o.Limits, rand.Int64N),
	}
}

// Submit implements gate.JobStore.
func (q *Queue) Submit(ctx context.Context, j gate.Job) (string, error) {
	id := ID(uuid.NewString())
	h, err := q.accept(ctx, id, &j)
	if err != nil {
		return "", err
	}
	if h != nil {
		// The body is valid only during the call.
		b := *h.entry.Job
		b.Body = append([]byte(nil), b.Body...)
		h.entry.Job = &b
		go q.run(context.WithoutCancel(ctx), h)
	}
	return string(id), nil
}

// accept stores a new entry. It returns the entry as held when this process runs it.
func (q *Queue) accept(ctx context.Context, id ID, j *gate.Job) (*held, error) {
	e := newEntry(j, q.options.UnixMillis()+int64(q.options.Limits.RetryWindow))
	mine, p := q.reserve(id, e.Customer)
	if p != nil {
		return nil, p
	}
	if mine {
		e.State, e.Worker = Running, q.self
	}
	at, err := q.swap(ctx, id, 0, &e)
	if err != nil {
		if mine {
			q.release(id)
		}
		return nil, submitProblem(err)
	}
	q.mu.Lock()
	q.board.UpdateEntry(q.options.Clock.Now(), id, &e, at)
	q.mu.Unlock()
	if !mine {
		return nil, nil
	}
	return &held{id: id, entry: e, revision: at}, nil
}

// reserve takes a place for a new entry if this process can run it.
func (q *Queue) reserve(id ID, c units.CustomerID) (mine bool, p *gate.Problem) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.board.OpenEntries(c) >= q.options.Limits.MaxOpen {
		return false, &gate.Problem{Code: units.QueueFull, Message: "the customer has too much deferred work"}
	}
	if !q.running || !q.ready() || !q.board.ReserveSlot(id) {
		return false, nil
	}
	q.group.Add(1)
	return true, nil
}

func (q *Queue) ready() bool { return q.options.Ready == nil || q.options.Ready() }

func submitProblem(err error) *gate.Problem {
	klog.Warningf("work: can't store an entry: %v", err)
	switch {
	case errors.Is(err, store.ErrTooLarge):
		return &gate.Problem{Code: units.BodyTooLarge, Message: "the request is too large to be deferred"}
	case errors.Is(err, store.ErrUnknownResult):
		// An entry that the store has, or yet gets, is run.
		return &gate.Problem{Code: units.StoreUnavailable, Message: "the request may have been stored", MayHaveRun: true}
	default:
		return &gate.Problem{Code: units.StoreUnavailable, Message: "the request can't be stored"}
	}
}

// Get implements gate.JobStore.
func (q *Queue) Get(ctx context.Context, c units.CustomerID, id string) (*gate.StoredResponse, error) {
	n, ok := idOf(key(ID(id)))
	if !ok {
		return nil, notFound(id)
	}
	v, err := q.options.Store.Get(ctx, key(n))
	if errors.Is(err, store.ErrNotFound) {
		return nil, notFound(id)
	}
	var e Entry
	if err == nil {
		e, err = decode(v.Value)
	}
	if err != nil {
		klog.Warningf("work: can't read an entry: %v", err)
		return nil, &gate.Problem{Code: units.StoreUnavailable, Message: "deferred work can't be read"}
	}
	switch {
	case e.Customer != c:
		return nil, notFound(id)
	case e.Failure != nil:
		return nil, &gate.Problem{Code: e.Failure.Code, Message: e.Failure.Message, MayHaveRun: e.Failure.MayHaveRun}
	case e.Response != nil:
		return &gate.StoredResponse{Status: e.Response.Status, Header: toWire(e.Response.Header), Body: e.Response.Body}, nil
	default:
		return stateOf(id, e.State), nil
	}
}

func notFound(id string) *gate.Problem {
	return &gate.Problem{
		Code: units.InvalidRequest, Message: fmt.Sprintf("there is no deferred work %q", id), Status: http.StatusNotFound,
	}
}

// stateOf returns what the customer gets while there is no answer. An id with the
// form of a stored one needs no quoting in JSON.
func stateOf(id string, s State) *gate.StoredResponse {
	return &gate.StoredResponse{
		Status: http.StatusAccepted,
		Header: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   fmt.Appendf(nil, `{"id":%q,"object":"deferred","status":%q}`, id, s),
	}
}

// swap writes an entry that is not done.
func (q *Queue) swap(ctx context.Context, id ID, old units.Revision, e *Entry) (units.Revision, error) {
	b, err := e.encode()
	if err != nil {
		return 0, err
	}
	at, err := q.options.Store.CompareAndSwap(ctx, key(id), old, b, 0)
	return at, q.wrap(err)
}

// wrap notes that the store did not answer.
func (q *Queue) wrap(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknownResult) {
		stats.Event("work_store_unavailable")
		q.mu.Lock()
		q.board.RestartTimeouts(q.options.Clock.Now())
		q.mu.Unlock()
	}
	return fmt.Errorf("store work: %w", err)
}

// release returns the place of an entry. Run waits for all places.
func (q *Queue) release(id ID) {
	defer q.group.Done()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.board.ReleaseSlot(id)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
