// Package quota bounds what customers use over all gateways. Each gateway owns an
// equal share of a customer's rate and lends what it does not need, so that the sum
// keeps the limit when gateways die, freeze or are cut off. It performs no I/O.
//
// It answers a customer that sends several times its rate, and callers that are spread
// unevenly over the gateways.
package quota

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// minBurst is the least share of a burst, as a time at the share of the rate. Below
	// it, single large requests could never pass.
	minBurst = 2 * clock.Second
	// restartFill is the part of its burst that a gateway starts with after a restart: the
	// process before it may have used the rest.
	restartFill = 0.25
	// overShare is the part of the tolerance for rates that is used.
	overShare = 0.7
	// demandSpan is the time over which demand is averaged.
	demandSpan = clock.Second
	// LoanSpan is how long the borrower may use a loan after it was received.
	LoanSpan = 800 * clock.Millisecond
	// loanHold is how long the lender does without it after it was sent. The difference
	// covers the delay of the message.
	loanHold = 1500 * clock.Millisecond
	// lendMargin is how much above its own demand a lender keeps.
	lendMargin = 1.3
	// keepShare is the part of its own rate that a lender always keeps.
	keepShare = 0.15
	// minLoan is the least loan, in tokens a second.
	minLoan = 50.0
)

// VM names a gateway.
type VM = units.VMID

// Loan is a part of a customer's rate that one gateway leaves to another for a time.
type Loan struct {
	Customer units.CustomerID
	To       VM
	// Rate is in tokens a second.
	Rate float64
}

// Demand is what one gateway was asked for a customer, in tokens a second, and what it
// may give out.
type Demand struct {
	Customer units.CustomerID
	Wanted   float64
	Rate     float64
}

// loan is a rate until a time.
type loan struct {
	amount float64
	until  clock.Time
}

// loans are the loans between two gateways that may still be in use. A later loan
// replaces an earlier one at the borrower, but the message may be lost.
type loans []loan

// rate is the highest rate among the loans in use.
func (l loans) rate(now clock.Time) float64 {
	most := 0.0
	for _, o := range l {
		if now.Before(o.until) {
			most = max(most, o.amount)
		}
	}
	return most
}

// account is the state of one customer at one gateway.
type account struct {
	rate, burst float64
	level       float64
	last        clock.Time
	// wanted is the demand of late, in tokens a second.
	wanted     float64
	wantedAt   clock.Time
	lent       map[VM]loans
	borrowed   map[VM]loan
	unlimited  bool
	perRequest bool
}

// Quota bounds the customers of one gateway. It is not safe for concurrent use.
type Quota struct {
	gateways int
	// fill is the part of its burst that an account starts with.
	fill float64
	// over is the share by which rates may be exceeded. It makes up for buckets that are
	// full at one gateway while another refuses.
	over     float64
	accounts map[units.CustomerID]*account
}

// New returns a Quota for a gateway that is alone. The first process of a gateway owns
// its whole burst.
func New(first bool, over float64) *Quota {
	fill := restartFill
	if first {
		fill = 1
	}
	return &Quota{gateways: 1, fill: fill, over: over * overShare, accounts: map[units.CustomerID]*account{}}
}

// SetGateways sets the number of gateways that share each customer's rate.
func (q *Quota) SetGateways(n int) { q.gateways = max(n, 1) }

func (q *Quota) account(now clock.Time, c *fleet.Customer) *account {
	a, ok := q.accounts[c.ID]
	if !ok {
		a = &account{last: now, wantedAt: now, lent: map[VM]loans{}, borrowed: map[VM]loan{}, level: -1}
		q.accounts[c.ID] = a
	}
	n := float64(q.gateways)
	a.unlimited, a.perRequest = c.Rate <= 0, c.PerRequest
	a.rate = c.Rate * (1 + q.over) / n
	a.burst = max(c.Burst/n, a.rate*minBurst.Seconds())
	if a.level < 0 && !ok {
		a.level = a.burst * q.fill
	}
	return a
}

