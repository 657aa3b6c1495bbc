// Package quota bounds what customers use over all gateways. Each gateway refills an
// equal share of a customer's rate and passes tokens that it does not need on to others,
// so that the sum keeps the limit when gateways die, freeze or are cut off. It performs
// no I/O.
//
// It answers a customer that sends several times its rate, callers that are spread
// unevenly over the gateways, and bursts at one gateway.
package quota

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// restartFill is the part of its share of a burst that a gateway starts with after a
	// restart. The process before it may have used all; what it could not give out while
	// it was down makes up for this part.
	restartFill = 0.5
	// overShare is the part of the tolerance for rates that is used.
	overShare = 0.7
	// demandSpan is the time over which demand is averaged.
	demandSpan = clock.Second
	// reserveSpan is the demand that a gateway keeps tokens for before it passes any on,
	// lackSpan the one that it asks tokens for.
	reserveSpan = 300 * clock.Millisecond
	lackSpan    = 700 * clock.Millisecond
	// minPass is the least number of tokens that is passed on.
	minPass = 20.0
)

// Transfer is a number of tokens of a customer that one gateway leaves to another. A gift
// that is lost on the way is lost; it never counts twice.
type Transfer struct {
	Customer units.CustomerID
	To       units.VMID
	Tokens   float64
}

// Demand is what one gateway was asked for by a customer and what it has.
type Demand struct {
	Customer units.CustomerID
	// RequestedRate is in tokens a second, requests that were refused included.
	RequestedRate float64
	// Available is the number of tokens that the gateway may give out at once.
	Available float64
}

// lack is the number of tokens that a gateway misses for its demand.
func (d *Demand) lack() float64 { return d.RequestedRate*lackSpan.Seconds() - d.Available }

// spare is the number of tokens that a gateway does not need for the moment.
func (d *Demand) spare() float64 { return d.Available - d.RequestedRate*reserveSpan.Seconds() }

// account is the state of one customer at one gateway.
type account struct {
	customer *fleet.Customer
	// rate and burst are the gateway's shares.
	rate, burst float64
	level       float64
	last        clock.Time
	wanted      float64
	wantedAt    clock.Time
}

// Limiter bounds the customers of one gateway. It is not safe for concurrent use.
type Limiter struct {
	gateways int
	// fill is the part of its share of a burst that an account starts with.
	fill float64
	// over is the share by which rates are exceeded. It makes up for tokens that are at
	// one gateway while another refuses.
	over     float64
	accounts map[units.CustomerID]*account
}

// New returns a Quota for a gateway that is alone. Rates may be exceeded by the share
// over. The first process of a gateway owns its share of a burst in full.
func New(first bool, over float64) *Limiter {
	fill := restartFill
	if first {
		fill = 1
	}
	return &Limiter{gateways: 1, fill: fill, over: over * overShare, accounts: map[units.CustomerID]*account{}}
}

// SetGateways sets the number of gateways that share each customer's rate.
func (q *Limiter) SetGateways(n int) { q.gateways = max(n, 1) }

func (q *Limiter) account(now clock.Time, c *fleet.Customer) *account {
	a, ok := q.accounts[c.ID]
	if !ok {
		a = &account{last: now, wantedAt: now}
		q.accounts[c.ID] = a
	}
	a.refill(now)
	a.customer = c
	a.rate = c.Rate * (1 + q.over) / float64(q.gateways)
	a.burst = c.Burst / float64(q.gateways)
	if !ok {
		a.level = a.burst * q.fill
	}
	return a
}

// refill adds what the rate gives. Tokens beyond the share of the burst come from other
// gateways and are kept.
func (a *account) refill(now clock.Time) {
	span := now.Sub(a.last)
	if span <= 0 {
		return
	}
	a.last = now
	if a.level < a.burst {
		a.level = min(a.level+a.rate*span.Seconds(), a.burst)
	}
}

func (a *account) decay(now clock.Time) {
	if span := now.Sub(a.wantedAt); span > 0 {
		a.wanted *= max(1-float64(span)/float64(demandSpan), 0)
		a.wantedAt = now
	}
}

// Take takes tokens from the customer's rate. Where they do not suffice it returns
// false and the time until they do.
func (q *Limiter) Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	if c.Rate <= 0 {
		return true, 0
	}
	a := q.account(now, c)
	a.decay(now)
	a.wanted += tokens / demandSpan.Seconds()
	// A request above the share of the burst passes once the share is full.
	need := min(tokens, a.burst)
	if a.level >= need {
		a.level -= tokens
		return true, 0
	}
	return false, clock.Span((need-a.level)/max(a.rate, 1)*float64(clock.Second)) + clock.Millisecond
}

// Demands returns the demand of all customers.
func (q *Limiter) Demands(now clock.Time) []Demand {
	out := make([]Demand, 0, len(q.accounts))
	for id, a := range q.accounts {
		a.decay(now)
		a.refill(now)
		out = append(out, Demand{id, a.wanted, a.level})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// TransferSurplus decides which tokens to leave to gateways that miss some. They are taken from
// this gateway at once.
func (q *Limiter) TransferSurplus(now clock.Time, customers []*fleet.Customer, others map[units.VMID][]Demand) []Transfer {
	var out []Transfer
	for _, c := range customers {
		if c.Rate > 0 {
			out = append(out, q.account(now, c).pass(now, others)...)
		}
	}
	return out
}

// pass gives this gateway's part of what the others lack: all that can spare some give
// in proportion, so that together they do not give more than is missing.
func (a *account) pass(now clock.Time, others map[units.VMID][]Demand) []Transfer {
	a.decay(now)
	own := Demand{a.customer.ID, a.wanted, a.level}
	spare := own.spare()
	if spare < minPass {
		return nil
	}
	lack, total, supply := map[units.VMID]float64{}, 0.0, spare
	for vm, l := range others {
		for _, d := range l {
			if d.Customer != a.customer.ID {
				continue
			}
			if n := d.lack(); n > 0 {
				lack[vm] = n
				total += n
			}
			supply += max(d.spare(), 0)
		}
	}
	share := min(spare/supply, spare/max(total, 1))
	var out []Transfer
	for vm, n := range lack {
		if tokens := n * share; tokens >= minPass {
			a.level -= tokens
			out = append(out, Transfer{a.customer.ID, vm, tokens})
		}
	}
	return out
}

// Receive takes over tokens that another gateway left to this one.
func (q *Limiter) Receive(now clock.Time, g Transfer) {
	a, ok := q.accounts[g.Customer]
	if !ok || g.Tokens <= 0 {
		return
	}
	a.refill(now)
	a.level = min(a.level+g.Tokens, a.customer.Burst)
}
