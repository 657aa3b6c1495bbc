package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Query describes a request to the decisions.
type Query struct {
	Customer units.CustomerID
	// Target is a model, an adapter or, if Service is set, a plain service.
	Target  string
	Service bool
	Class   units.Class
	Cost    units.Tokens
	// Fingerprint is the hash of customer, target and body.
	Fingerprint uint64
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Deadline is when the answer has to start.
	Deadline clock.Time
	// Idempotent requests may be repeated after they may have run.
	Idempotent bool
	// Alone is set while the request is suspected of crashing upstreams: nothing else
	// may run on the upstream meanwhile.
	Alone bool
}

// Candidate is a connected agent that offers the target.
type Candidate struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Load is the last report, shared and not to be changed.
	Load *wire.Load
	// Heard is when the report arrived.
	Heard clock.Time
	// Outstanding counts the requests of this gateway that the agent holds.
	Outstanding int
	// Failed is set when an earlier attempt of the same request failed there.
	Failed bool
}

// Result is how an attempt ended.
type Result struct {
	// Code is empty after a complete answer.
	Code units.Code
	// Ran is false only when the upstream has not received the request.
	Ran bool
	// Answered is set when the agent has answered the attempt in any way.
	Answered bool
	// First is the span to the first part of the answer; 0 when there was none.
	First clock.Span
	// Total is the span of the whole attempt.
	Total clock.Span
	Used  units.Tokens
	// Cached counts tokens of the prompt found in the prefix cache.
	Cached units.Tokens
	// Crashed is set when the upstream crashed while it ran the request.
	Crashed bool
	// Crash identifies that crash.
	Crash uint64
	// Cancelled is set when the caller went away.
	Cancelled bool
}

// Picker chooses upstreams. It is called by many goroutines.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1. The slice is valid only
	// during the call.
	Pick(now clock.Time, q *Query, c []Candidate) int
	// Started is told of each attempt.
	Started(now clock.Time, u units.UpstreamID, q *Query)
	// Ended is told of the end of each attempt that has started.
	Ended(now clock.Time, u units.UpstreamID, q *Query, r Result)
}

// Permit is the material of wire.Permit.
type Permit struct {
	// Expires is the last moment of the start, in the gateway's clock.
	Expires clock.Time
	Paid    []*wire.Paid
}

// Reservation holds tokens for one request.
type Reservation interface {
	Permit() Permit
	// Started is called when an agent has confirmed the start.
	Started()
	// Settle ends the reservation; it is called once. Started is false when no
	// upstream has started the request.
	Settle(started bool, used units.Tokens)
	// Lost ends the reservation instead of Settle when it is unknown whether the
	// request was started; it may still be.
	Lost()
}

// Limiter gives permission to start. It is called by many goroutines.
type Limiter interface {
	// Reserve takes the query's cost from the customer's rate, waiting briefly if
	// that helps. A refusal is a *Problem.
	Reserve(ctx context.Context, q *Query) (Reservation, error)
}

// Failure is an attempt that did not give a whole answer.
type Failure struct {
	Upstream units.UpstreamID
	Result   Result
	// Failures counts the failed attempts of the request, including this one.
	Failures int
	// NotRun counts those of them that did not run.
	NotRun int
	// Delivered is set when the caller already has a part of the answer, which the
	// next attempt would resume.
	Delivered bool
}

// Suspects knows the requests that were running when upstreams crashed. It is
// called by many goroutines.
type Suspects interface {
	Verdict(f retry.Fingerprint) retry.Action
	Crashed(f retry.Fingerprint, c retry.CrashID)
	Succeeded(f retry.Fingerprint)
}

// noSuspects is the Suspects of a gateway that does not track crashes.
type noSuspects struct{}

func (noSuspects) Verdict(retry.Fingerprint) retry.Action   { return retry.Allow }
func (noSuspects) Crashed(retry.Fingerprint, retry.CrashID) {}
func (noSuspects) Succeeded(retry.Fingerprint)              {}

// Retrier decides on retries. It is called by many goroutines.
type Retrier interface {
	// Retry reports whether another attempt may start, and after which span.
	Retry(now clock.Time, q *Query, f Failure) (clock.Span, bool)
	// Succeeded is told of each complete answer.
	Succeeded(now clock.Time, q *Query)
}

// LeastOutstanding picks the candidate with the fewest outstanding requests of
// this gateway, and one that has failed for this request only when there is no
// other.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ clock.Time, _ *Query, c []Candidate) int {
	best := -1
	for i := range c {
		if best < 0 || better(&c[i], &c[best]) {
			best = i
		}
	}
	return best
}

func better(a, b *Candidate) bool {
	if a.Failed != b.Failed {
		return !a.Failed
	}
	return a.Outstanding < b.Outstanding
}

// Started implements Picker.
func (LeastOutstanding) Started(clock.Time, units.UpstreamID, *Query) {}

// Ended implements Picker.
func (LeastOutstanding) Ended(clock.Time, units.UpstreamID, *Query, Result) {}

// permitSpan is how long a permit of Unlimited is valid; it has to cover the
// queue of the gateway, not that of the agent.
const permitSpan = clock.Second

// Unlimited is a Limiter that lets everything start.
type Unlimited struct {
	Clock clock.Clock
}

// Reserve implements Limiter.
func (u Unlimited) Reserve(context.Context, *Query) (Reservation, error) {
	return unlimited{expires: u.Clock.Now().Add(permitSpan)}, nil
}

type unlimited struct{ expires clock.Time }

func (u unlimited) Permit() Permit { return Permit{Expires: u.expires} }

func (unlimited) Started() {}

func (unlimited) Lost() {}

func (unlimited) Settle(bool, units.Tokens) {}

// RetryOnce is a Retrier that allows one retry of a request that did not run or
// may be repeated.
type RetryOnce struct{}

// Retry implements Retrier.
func (RetryOnce) Retry(_ clock.Time, q *Query, f Failure) (clock.Span, bool) {
	if f.Result.Ran && !q.Idempotent || f.Result.Code == units.CrashSuspect {
		return 0, false
	}
	return 0, f.Failures <= 1
}

// Succeeded implements Retrier.
func (RetryOnce) Succeeded(clock.Time, *Query) {}
