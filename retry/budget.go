// Package retry decides whether a failed attempt is repeated, where and when, and
// keeps requests that crash upstreams from spreading. It performs no I/O and is
// not safe for concurrent use.
package retry

import (
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// retriesPerSuccess is the number of retries that one success pays for. It bounds the
	// load on upstreams at 1.1 times the offered load.
	retriesPerSuccess = 0.1
	// initialCredit covers the requests that one upstream runs when it crashes, so
	// that all of them can finish elsewhere.
	initialCredit = 32.0
	// maxCredit bounds the retries that a long time without failures saves up.
	maxCredit = 64.0
	// maxCustomers bounds the memory; the budget of the gateway still holds beyond it.
	maxCustomers = 10_000

	// MaxFreeRetries bounds the attempts after refusals that say "not run".
	MaxFreeRetries = 3
	// maxAttempts bounds the attempts that may have run, the first included.
	maxAttempts = 2

	backoffBase = 20 * clock.Millisecond
	backoffCap  = clock.Second
)

// bucket holds retry credit.
type bucket struct {
	credit float64
}

func (b *bucket) earn() { b.credit = min(b.credit+retriesPerSuccess, maxCredit) }

func (b *bucket) canSpend() bool { return b.credit >= 1 }

// Budget limits retries to a share of successes, for the gateway and for each
// customer, so that retries can't multiply the load when many upstreams fail.
type Budget struct {
	gateway   bucket
	customers map[units.CustomerID]*bucket
}

// NewBudget returns a Budget with its reserve.
func NewBudget() *Budget {
	return &Budget{
		gateway:   bucket{credit: initialCredit},
		customers: map[units.CustomerID]*bucket{},
	}
}

func (b *Budget) customer(id units.CustomerID) *bucket {
	c, ok := b.customers[id]
	if !ok {
		if len(b.customers) >= maxCustomers {
			clear(b.customers)
		}
		c = &bucket{credit: initialCredit}
		b.customers[id] = c
	}
	return c
}

// RecordSuccess records a request that was answered.
func (b *Budget) RecordSuccess(id units.CustomerID) {
	b.gateway.earn()
	b.customer(id).earn()
}

// Take pays for one retry and tells whether the credit sufficed.
func (b *Budget) Take(id units.CustomerID) bool {
	c := b.customer(id)
	if !b.gateway.canSpend() || !c.canSpend() {
		return false
	}
	b.gateway.credit--
	c.credit--
	return true
}

// Failure describes an attempt that failed.
type Failure struct {
	Customer units.CustomerID
	Code     units.Code
	// MayHaveRun is false when the upstream can't have received the request.
	MayHaveRun bool
	// UpstreamCrashed tells that the upstream died while the request was running.
	UpstreamCrashed bool
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempts counts the attempts that may have run, this one included.
	Attempts int
	// Refusals counts the attempts that were refused without running.
	Refusals int
	// RetryAfter is the wait that the agent suggested.
	RetryAfter clock.Span
	// TimeLeft is the time until the request's deadline.
	TimeLeft clock.Span
}

// Decision says what follows a failure.
type Decision struct {
	Retry bool
	Delay clock.Span
	// Isolate asks for an upstream where nothing else runs.
	Isolate bool
}

// Policy decides on retries.
type Policy struct {
	budget *Budget
	random *rand.Rand
}

// NewPolicy returns a Policy whose jitter comes from the seed.
func NewPolicy(seed uint64) *Policy {
	return &Policy{budget: NewBudget(), random: rand.New(rand.NewPCG(seed, ^seed))}
}

// RecordSuccess records a request that was answered.
func (p *Policy) RecordSuccess(id units.CustomerID) { p.budget.RecordSuccess(id) }

// Decide tells whether the request is tried again.
func (p *Policy) Decide(f Failure) Decision {
	if f.MayHaveRun {
		return p.afterPossibleRun(f)
	}
	if f.Refusals > MaxFreeRetries {
		return Decision{}
	}
	// A refusal did no work on an upstream, so the first one is free of charge.
	if f.Refusals > 1 && !p.budget.Take(f.Customer) {
		return Decision{}
	}
	return p.ifBeforeDeadline(f, max(f.RetryAfter, p.backoff(f.Refusals)), false)
}

func (p *Policy) afterPossibleRun(f Failure) Decision {
	if !f.Idempotent || f.Attempts >= maxAttempts || !p.budget.Take(f.Customer) {
		return Decision{}
	}
	return p.ifBeforeDeadline(f, p.backoff(f.Attempts), f.UpstreamCrashed)
}

// ifBeforeDeadline refuses a retry that could not start before the deadline.
func (p *Policy) ifBeforeDeadline(f Failure, after clock.Span, alone bool) Decision {
	if after >= f.TimeLeft {
		return Decision{}
	}
	return Decision{Retry: true, Delay: after, Isolate: alone}
}

// backoff returns a random span that grows with the number of failures. The first
// retry after a refusal is immediate: another upstream is usually free.
func (p *Policy) backoff(failures int) clock.Span {
	if failures <= 1 {
		return clock.Span(p.random.Int64N(int64(clock.Millisecond) * 5))
	}
	limit := min(backoffBase<<min(failures, 10), backoffCap)
	return clock.Span(p.random.Int64N(int64(limit)))
}
