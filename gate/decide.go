package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// RequestInfo describes a request to the decisions.
type RequestInfo struct {
	Customer units.CustomerID
	// Target is a model, an adapter or, if Service is set, a plain service.
	Target  string
	Service bool
	Class   units.Class
	Cost    units.Tokens
	// Fingerprint is the hash of customer, target and body.
	Fingerprint uint64
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// Deadline is when the answer has to start.
	Deadline clock.Time
	// Idempotent requests may be repeated after they may have run.
	Idempotent bool
	// Exclusive is set while the request is suspected of crashing upstreams: nothing else
	// may run on the upstream meanwhile.
	Exclusive bool
}

// Candidate is a connected agent that offers the target.
type Candidate struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Load is the last report, shared and not to be changed.
	Load *wire.Load
	// ReceivedAt is when the report arrived.
	ReceivedAt clock.Time
	// Outstanding counts the requests of this gateway that the agent holds.
	Outstanding int
	// Failed is set when an earlier attempt of the same request failed there.
	Failed bool
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// Code is empty after a complete answer.
	Code units.Code
	// MayHaveRun is false only when the upstream has not received the request.
	MayHaveRun bool
	// AgentResponded is set when the agent has answered the attempt in any way.
	AgentResponded bool
	// TimeToFirstPart is the span to the first part of the answer; 0 when there was none.
	TimeToFirstPart clock.Span
	// Duration is the span of the whole attempt.
	Duration   clock.Span
	UsedTokens units.Tokens
	// CachedTokens counts tokens of the prompt found in the prefix cache.
	CachedTokens units.Tokens
	// Crashed is set when the upstream crashed while it ran the request.
	Crashed bool
	// CrashID identifies that crash.
	CrashID uint64
	// Canceled is set when the caller went away.
	Canceled bool
}

// Picker chooses upstreams. It is called by many goroutines.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1. The slice is valid only
	// during the call.
	Pick(now clock.Time, q *RequestInfo, c []Candidate) int
	// Started is told of each attempt.
	Started(now clock.Time, u units.UpstreamID, q *RequestInfo)
	// Ended is told of the end of each attempt that has started.
	Ended(now clock.Time, u units.UpstreamID, q *RequestInfo, r AttemptResult)
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
	Reserve(ctx context.Context, q *RequestInfo) (Reservation, error)
}

// Failure is an attempt that did not give a whole answer.
type Failure struct {
	Upstream units.UpstreamID
	Result   AttemptResult
	// FailedAttempts counts the failed attempts of the request, including this one.
	FailedAttempts int
	// NotRunAttempts counts those of them that did not run.
	NotRunAttempts int
	// PartlyDelivered is set when the caller already has a part of the answer, which the
	// next attempt would resume.
	PartlyDelivered bool
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
	Retry(now clock.Time, q *RequestInfo, f Failure) (clock.Span, bool)
	// Succeeded is told of each complete answer.
	Succeeded(now clock.Time, q *RequestInfo)
}

// LeastOutstanding picks the candidate with the fewest outstanding requests of
// this gateway, and one that has failed for this request only when there is no
// other.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ clock.Time, _ *RequestInfo, c []Candidate) int {
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
func (LeastOutstanding) Started(clock.Time, units.UpstreamID, *RequestInfo) {}

// Ended implements Picker.
func (LeastOutstanding) Ended(clock.Time, units.UpstreamID, *RequestInfo, AttemptResult) {}

// permitSpan is how long a permit of Unlimited is valid; it has to cover the
// queue of the gateway, not that of the agent.
const permitSpan = clock.Second

// Unlimited is a Limiter that lets everything start.
type Unlimited struct {
	Clock clock.Clock
}

// Reserve implements Limiter.
func (u Unlimited) Reserve(context.Context, *RequestInfo) (Reservation, error) {
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
func (RetryOnce) Retry(_ clock.Time, q *RequestInfo, f Failure) (clock.Span, bool) {
	if f.Result.MayHaveRun && !q.Idempotent || f.Result.Code == units.CrashSuspect {
		return 0, false
	}
	return 0, f.FailedAttempts <= 1
}

// Succeeded implements Retrier.
func (RetryOnce) Succeeded(clock.Time, *RequestInfo) {}
