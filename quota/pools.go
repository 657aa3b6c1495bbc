package quota

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// poolsPerCustomer is the number of gateways that pool a customer's tokens. With two of them in
	// different availability zones, the loss of one leaves the other, which holds half of the tokens.
	poolsPerCustomer = 2
	// poolBurstShare is the part of a customer's burst that one pool may hold.
	poolBurstShare = 1.0 / poolsPerCustomer
	// minPoolGateways and gatewaysPerPool bound the gateways that pool tokens of any customer. A
	// gateway sends its deposits to each of them.
	minPoolGateways = 3
	gatewaysPerPool = 10
	// silenceTTL is how long a gateway that did not answer is passed over; it doubles with each
	// further time, up to maxSilenceTTL.
	silenceTTL    = clock.Second
	maxSilenceTTL = 8 * clock.Second
)

// pools chooses the gateways that pool the tokens of each customer.
type pools struct {
	// gateways are those that pool tokens of any customer.
	gateways []member.Gateway
	// ranked caches the order of preference by customer.
	ranked map[units.CustomerID][]member.Gateway
	// silent are gateways that did not answer lately.
	silent map[units.VMID]silence
}

// silence is the time for which a gateway is passed over.
type silence struct {
	until clock.Time
	ttl   clock.Span
}

func newPools() pools {
	return pools{ranked: map[units.CustomerID][]member.Gateway{}, silent: map[units.VMID]silence{}}
}

// setCandidates replaces the gateways to choose from.
func (p *pools) setCandidates(candidates []member.Gateway) {
	n := max(len(candidates)/gatewaysPerPool, minPoolGateways)
	spread := member.SpreadOverZones(member.Rank(member.Strongest(candidates, n), "quota pools"))
	p.gateways = spread[:min(n, len(spread))]
	clear(p.ranked)
}

// of returns the gateways that pool the customer's tokens, best first.
func (p *pools) of(now clock.Time, c units.CustomerID) []units.VMID {
	ranked, ok := p.ranked[c]
	if !ok {
		ranked = member.SpreadOverZones(member.Rank(p.gateways, string(c)))
		p.ranked[c] = ranked
	}
	out := make([]units.VMID, 0, poolsPerCustomer)
	for _, g := range ranked {
		if now.Before(p.silent[g.VM].until) {
			continue
		}
		if out = append(out, g.VM); len(out) == poolsPerCustomer {
			break
		}
	}
	return out
}

// recordSilence passes a gateway over that did not answer. Requests that asked it at the same time
// count as one.
func (p *pools) recordSilence(now clock.Time, vm units.VMID) {
	last := p.silent[vm]
	if now.Before(last.until) {
		return
	}
	ttl := min(max(2*last.ttl, silenceTTL), maxSilenceTTL)
	p.silent[vm] = silence{now.Add(ttl), ttl}
}

func (p *pools) recordAnswer(vm units.VMID) { delete(p.silent, vm) }
