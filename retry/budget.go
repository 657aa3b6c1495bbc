// Package retry decides whether and when a failed attempt is retried, and stops requests that
// crash one upstream after another. It performs no I/O and is not safe for concurrent use.
package retry

import (
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// retriesPerSuccess is the retry credit earned by one successful request. It bounds the
	// load on upstreams to 1.1 times the offered load.
	retriesPerSuccess = 0.1
	// initialCredit covers the requests that run on one upstream when it crashes, so that all
	// of them can be retried.
	initialCredit = 32.0
	// maxCredit bounds the credit that accumulates while no request fails.
	maxCredit = 64.0
	// maxCustomers bounds the memory. Beyond it, the credit of all customers is reset, and only
	// the gateway's budget still limits retries.
	maxCustomers = 10_000

	// MaxRefusalRetries is the maximum number of retries of one request after attempts that were
	// refused without running.
	MaxRefusalRetries = 3
	// maxAttempts is the maximum number of attempts that may have run, the first included.
	maxAttempts = 2

	backoffBase = 20 * clock.Millisecond
	backoffCap  = clock.Second
)

// creditBucket holds retry credit; one retry costs 1.
type creditBucket struct {
	credit float64
}

func (b *creditBucket) earn() { b.credit = min(b.credit+retriesPerSuccess, maxCredit) }

func (b *creditBucket) canSpend() bool { return b.credit >= 1 }

// Budget limits retries to a share of the successful requests, for the gateway and for each
// customer, so that retries can't multiply the load when many upstreams fail.
type Budget struct {
	gateway   creditBucket
	customers map[units.CustomerID]*creditBucket
}

// NewBudget returns a Budget with its initial credit.
func NewBudget() *Budget {
	return &Budget{
		gateway:   creditBucket{credit: initialCredit},
		customers: map[units.CustomerID]*creditBucket{},
	}
}

func (b *Budget) customer(id units.CustomerID) *creditBucket {
	c, ok := b.customers[id]
	if !ok {
		if len(b.customers) >= maxCustomers {
			clear(b.customers)
		}
		c = &creditBucket{credit: initialCredit}
		b.customers[id] = c
	}
	return c
}

// RecordSuccess records a successful request, which earns retry credit.
func (b *Budget) RecordSuccess(id units.CustomerID) {
	b.gateway.earn()
	b.customer(id).earn()
}

// Take pays for one retry of the customer. It returns false, and takes nothing, if the credit
// of the gateway or of the customer is used up.
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
	// MayHaveRun is false only if the upstream has certainly not run the request.
	MayHaveRun bool
	// UpstreamCrashed is true if the upstream process died while the request was running.
	UpstreamCrashed bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts counts the attempts that may have run, this one included.
	Attempts int
	// Refusals counts the attempts that were refused without running.
	Refusals int
	// RetryAfter is the delay that the agent suggested, or 0.
	RetryAfter clock.Span
	// TimeLeft is the time until the request's deadline.
	TimeLeft clock.Span
}

// Decision is the response to a failure. The zero value means no retry.
type Decision struct {
	Retry bool
	Delay clock.Span
	// Isolate means that the retry must be the only request on its upstream.
	Isolate bool
}

// Policy decides on retries within a Budget.
type Policy struct {
	budget *Budget
	random *rand.Rand
}

// NewPolicy returns a Policy whose jitter comes from the seed.
func NewPolicy(seed uint64) *Policy {
	return &Policy{budget: NewBudget(), random: rand.New(rand.NewPCG(seed, ^seed))}
}

// RecordSuccess records a successful request, which earns retry credit.
func (p *Policy) RecordSuccess(id units.CustomerID) { p.budget.RecordSuccess(id) }

// Decide returns whether, and after which delay, the request is retried. It charges the budget,
// also if the deadline then rules the retry out.
func (p *Policy) Decide(f Failure) Decision {
	if f.MayHaveRun {
		return p.decideAfterRun(f)
	}
	if f.Refusals > MaxRefusalRetries {
		return Decision{}
	}
	// A refusal caused no work on an upstream, so the first one doesn't count against the budget.
	if f.Refusals > 1 && !p.budget.Take(f.Customer) {
		return Decision{}
	}
	return p.retryBeforeDeadline(f, max(f.RetryAfter, p.backoff(f.Refusals)), false)
}

// decideAfterRun decides on an attempt that may have run.
func (p *Policy) decideAfterRun(f Failure) Decision {
	if !f.Idempotent || f.Attempts >= maxAttempts || !p.budget.Take(f.Customer) {
		return Decision{}
	}
	return p.retryBeforeDeadline(f, p.backoff(f.Attempts), f.UpstreamCrashed)
}

// retryBeforeDeadline returns a retry after the delay, or none if it could not start before
// the request's deadline.
func (p *Policy) retryBeforeDeadline(f Failure, delay clock.Span, isolate bool) Decision {
	if delay >= f.TimeLeft {
		return Decision{}
	}
	return Decision{Retry: true, Delay: delay, Isolate: isolate}
}

// backoff returns a random delay whose upper bound doubles with each failure. It is below 5 ms
// for the first, because another upstream usually has free capacity.
func (p *Policy) backoff(failures int) clock.Span {
	if failures <= 1 {
		return clock.Span(p.random.Int64N(int64(clock.Millisecond) * 5))
	}
	limit := min(backoffBase<<min(failures, 10), backoffCap)
	return clock.Span(p.random.Int64N(int64(limit)))
}
