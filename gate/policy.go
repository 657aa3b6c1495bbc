package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// RequestInfo describes a request to the Picker, Limiter and Retrier.
type RequestInfo struct {
	Customer units.CustomerID
	// Target is the ID of a model or adapter or, if Service is set, of a plain service.
	Target  string
	Service bool
	Class   units.Class
	Cost    units.Tokens
	// Fingerprint is a hash of customer, target and body; equal requests have equal fingerprints.
	Fingerprint uint64
	// PrefixHashes are the hashes of the prompt's leading blocks, for prefix cache affinity.
	PrefixHashes []uint64
	// Prompt is what the request shares with others.
	Prompt parts.Prompt
	// Deadline is when the response has to start.
	Deadline clock.Time
	// Idempotent requests may be retried after an attempt that may have run.
	Idempotent bool
	// Exclusive is set while the request is suspected of crashing upstreams: the upstream must run
	// no other request at the same time.
	Exclusive bool
}

// Candidate is a connected upstream that serves the target.
type Candidate struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Load is the last load report. It is shared and must not be modified.
	Load *wire.Load
	// ReceivedAt is when the load report arrived.
	ReceivedAt clock.Time
	// Outstanding is the number of requests of this gateway in flight at the upstream.
	Outstanding int
	// Failed is set when an earlier attempt of the same request failed on this upstream.
	Failed bool
}

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	// Code is the reason of the failure; empty after a complete response.
	Code units.Code
	// MayHaveRun is set after a failure unless the upstream certainly did not receive the request.
	MayHaveRun bool
	// AgentResponded is set when the agent has sent any frame for the attempt, refusals included.
	AgentResponded bool
	// TimeToFirstPart is the time to the first part of the response body; 0 when there was none.
	TimeToFirstPart clock.Span
	// Duration is the time of the whole attempt.
	Duration clock.Span
	// UsedTokens is the number of tokens that the upstream reported as used.
	UsedTokens units.Tokens
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens units.Tokens
	// Crashed is set when the upstream crashed while it ran the request.
	Crashed bool
	// CrashID identifies the crash if Crashed is set.
	CrashID uint64
	// Canceled is set when the request was canceled, such as by a disconnect of the caller.
	Canceled bool
}

// Picker selects upstreams. It must be safe for concurrent use.
type Picker interface {
	// Pick returns the index of the selected candidate, or -1 when none may be used now. The slice
	// is valid only during the call.
	Pick(now clock.Time, info *RequestInfo, c []Candidate) int
	// Started is called before each attempt is sent.
	Started(now clock.Time, u units.UpstreamID, info *RequestInfo)
	// Ended is called at the end of each attempt for which Started was called.
	Ended(now clock.Time, u units.UpstreamID, info *RequestInfo, r AttemptResult)
}

// Permit allows an agent to start a request. It is sent as wire.Permit.
type Permit struct {
	// Expires is when the permit expires, in the gateway's clock. Paid lists the rate tokens that
	// were reserved, by rate slot.
	Expires clock.Time
	Paid    []*wire.Paid
}

// Reservation is a reservation of rate tokens for one request. It is ended by one call of Settle or
// Lost.
type Reservation interface {
	Permit() Permit
	// Started is called when an agent has confirmed that the request started.
	Started()
	// Settle ends the reservation. Started is false when no upstream has started the request; used
	// is the number of tokens it has used.
	Settle(started bool, used units.Tokens)
	// Lost ends the reservation instead of Settle when it is unknown whether the request was or
	// will be started.
	Lost()
}

// Limiter enforces the rates of customers. It must be safe for concurrent use.
type Limiter interface {
	// Reserve reserves the request's cost from the customer's rate. It may wait briefly for tokens.
	// A refusal is a *Problem.
	Reserve(ctx context.Context, info *RequestInfo) (Reservation, error)
}

// Failure describes the failed attempts of a request to the Retrier. Upstream and Result are those
// of the last one.
type Failure struct {
	Upstream units.UpstreamID
	Result   AttemptResult
	// FailedAttempts is the number of failed attempts of the request, including this one. Refusals
	// that pass by themselves, such as cold_limit, are not counted.
	FailedAttempts int
	// NotRunAttempts is the number of failed attempts that certainly did not run.
	NotRunAttempts int
	// PartlyDelivered is set when the caller already has a part of the response, which the next
	// attempt would resume.
	PartlyDelivered bool
}

// Suspects tracks requests that were running when upstreams crashed. It must be safe for concurrent
// use. Verdict returns whether a request may run, Crashed records a crash and Succeeded a complete
// response.
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

// Retrier decides on retries. It must be safe for concurrent use.
type Retrier interface {
	// Retry reports whether another attempt may start, and after which delay in milliseconds.
	Retry(now clock.Time, info *RequestInfo, f Failure) (clock.Span, bool)
	// Succeeded is called after each complete response.
	Succeeded(now clock.Time, info *RequestInfo)
}

// LeastOutstanding is a Picker that selects the candidate with the fewest outstanding requests of
// this gateway. It uses candidates on which this request failed before only when there is no other.
type LeastOutstanding struct{}

// Pick implements Picker.
func (LeastOutstanding) Pick(_ clock.Time, _ *RequestInfo, c []Candidate) int {
	best := -1
	for i := range c {
		if best < 0 || isBetter(&c[i], &c[best]) {
			best = i
		}
	}
	return best
}

// isBetter reports whether a is preferred to b.
func isBetter(a, b *Candidate) bool {
	if a.Failed != b.Failed {
		return !a.Failed
	}
	return a.Outstanding < b.Outstanding
}

// Started implements Picker.
func (LeastOutstanding) Started(clock.Time, units.UpstreamID, *RequestInfo) {}

// Ended implements Picker.
func (LeastOutstanding) Ended(clock.Time, units.UpstreamID, *RequestInfo, AttemptResult) {}

// permitTTL is the validity of permits of Unlimited. It has to cover the time in the gateway's
// queue, not in that of the agent.
const permitTTL = clock.Second

// Unlimited is a Limiter without limits.
type Unlimited struct {
	Clock clock.Clock
}

// Reserve implements Limiter.
func (u Unlimited) Reserve(context.Context, *RequestInfo) (Reservation, error) {
	return unlimitedReservation{expires: u.Clock.Now().Add(permitTTL)}, nil
}

// unlimitedReservation reserves no tokens; it only has a permit.
type unlimitedReservation struct{ expires clock.Time }

func (u unlimitedReservation) Permit() Permit { return Permit{Expires: u.expires} }

func (unlimitedReservation) Started() {}

func (unlimitedReservation) Lost() {}

func (unlimitedReservation) Settle(bool, units.Tokens) {}

// RetryOnce is a Retrier that allows one retry of a request that did not run or is idempotent.
// Requests suspected of crashing upstreams are not retried.
type RetryOnce struct{}

// Retry implements Retrier.
func (RetryOnce) Retry(_ clock.Time, info *RequestInfo, f Failure) (clock.Span, bool) {
	if f.Result.MayHaveRun && !info.Idempotent || f.Result.Code == units.CrashSuspect {
		return 0, false
	}
	return 0, f.FailedAttempts <= 1
}

// Succeeded implements Retrier.
func (RetryOnce) Succeeded(clock.Time, *RequestInfo) {}
