// Package quota limits the token rate of each customer over all gateways. Each gateway refills a
// bucket at an equal share of the customer's rate. The tokens of a customer are pooled at two
// gateways: the others deposit there what they don't need and withdraw what a request costs. Tokens
// are deducted before they are sent, so a lost message loses tokens and never adds any, and the sum
// stays within the limit whatever gateways believe about each other. Tokens of requests that wait to be
// sent to an upstream are unspent: they count as if they were still in the bucket, so that it is not
// refilled in their place and the burst bounds what can be used at once. The package performs no I/O. It
// handles many gateways that each see few requests of a customer, customers that exceed their rate
// several times over, and callers that are spread unevenly over the gateways.
package quota

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// restartBurstShare is the part of its share of a burst that a gateway starts with after a
	// restart. The previous process may have used all of it.
	restartBurstShare = 0.25
	// usedRateShare and usedTokensShare are the parts of the tolerance that are added to rates and to
	// bursts. The rest covers overdrafts and tokens that are used some time after their refill.
	usedRateShare   = 0.3
	usedTokensShare = 0.5
	// demandTimeConstant is the time over which the requested rate is averaged.
	demandTimeConstant = clock.Second
	// reserveTime of its own requested rate is what a gateway keeps when it deposits tokens, and what
	// it withdraws beyond a request.
	reserveTime = 300 * clock.Millisecond
	// maxReserveShare is the part of its share of the burst that a gateway keeps at most. The rest is
	// room for what it refills until the next deposit.
	maxReserveShare = 0.25
	// unspentTTL is how long another gateway's unspent tokens are believed.
	unspentTTL = 2 * clock.Second
	// rounding is the error in tokens that sums of amounts may have.
	rounding = 0.001
	// costWeight is the weight of one request in the moving average of requests' costs.
	costWeight = 0.1
	// refusalTTL is how long a gateway refuses a customer's requests without asking again, so that a
	// customer far above its rate doesn't cost a message for each request.
	refusalTTL = 40 * clock.Millisecond
)

// Limiter limits the customers of one gateway. It is not safe for concurrent use.
type Limiter struct {
	self     units.VMID
	gateways int
	pools    pools
	// initialShare is the part of its share of a burst that an account starts with.
	initialShare float64
	// rateMargin is the fraction added to rates, burstMargin the number of tokens added to bursts.
	// They make up for tokens that are on their way between gateways.
	rateMargin, burstMargin float64
	accounts                map[units.CustomerID]*account
}

// Tolerance is by how much the platform lets customers exceed their limits.
type Tolerance struct {
	// Rate is a fraction of the rate.
	Rate float64
	// Tokens is the number of tokens beyond that in any window.
	Tokens float64
}

// New returns a Limiter for the gateway on a VM. It assumes that this is the only gateway until
// SetGateways. With first set, this is the gateway's first process, which starts with its full share
// of a burst.
func New(self units.VMID, first bool, tolerance Tolerance) *Limiter {
	initialShare := restartBurstShare
	if first {
		initialShare = 1
	}
	return &Limiter{
		self: self, gateways: 1, pools: newPools(), initialShare: initialShare,
		rateMargin: tolerance.Rate * usedRateShare, burstMargin: tolerance.Tokens * usedTokensShare,
		accounts: map[units.CustomerID]*account{},
	}
}

// SetGateways sets the number of gateways that share each customer's rate, at least 1, and those
// that may pool tokens.
func (q *Limiter) SetGateways(n int, candidates []member.Gateway) {
	q.gateways = max(n, 1)
	q.pools.setCandidates(candidates)
}

// Pools returns the gateways that pool the customer's tokens at present, in the order in which they
// are asked; this gateway may be one of them.
func (q *Limiter) Pools(now clock.Time, c units.CustomerID) []units.VMID { return q.pools.of(now, c) }

// RecordSilence records that a gateway did not answer a withdrawal. Others take its place for a while.
func (q *Limiter) RecordSilence(now clock.Time, vm units.VMID) { q.pools.recordSilence(now, vm) }

