package sched

import (
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/gauge"
	"github.com/magnolialever/magnolialever/pace"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// fullBackoff is the time without new requests after an upstream refused one for lack of
	// capacity.
	fullBackoff = 60 * clock.Millisecond
	// minDownBackoff is the time without new requests after a connection failure; it doubles with
	// each further one up to maxDownBackoff.
	minDownBackoff = 250 * clock.Millisecond
	maxDownBackoff = 2 * clock.Second
	// assumedColdTime is how long an upstream counts as cold after a connection failure, unless a
	// newer description says otherwise.
	assumedColdTime = 4 * clock.Second
	// coldWindow is the window over which requests to a cold upstream are limited.
	coldWindow = clock.Second
	// notLoadedBackoff is how long a model is not requested from an upstream that answered that it
	// is not loaded, unless the upstream sends a newer description.
	notLoadedBackoff = 600 * clock.Millisecond
	// failureWeight is the weight of one attempt in the moving average failureRate.
	failureWeight = 0.1
)

// upstream is the state that a gateway keeps for one upstream besides its description.
type upstream struct {
	id units.UpstreamID
	// running, reservedTokens and pendingPrefill are the gateway's requests in flight, their
	// prompt and expected output tokens, and their prompt tokens before the first event.
	running        int
	reservedTokens units.Tokens
	pendingPrefill units.Tokens
	otherLoad      Load
	// othersPrompts are the prompts that other gateways reported as they sent them.
	othersPrompts pace.Prompts
	// othersReserved is the memory that these need, until digests show it.
	othersReserved pace.SinceDigest
	// prefillCredit is the number of prompt tokens that this gateway may send, as of creditAt, while
	// other gateways use the upstream too.
	prefillCredit float64
	creditAt      clock.Time
	// wanted is the rate of prompt tokens that this gateway would like to send here.
	wanted decayingRate
	// gauge is what was learned of the upstream.
	gauge *gauge.Upstream
	// stops is what the streams from here show of its batch.
	stops pace.Stops
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// downUntil ends the backoff after failStreak connection failures in a row.
	downUntil  clock.Time
	failStreak int
	// fullUntil ends the backoff after a refusal for lack of capacity.
	fullUntil clock.Time
	// unreachableAt is when a connection could not be made last, unless the upstream answered since;
	// 0 is never.
	unreachableAt clock.Time
	// coldUntil is when the upstream stops to count as cold after a connection failure.
	coldUntil clock.Time
	// place is this gateway's place in the rendezvous order for the cold-start limit; unknownPlace
	// until it is needed.
	place int
	// recent are the start times of requests within the last coldWindow.
	recent []clock.Time
	// notLoadedUntil maps models that the upstream answered it has not loaded to the end of their
	// backoff.
	notLoadedUntil map[target]clock.Time
	// replaced is set if another upstream has the address.
	replaced bool
	// prefixes maps prompt parts that were sent to the upstream to the last time they were.
	prefixes map[prefixKey]clock.Time
}

// unknownPlace is a place that has to be computed.
const unknownPlace = -1

// target is a model, with an adapter if not empty.
type target struct {
	model   units.ModelID
	adapter string
}

type prefixKey struct {
	target
	partID string
}

func newUpstream(id units.UpstreamID, s *gauge.Service) *upstream {
	return &upstream{
		id: id, gauge: gauge.NewUpstream(s), place: unknownPlace,
		notLoadedUntil: map[target]clock.Time{}, prefixes: map[prefixKey]clock.Time{},
	}
}

// updateDescription resets what a new description supersedes. With restarted set, it is from a new
// process, which has lost its cache and failure history.
func (u *upstream) updateDescription(now clock.Time, e *view.Entry, restarted bool) {
	clear(u.notLoadedUntil)
	u.replaced = false
	if restarted {
		clear(u.prefixes)
		u.downUntil, u.failStreak, u.failureRate, u.unreachableAt = 0, 0, 0, 0
		u.gauge.Restart()
		u.othersPrompts, u.othersReserved = pace.Prompts{}, pace.SinceDigest{}
	}
	if e.ColdFor == 0 && u.coldUntil != 0 && now.Sub(u.coldUntil.Add(-assumedColdTime)) > clock.Second {
		u.coldUntil = 0
	}
}

func (u *upstream) recordStart(now clock.Time) {
	u.recent = slices.DeleteFunc(u.recent, func(at clock.Time) bool { return now.Sub(at) > coldWindow })
	u.recent = append(u.recent, now)
}

// recentCount returns the number of requests started within the last coldWindow.
func (u *upstream) recentCount(now clock.Time) int {
	n := 0
	for _, at := range u.recent {
		if now.Sub(at) <= coldWindow {
			n++
		}
	}
	return n
}

// resetBackoff ends the backoff of connection failures after an answer.
func (u *upstream) resetBackoff() {
	u.failStreak = 0
	u.downUntil = 0
	u.unreachableAt = 0
}

func (u *upstream) recordOutcome(now clock.Time, a *Attempt, o Outcome) {
	switch o {
	case Served:
		u.resetBackoff()
		u.failureRate *= 1 - failureWeight
	case Failed:
		u.resetBackoff()
		u.failureRate += (1 - u.failureRate) * failureWeight
	case Full:
		u.resetBackoff()
		u.fullUntil = now.Add(fullBackoff)
	case NotLoaded:
		u.notLoadedUntil[target{a.Model, a.Adapter}] = now.Add(notLoadedBackoff)
	case Replaced:
		u.replaced = true
	case Unreachable:
		u.unreachableAt = now
		u.recordConnectionFailure(now)
	case Broken:
		u.recordConnectionFailure(now)
	case Canceled:
	}
}

func (u *upstream) recordConnectionFailure(now clock.Time) {
	u.failureRate += (1 - u.failureRate) * failureWeight
	u.downUntil = now.Add(min(minDownBackoff<<min(u.failStreak, 4), maxDownBackoff))
	u.failStreak++
	u.coldUntil = now.Add(assumedColdTime)
}

// maxPrefixes bounds the prompt parts kept for an upstream; beyond it all are dropped.
const maxPrefixes = 512

func (u *upstream) recordPrefixes(now clock.Time, m units.ModelID, adapter string, parts []fleet.PromptPart) {
	if len(u.prefixes) > maxPrefixes {
		clear(u.prefixes)
	}
	for _, p := range parts {
		u.prefixes[prefixKey{target{m, adapter}, p.ID}] = now
	}
}

// cachedTokens estimates the leading prompt tokens in the upstream's prefix cache, from the
// prompts that this gateway sent there.
func (u *upstream) cachedTokens(m units.ModelID, adapter string, parts []fleet.PromptPart) units.Tokens {
	var n units.Tokens
	for _, p := range parts {
		if _, ok := u.prefixes[prefixKey{target{m, adapter}, p.ID}]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// decayingRate is an exponentially decaying average of a rate per second.
type decayingRate struct {
	rate float64
	// updatedAt is when rate was updated.
	updatedAt clock.Time
}

// wantedTimeConstant is the time constant of the average.
const wantedTimeConstant = clock.Second

func (d *decayingRate) add(now clock.Time, amount float64) {
	d.rate = d.at(now) + amount/wantedTimeConstant.Seconds()
	d.updatedAt = now
}

func (d *decayingRate) at(now clock.Time) float64 {
	return d.rate * math.Exp(-float64(now.Sub(d.updatedAt))/float64(wantedTimeConstant))
}
