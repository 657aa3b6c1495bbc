package sched

import (
	"math/rand/v2"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// usedObjectiveShare is the part of the latency objective up to which prompts may wait at an
	// upstream.
	usedObjectiveShare = 1.2
	// lateObjectiveShare is that part for a request that is late already. It only gets what others leave:
	// requests that can be on time may wait at other gateways.
	lateObjectiveShare = 0.4
	// freeShare is the part of the latency objective up to which prompts may wait at an upstream
	// without regard to other gateways.
	freeShare = 0.5
	// maxCreditPrompts bounds the credit of a gateway, in prompts of the size at hand.
	maxCreditPrompts = 2.0
)

// meetsObjective reports whether the prompts at an upstream leave room for one more within the latency
// objective. Beyond that a request waits here, where more urgent ones can overtake it and it can still
// go to another upstream, instead of behind prompts that are late already.
func (s *Scheduler) meetsObjective(now clock.Time, n *candidate, r *Request) bool {
	u := n.state
	if r.Service.Engine == nil || r.Service.FirstEventObjective <= 0 || u.running+u.otherLoad.Running == 0 {
		return true
	}
	usedShare := usedObjectiveShare
	if !now.Before(r.FirstEventDue) {
		usedShare = lateObjectiveShare
	}
	headroomMs := waitLimitMs(n, r, usedShare) - n.waitMs
	if headroomMs >= 0 && n.waitMs < float64(r.Service.FirstEventObjective)*freeShare {
		return true
	}
	return headroomMs >= 0 && u.hasCredit(now, headroomMs*n.rate, float64(n.uncached), s.loadInterval)
}

// waitLimitMs returns how long a prompt may wait for others at an upstream so that its first event
// uses at most the share of the latency objective. Long prompts, which take most of that themselves,
// may wait for a part of the objective, as they could never start under load otherwise.
func waitLimitMs(n *candidate, r *Request, share float64) float64 {
	objective := float64(r.Service.FirstEventObjective)
	own := n.estimateMs - n.waitMs
	return max(objective*share-own, objective*min(share, minWaitShare))
}

// minWaitShare is the part of the latency objective for which any prompt may wait at an upstream.
const minWaitShare = 0.25

// hasCredit reports whether this gateway may use a part of the headroom, in prompt tokens. The other
// gateways see the same headroom until the next reports, so that each of them takes its share of it in
// each interval and saves it up for a prompt.
func (u *upstream) hasCredit(now clock.Time, headroom, tokens float64, interval clock.Span) bool {
	if u.otherLoad.Gateways == 0 || interval <= 0 {
		return true
	}
	share := headroom * u.share(now)
	if u.creditAt == 0 {
		// Gateways begin with different credits, so that they don't use them at the same time.
		u.prefillCredit = rand.Float64() * tokens
		u.creditAt = now
	}
	u.prefillCredit += share * float64(now.Sub(u.creditAt)) / float64(interval)
	u.prefillCredit = min(u.prefillCredit, max(tokens*maxCreditPrompts, share))
	u.creditAt = now
	return u.prefillCredit >= tokens
}

// recordWanted adds a request to the wanted rates of all upstreams that have loaded its model.
func (s *Scheduler) recordWanted(now clock.Time, r *Request) {
	if r.Service.Engine == nil {
		return
	}
	var holders []*upstream
	for id, e := range s.snap.Upstreams {
		if e.Service == r.Service.Name && !e.Draining && !s.snap.ExcludedZones[e.Zone] {
			if u := s.upstream(id); u.hasLoaded(now, e, r) {
				holders = append(holders, u)
			}
		}
	}
	for _, u := range holders {
		u.wanted.add(now, float64(r.Prompt)/float64(len(holders)))
	}
}

// share returns the part of an upstream's room that this gateway may use: by what it wants to send
// there, compared with the other gateways, but at least an equal part.
func (u *upstream) share(now clock.Time) float64 {
	equal := 1 / float64(u.otherLoad.Gateways+1)
	own := u.wanted.at(now)
	if own <= 0 {
		return equal
	}
	return max(own/(own+u.otherLoad.WantedRate), equal)
}