// RecordAnswer records that a gateway answered a withdrawal.
func (q *Limiter) RecordAnswer(vm units.VMID) { q.pools.recordAnswer(vm) }

// Decision is the result of Take.
type Decision struct {
	// Granted is set if the tokens were deducted.
	Granted bool
	// Withdraw lists the gateways to withdraw Tokens from, one after the other. It is empty if the
	// decision is final.
	Withdraw []units.VMID
	// Reserved is the part of the request's tokens that was deducted from the gateway's own bucket.
	Reserved float64
	// Tokens is what the request lacks, Extra what this gateway would like to have beyond it.
	Tokens, Extra float64
	// Unspent are this gateway's unspent tokens of the customer.
	Unspent float64
	// RetryAfter is the delay after which a retry can succeed if the tokens are refused.
	RetryAfter clock.Span
}

// Take deducts tokens from the customer's bucket, or says where to withdraw them. Granted tokens are unspent until
// Spend or Refund. Customers without a rate are not limited.
func (q *Limiter) Take(now clock.Time, c *fleet.Customer, tokens float64) Decision {
	if c.Rate <= 0 {
		return Decision{Granted: true}
	}
	a := q.account(now, c)
	a.recordDemand(now, tokens)
	others, pooled := q.otherPools(now, c.ID)
	if a.available >= tokens {
		if pooled && len(others) > 0 && a.asksOthers() {
			return Decision{Withdraw: others, Tokens: tokens, Unspent: a.unspent, RetryAfter: a.delayUntil(tokens)}
		}
		a.available -= tokens
		return a.grant(tokens)
	}
	if now.Before(a.refusedUntil) {
		return Decision{RetryAfter: a.retryAt.Sub(now)}
	}
	if pooled || len(others) == 0 {
		d := a.takeFromFull(tokens, a.capacity)
		if d.Granted {
			return a.grant(tokens)
		}
		if len(others) == 0 {
			return d
		}
	}
	d := Decision{Withdraw: a.inTurn(others), Reserved: max(a.available, 0), Extra: a.reserve(), Unspent: a.unspent, RetryAfter: a.delayUntil(tokens)}
	d.Tokens = tokens - d.Reserved
	a.available -= d.Reserved
	return d
}

// Settle ends a decision to withdraw tokens with what was collected, and reports whether the request
// has its tokens. What it does not use is credited. If no pool has answered, the request may use the
// gateway's own share.
func (q *Limiter) Settle(now clock.Time, c *fleet.Customer, d Decision, collected Collected) Decision {
	a := q.account(now, c)
	a.available += d.Reserved + collected.Tokens
	tokens := d.Reserved + d.Tokens
	switch {
	case collected.Tokens >= d.Tokens-rounding, a.available >= tokens:
		a.available -= tokens
		return a.grant(tokens)
	case !collected.Answered:
		d := a.takeFromFull(tokens, a.burst)
		if d.Granted {
			return a.grant(tokens)
		}
		return d
	default:
		a.refuse(now, collected.RetryAfter)
		return Decision{RetryAfter: collected.RetryAfter}
	}
}

// Grant is the answer of a pool to a withdrawal.
type Grant struct {
	// Tokens were deducted from the pool; 0 if the withdrawal is refused.
	Tokens float64
	// Available is what a refusing pool holds. The pools of a customer together may have enough.
	Available float64
	// RetryAfter is the delay after which a refused withdrawal may succeed.
	RetryAfter clock.Span
}

// Withdrawal is what a gateway asks a pool for.
type Withdrawal struct {
	// Tokens are needed, Extra is wanted beyond them.
	Tokens, Extra float64
	// Unspent are the gateway's unspent tokens of the customer.
	Unspent float64
}

