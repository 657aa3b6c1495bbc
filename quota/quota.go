// Package quota limits the token rate of each customer over all gateways. Each gateway refills a
// bucket at an equal share of the customer's rate and transfers tokens that it does not need to
// others, so that the sum stays within the limit when gateways crash, freeze or lose their
// connections. It performs no I/O. It handles customers that exceed their rate several times over,
// callers that are spread unevenly over the gateways, and bursts at one gateway.
package quota

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// restartBurstShare is the part of its share of a burst that a gateway starts with after a
	// restart. The previous process may have used all of it; the tokens that were not refilled
	// during the restart make up for this part.
	restartBurstShare = 0.5
	// usedToleranceShare is the part of the rate tolerance that is used.
	usedToleranceShare = 0.7
	// demandTimeConstant is the time over which the requested rate is averaged.
	demandTimeConstant = clock.Second
	// reserveTime of its own requested rate is what a gateway keeps before it transfers tokens;
	// shortageTime of it is what it lacks tokens for.
	reserveTime  = 300 * clock.Millisecond
	shortageTime = 700 * clock.Millisecond
	// minTransfer is the smallest transfer, in tokens.
	minTransfer = 20.0
)

// Transfer moves tokens of a customer from one gateway's bucket to another's. The sender deducts
// them first, so a lost transfer loses tokens and never adds any.
type Transfer struct {
	Customer units.CustomerID
	To       units.VMID
	Tokens   float64
}

// Demand is one gateway's requested rate and available tokens for a customer.
type Demand struct {
	Customer units.CustomerID
	// RequestedRate is in tokens per second, refused requests included.
	RequestedRate float64
	// Available is the number of tokens that the gateway can grant at once; it can be negative
	// after a request above the gateway's share of the burst.
	Available float64
}

// shortage returns the tokens missing for shortageTime of the requested rate; negative if there
// are enough.
func (d *Demand) shortage() float64 { return d.RequestedRate*shortageTime.Seconds() - d.Available }

// surplus returns the tokens beyond reserveTime of the requested rate; negative if there are too
// few.
func (d *Demand) surplus() float64 { return d.Available - d.RequestedRate*reserveTime.Seconds() }

// account is the token bucket of one customer at one gateway.
type account struct {
	customer *fleet.Customer
	// rate, in tokens per second, and burst, in tokens, are the gateway's shares.
	rate, burst   float64
	available     float64
	refilledAt    clock.Time
	requestedRate float64
	rateUpdatedAt clock.Time
}

// Limiter limits the customers of one gateway. It is not safe for concurrent use.
type Limiter struct {
	gateways int
	// initialShare is the part of its share of a burst that an account starts with.
	initialShare float64
	// rateMargin is the fraction added to rates. It makes up for tokens that are available at one
	// gateway while another refuses requests.
	rateMargin float64
	accounts   map[units.CustomerID]*account
}

// New returns a Limiter that assumes one gateway until SetGateways. The tolerance is the fraction
// by which rates may be exceeded. With first set, this is the gateway's first process, which
// starts with its full share of a burst.
func New(first bool, tolerance float64) *Limiter {
	initialShare := restartBurstShare
	if first {
		initialShare = 1
	}
	return &Limiter{gateways: 1, initialShare: initialShare, rateMargin: tolerance * usedToleranceShare, accounts: map[units.CustomerID]*account{}}
}

// SetGateways sets the number of gateways that share each customer's rate; values below 1 count as
// 1.
func (q *Limiter) SetGateways(n int) { q.gateways = max(n, 1) }

// account returns the customer's account, refilled and with its shares updated.
func (q *Limiter) account(now clock.Time, c *fleet.Customer) *account {
	a, ok := q.accounts[c.ID]
	if !ok {
		a = &account{refilledAt: now, rateUpdatedAt: now}
		q.accounts[c.ID] = a
	}
	a.refill(now)
	a.customer = c
	a.rate = c.Rate * (1 + q.rateMargin) / float64(q.gateways)
	a.burst = c.Burst / float64(q.gateways)
	if !ok {
		a.available = a.burst * q.initialShare
	}
	return a
}

