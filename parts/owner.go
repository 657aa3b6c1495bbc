package parts

import (
	"context"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// ownerTimeout is how long a request waits for the answer of one owner of a part.
	ownerTimeout = 60 * time.Millisecond
	// silentTimeout replaces ownerTimeout for silentTime after a gateway has not answered.
	silentTimeout = 15 * time.Millisecond
	silentTime    = 500 * clock.Millisecond
	// maxSilent is the number of gateways that are asked in vain before a gateway decides alone, maxUninformed
	// the number of those that answer without knowing what the others know.
	maxSilent     = 8
	maxUninformed = 3
)

// informTime returns the time after which a gateway among n has heard from all others.
func (e *Exchange) informTime(n int) clock.Span { return 2*e.DigestInterval(n) + informedSlack }

// informed reports whether this gateway knows what the others know. The caller holds e.mu.
func (e *Exchange) informed(now clock.Time) bool {
	if e.gateways <= 1 {
		return e.knowsToBeAlone(now)
	}
	paused := e.tickedAt != 0 && now.Sub(e.tickedAt) > pauseThreshold
	return !paused && !now.Before(e.informedAt)
}

// knowsToBeAlone reports whether a gateway that knows no other one can rely on that: the list of gateways was read when
// those that start with it were on it. The caller holds e.mu.
func (e *Exchange) knowsToBeAlone(now clock.Time) bool {
	if !e.AwaitStore {
		return now.Sub(e.startedAt) >= loneTime
	}
	return e.storeReadAt.Sub(e.startedAt) >= loneTime || now.Sub(e.startedAt) >= maxLoneTime
}

// candidates returns the gateways that are alive, the owner of the part first, then those that take its place.
// All gateways agree on the order.
func (e *Exchange) candidates(part ID) []member.Gateway {
	return member.Rank(e.Transport.Alive(), partKey(part))
}

// partKey is the key by which gateways are ranked for a part.
func partKey(part ID) string { return strconv.FormatUint(uint64(part), 16) }

// ownerReply is an owner's answer to a request.
type ownerReply struct {
	reply Reply
	wait  clock.Span
	// informed is not set if the owner was started or paused a moment ago and may have missed crashes.
	informed bool
}

// Ask implements Owners. The first gateway that answers and knows what the others know decides. If none knows
// it, the first of the others counts: after a restart of all gateways they share the permits of a part as well. A
// gateway that was started or paused a moment ago and hears nobody waits; later it decides by what it knows.
func (e *Exchange) Ask(ctx context.Context, part ID, id Permit, stage Stage) (Reply, clock.Span) {
	informed := e.isInformed()
	d := e.askOwners(ctx, partPermit{part, id}, stage, informed)
	switch {
	case d.counts != nil:
		return d.counts.reply, d.counts.wait
	case ctx.Err() != nil:
		return Busy, 0
	case d.uninformed == 0 && !informed:
		stats.Event("part_owners_awaited")
		return Busy, 0
	case d.silent > 0:
		stats.Event("part_owners_silent")
		klog.InfoS("parts: no owner of a part answers", "part", part, "asked", d.silent, "first", d.first)
	}
	reach := e.reachFor(part)
	if !d.first {
		// Other gateways that hear no owner may decide as well.
		reach = ReachFew
	}
	return e.Guard.Request(part, id, stage, reach)
}

// decision says who decides on a request with a part.
type decision struct {
	// counts is the answer of another gateway; nil if this one has to decide.
	counts *ownerReply
	// uninformed is the number of gateways that answered, of which none was informed, silent that of those
	// that did not answer.
	uninformed, silent int
	// first is set if this gateway comes before all others that answer.
	first bool
}

// askOwners asks the candidates of a part one after the other, until one that is informed answers or this
// gateway's turn comes.
func (e *Exchange) askOwners(ctx context.Context, p partPermit, stage Stage, informed bool) decision {
	d := decision{}
	var asked []units.VMID
	for _, g := range e.candidates(p.part) {
		if d.silent >= maxSilent || d.uninformed >= maxUninformed || ctx.Err() != nil {
			break
		}
		if g.VM == e.VM {
			d.first = informed || d.uninformed == 0
			if informed {
				break
			}
			continue
		}
		asked = append(asked, g.VM)
		r, ok := e.askGateway(ctx, g, p, stage)
		if ok && r.reply == Granted {
			// A late answer of one that was asked before can't be told from this one.
			e.addGranters(p, asked)
		}
		switch {
		case ok && r.informed:
			d.counts = &r
			return d
		case !ok:
			d.silent++
			continue
		case d.uninformed == 0:
			d.counts = &r
		}
		d.uninformed++
	}
	if d.first {
		d.counts = nil
	}
	return d
}

// reachFor returns how many of the gateways this one hears when it decides on a part. If it is not the part's owner, the
// owner does not answer and may have granted a request a moment ago.
func (e *Exchange) reachFor(part ID) Reach {
	e.mu.Lock()
	_, reach := e.heard()
	e.mu.Unlock()
	if member.Place(e.Transport.Alive(), e.VM, partKey(part)) > 0 {
		reach = max(reach, ReachMost)
	}
	return reach
}

// heard returns the number of gateways that this one hears, itself included, and what follows. The caller
// holds e.mu.
func (e *Exchange) heard() (int, Reach) {
	alive := len(e.Transport.Alive())
	switch {
	case alive >= e.gateways:
		return alive, ReachAll
	case 2*alive > e.gateways:
		return alive, ReachMost
	}
	return alive, ReachFew
}

// isInformed reports whether this gateway knows what the others know.
func (e *Exchange) isInformed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.informed(e.Clock.Now())
}

// decide decides as the owner of a part.
func (e *Exchange) decide(p partPermit, stage Stage) ownerReply {
	informed := e.isInformed()
	reply, wait := e.Guard.Request(p.part, p.id, stage, e.reachFor(p.part))
	return ownerReply{reply, wait, informed}
}

// askGateway asks another gateway. It returns false if that doesn't answer in time.
func (e *Exchange) askGateway(ctx context.Context, g member.Gateway, p partPermit, stage Stage) (ownerReply, bool) {
	answered := make(chan *wire.PartReply, 1)
	e.mu.Lock()
	e.asks[p] = answered
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asks, p)
	}()
	e.Transport.Send(g.VM, &wire.PartMessage{Body: &wire.PartMessage_Request{Request: &wire.PartRequest{
		Permit: uint64(p.id), Part: uint64(p.part), Stage: encodeStage(stage),
	}}})
	timeout := time.NewTimer(e.timeout(g.VM))
	defer timeout.Stop()
	select {
	case m := <-answered:
		e.setSilent(g.VM, 0)
		reply, ok := decodeReply(m.GetReply())
		return ownerReply{reply, clock.Span(m.GetWaitMs()), !m.GetUninformed()}, ok
	case <-timeout.C:
		e.setSilent(g.VM, e.Clock.Now())
	case <-ctx.Done():
	}
	return ownerReply{}, false
}

// timeout returns how long the answer of another gateway is waited for.
func (e *Exchange) timeout(vm units.VMID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at, ok := e.silentAt[vm]; ok && e.Clock.Now().Sub(at) < silentTime {
		return silentTimeout
	}
	return ownerTimeout
}

// setSilent records that a gateway did not answer at a time; 0 if it answered.
func (e *Exchange) setSilent(vm units.VMID, at clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if at == 0 {
		delete(e.silentAt, vm)
		return
	}
	e.silentAt[vm] = at
}