// Withdraw deducts tokens of the customer for another gateway, which the address identifies, and up to extra more if
// this pool is well filled. If there are too few, it deducts nothing.
func (q *Limiter) Withdraw(now clock.Time, c *fleet.Customer, from string, w Withdrawal) Grant {
	tokens, extra := w.Tokens, w.Extra
	if c.Rate <= 0 {
		return Grant{Tokens: tokens + extra}
	}
	a := q.account(now, c)
	a.recordUnspent(now, from, w.Unspent)
	d := a.takeFromFull(tokens, a.capacity)
	if !d.Granted {
		return Grant{Available: max(a.available, 0), RetryAfter: d.RetryAfter}
	}
	extra = min(extra, max(a.available-a.capacity/2, 0))
	a.available -= extra
	return Grant{Tokens: tokens + extra}
}

// Credit adds tokens that a pool granted too late.
func (q *Limiter) Credit(now clock.Time, c *fleet.Customer, tokens float64) {
	if tokens > 0 && c.Rate > 0 {
		q.account(now, c).available += tokens
	}
}

// Spend records that a request with granted tokens is sent to an upstream.
func (q *Limiter) Spend(now clock.Time, c *fleet.Customer, tokens float64) {
	if c.Rate > 0 {
		q.account(now, c).addUnspent(-tokens)
	}
}

// Unspend records that a request was sent in vain and waits again, since no upstream has run it.
func (q *Limiter) Unspend(now clock.Time, c *fleet.Customer, tokens float64) {
	if c.Rate > 0 {
		q.account(now, c).addUnspent(tokens)
	}
}

// Refund returns the unspent tokens of a request that has not run and never will.
func (q *Limiter) Refund(now clock.Time, c *fleet.Customer, tokens float64) {
	if tokens > 0 && c.Rate > 0 {
		a := q.account(now, c)
		a.addUnspent(-tokens)
		a.available += tokens
	}
}

// Receive adds tokens that another gateway has deposited. What exceeds the part of the burst that a
// pool may hold is dropped.
func (q *Limiter) Receive(now clock.Time, c *fleet.Customer, tokens float64) {
	if tokens <= 0 || c.Rate <= 0 {
		return
	}
	a := q.account(now, c)
	a.available = max(min(a.available+tokens, q.poolCapacity(c)-a.unspentRoom(now)), a.available)
}

// burst returns the customer's burst with the margin.
func (q *Limiter) burst(c *fleet.Customer) float64 { return c.Burst + q.burstMargin }

// poolCapacity returns the number of tokens that a pool may hold.
func (q *Limiter) poolCapacity(c *fleet.Customer) float64 {
	return q.burst(c) * q.poolShare()
}

// poolShare returns the fraction of a burst that a pool may hold.
func (q *Limiter) poolShare() float64 { return max(poolBurstShare, 1/float64(q.gateways)) }

// Deposit is an amount of a customer's tokens to be sent to a pool.
type Deposit struct {
	Customer units.CustomerID
	Tokens   float64
}

// Deposits deducts the tokens that this gateway doesn't need and returns them by the pool to send
// them to. Without a pool the tokens are kept.
func (q *Limiter) Deposits(now clock.Time, customers []*fleet.Customer) map[units.VMID][]Deposit {
	out := map[units.VMID][]Deposit{}
	for _, c := range customers {
		if c.Rate <= 0 {
			continue
		}
		a := q.account(now, c)
		others, pooled := q.otherPools(now, c.ID)
		if pooled || len(others) == 0 {
			continue
		}
		surplus := a.available - a.reserve()
		if surplus <= 0 || surplus < a.burst*minDepositShare {
			continue
		}
		a.available -= surplus
		a.deposits++
		to := others[a.deposits%len(others)]
		out[to] = append(out[to], Deposit{c.ID, surplus})
	}
	return out
}

// minDepositShare is the smallest deposit, as a part of the gateway's share of the burst.
const minDepositShare = 0.1

// otherPools returns the customer's pools without this gateway, and whether it is one of them.
func (q *Limiter) otherPools(now clock.Time, c units.CustomerID) (others []units.VMID, pooled bool) {
	for _, vm := range q.pools.of(now, c) {
		if vm == q.self {
			pooled = true
			continue
		}
		others = append(others, vm)
	}
	return others, pooled
}