// refill adds tokens at the account's rate up to the share of the burst. Tokens beyond that came
// from other gateways and are kept.
func (a *account) refill(now clock.Time) {
	span := now.Sub(a.refilledAt)
	if span <= 0 {
		return
	}
	a.refilledAt = now
	if a.available < a.burst {
		a.available = min(a.available+a.rate*span.Seconds(), a.burst)
	}
}

// decayRate ages the average of the requested rate.
func (a *account) decayRate(now clock.Time) {
	if span := now.Sub(a.rateUpdatedAt); span > 0 {
		a.requestedRate *= max(1-float64(span)/float64(demandTimeConstant), 0)
		a.rateUpdatedAt = now
	}
}

// Take deducts tokens from the customer's bucket. If there are too few it returns false and the
// delay after which a retry can succeed. Customers without a rate are not limited.
func (q *Limiter) Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	if c.Rate <= 0 {
		return true, 0
	}
	a := q.account(now, c)
	a.decayRate(now)
	a.requestedRate += tokens / demandTimeConstant.Seconds()
	// A request above the share of the burst passes once the share is full. The level may fall
	// below 0.
	need := min(tokens, a.burst)
	if a.available >= need {
		a.available -= tokens
		return true, 0
	}
	return false, clock.Span((need-a.available)/max(a.rate, 1)*float64(clock.Second)) + clock.Millisecond
}

// Demands returns the demand of all customers seen so far, in order of ID.
func (q *Limiter) Demands(now clock.Time) []Demand {
	out := make([]Demand, 0, len(q.accounts))
	for id, a := range q.accounts {
		a.decayRate(now)
		a.refill(now)
		out = append(out, Demand{id, a.requestedRate, a.available})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// TransferSurplus returns transfers of surplus tokens to gateways that lack some and deducts them
// at once. The map others holds the last known demands of the other gateways.
func (q *Limiter) TransferSurplus(now clock.Time, customers []*fleet.Customer, others map[units.VMID][]Demand) []Transfer {
	var out []Transfer
	for _, c := range customers {
		if c.Rate > 0 {
			out = append(out, q.account(now, c).transferSurplus(now, others)...)
		}
	}
	return out
}

// transferSurplus covers this gateway's part of the shortages: all gateways with a surplus
// contribute in proportion to it, so that together they don't exceed the shortage.
func (a *account) transferSurplus(now clock.Time, others map[units.VMID][]Demand) []Transfer {
	a.decayRate(now)
	own := Demand{a.customer.ID, a.requestedRate, a.available}
	surplus := own.surplus()
	if surplus < minTransfer {
		return nil
	}
	shortages, totalShortage, totalSurplus := map[units.VMID]float64{}, 0.0, surplus
	for vm, demands := range others {
		for _, d := range demands {
			if d.Customer != a.customer.ID {
				continue
			}
			if n := d.shortage(); n > 0 {
				shortages[vm] = n
				totalShortage += n
			}
			totalSurplus += max(d.surplus(), 0)
		}
	}
	share := min(surplus/totalSurplus, surplus/max(totalShortage, 1))
	var out []Transfer
	for vm, n := range shortages {
		if tokens := n * share; tokens >= minTransfer {
			a.available -= tokens
			out = append(out, Transfer{a.customer.ID, vm, tokens})
		}
	}
	return out
}

// Receive adds tokens transferred from another gateway, up to the customer's whole burst.
// Transfers for customers without an account here are dropped.
func (q *Limiter) Receive(now clock.Time, g Transfer) {
	a, ok := q.accounts[g.Customer]
	if !ok || g.Tokens <= 0 {
		return
	}
	a.refill(now)
	a.available = min(a.available+g.Tokens, a.customer.Burst)
}