// effective is the rate that the account may give out now.
func (a *account) effective(now clock.Time) float64 {
	rate := a.rate
	for id, l := range a.lent {
		a.lent[id] = slices.DeleteFunc(l, func(o loan) bool { return !now.Before(o.until) })
		rate -= a.lent[id].rate(now)
	}
	for id, l := range a.borrowed {
		if !now.Before(l.until) {
			delete(a.borrowed, id)
			continue
		}
		rate += l.amount
	}
	return max(rate, 0)
}

func (a *account) refill(now clock.Time) {
	span := now.Sub(a.last)
	if span <= 0 {
		return
	}
	rate := a.effective(now)
	a.level = min(a.level+rate*span.Seconds(), a.burst)
	a.last = now
}

func (a *account) want(now clock.Time, tokens float64) {
	a.decay(now)
	a.wanted += tokens / demandSpan.Seconds()
}

func (a *account) decay(now clock.Time) {
	span := now.Sub(a.wantedAt)
	if span > 0 {
		a.wanted *= max(1-float64(span)/float64(demandSpan), 0)
		a.wantedAt = now
	}
}

// Take takes tokens from the customer's rate. Where they do not suffice it returns
// false and the time until they do.
func (q *Quota) Take(now clock.Time, c *fleet.Customer, tokens float64) (bool, clock.Span) {
	a := q.account(now, c)
	if a.unlimited {
		return true, 0
	}
	a.want(now, tokens)
	a.refill(now)
	// A request above the whole burst passes once the bucket is full.
	need := min(tokens, a.burst)
	if a.level >= need {
		a.level -= tokens
		return true, 0
	}
	rate := max(a.effective(now), a.rate*keepShare, 1)
	return false, clock.Span((need-a.level)/rate*float64(clock.Second)) + clock.Millisecond
}

// Demands returns the demand of all customers.
func (q *Quota) Demands(now clock.Time) []Demand {
	out := make([]Demand, 0, len(q.accounts))
	for id, a := range q.accounts {
		if a.unlimited {
			continue
		}
		a.decay(now)
		out = append(out, Demand{id, a.wanted, a.effective(now)})
	}
	return out
}

// Lend decides which loans to give to gateways that are asked for more than they may
// give out. The loans count as given.
func (q *Quota) Lend(now clock.Time, others map[VM][]Demand) []Loan {
	var out []Loan
	for id, a := range q.accounts {
		if !a.unlimited {
			out = append(out, a.lend(now, id, others)...)
		}
	}
	return out
}

// lend divides what the gateway can spare in proportion to what the others lack.
func (a *account) lend(now clock.Time, id units.CustomerID, others map[VM][]Demand) []Loan {
	a.decay(now)
	a.refill(now)
	spare := min(a.rate-a.wanted*lendMargin, a.rate*(1-keepShare))
	lack, total := lacking(id, others)
	var out []Loan
	for vm, n := range lack {
		rate := min(n, spare*n/total, a.rate*(1-keepShare)-a.lentBut(now, vm))
		if rate < minLoan {
			continue
		}
		a.lent[vm] = append(a.lent[vm], loan{rate, now.Add(loanHold)})
		out = append(out, Loan{id, vm, rate})
	}
	return out
}

// lentBut is the rate lent to others than the VM.
func (a *account) lentBut(now clock.Time, vm VM) float64 {
	total := 0.0
	for id, l := range a.lent {
		if id != vm {
			total += l.rate(now)
		}
	}
	return total
}

// lacking returns what each other gateway was asked for beyond its share.
func lacking(id units.CustomerID, others map[VM][]Demand) (map[VM]float64, float64) {
	lack, total := map[VM]float64{}, 0.0
	for vm, l := range others {
		for _, d := range l {
			if d.Customer == id && d.Wanted*lendMargin > d.Rate {
				lack[vm] = d.Wanted * lendMargin
				total += d.Wanted * lendMargin
			}
		}
	}
	return lack, total
}

// Borrow takes a loan over that another gateway has given.
func (q *Quota) Borrow(now clock.Time, from VM, l Loan) {
	a, ok := q.accounts[l.Customer]
	if !ok {
		return
	}
	a.refill(now)
	a.borrowed[from] = loan{l.Rate, now.Add(LoanSpan)}
}
