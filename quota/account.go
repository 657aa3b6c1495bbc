package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
)

// account is the token bucket of one customer at one gateway.
type account struct {
	// rate, in tokens per second, and burst, in tokens, are the gateway's equal shares.
	rate, burst float64
	// customerBurst is the customer's burst in the last configuration.
	customerBurst float64
	// capacity is the level up to which the bucket is refilled: burst, or more at a pool.
	capacity float64
	// refillRate is the rate at which the bucket is refilled and receives deposits, for estimates of
	// when tokens will be available.
	refillRate float64
	// available is the number of tokens that can be granted at once. It is negative after a request
	// above the capacity.
	available  float64
	refilledAt clock.Time
	// unspent are the tokens of this gateway's requests that wait to be sent.
	unspent float64
	// otherUnspent are those of other gateways, by address, as they have reported them.
	otherUnspent map[string]reportedTokens
	// unspentShare is the fraction of all known unspent tokens that takes room in this bucket if it is a pool's; 0 if it is
	// not: this gateway's own ones take room then.
	unspentShare  float64
	requestedRate float64
	// meanCost is the moving average of the tokens of a request.
	meanCost      float64
	rateUpdatedAt clock.Time
	// Until refusedUntil requests are refused without asking the pools; retryAt is when they are
	// expected to have tokens.
	refusedUntil, retryAt clock.Time
	// deposits and withdrawals count both; they go to the pools in turn.
	deposits, withdrawals int
}

// reportedTokens is a number of tokens that another gateway has reported.
type reportedTokens struct {
	tokens float64
	at     clock.Time
}

// account returns the customer's account, refilled and with its shares updated.
func (q *Limiter) account(now clock.Time, c *fleet.Customer) *account {
	a, ok := q.accounts[c.ID]
	if !ok {
		// Half of the gateways begin with the second pool, so that both fill up evenly.
		a = &account{refilledAt: now, rateUpdatedAt: now, otherUnspent: map[string]reportedTokens{}, deposits: int(xxhash.Sum64String(string(q.self)) % poolsPerCustomer)}
		q.accounts[c.ID] = a
	}
	a.refill(now)
	a.rate = c.Rate * (1 + q.rateMargin) / float64(q.gateways)
	a.burst = q.burst(c) / float64(q.gateways)
	a.capacity, a.refillRate = a.burst, a.rate
	a.unspentShare = 0
	if _, pooled := q.otherPools(now, c.ID); pooled {
		a.capacity, a.unspentShare = q.poolCapacity(c), q.poolShare()
		a.refillRate = max(a.rate, c.Rate*poolBurstShare)
	}
	if !ok {
		a.available = a.burst * q.initialShare
	}
	if c.Burst < a.customerBurst {
		a.available = min(a.available, a.capacity)
	}
	a.customerBurst = c.Burst
	return a
}

// grant records that a request has its tokens.
func (a *account) grant(tokens float64) Decision {
	a.addUnspent(tokens)
	return Decision{Granted: true}
}

// addUnspent adds to the gateway's unspent tokens, or removes some.
func (a *account) addUnspent(tokens float64) {
	if a.unspent += tokens; a.unspent < rounding {
		a.unspent = 0
	}
}

// recordUnspent records the unspent tokens that another gateway has reported.
func (a *account) recordUnspent(now clock.Time, from string, tokens float64) {
	if tokens <= 0 {
		delete(a.otherUnspent, from)
		return
	}
	a.otherUnspent[from] = reportedTokens{tokens, now}
}

// unspentRoom returns the room in the bucket that unspent tokens take. It forgets old reports.
func (a *account) unspentRoom(now clock.Time) float64 {
	if a.unspentShare == 0 {
		return a.unspent
	}
	sum := a.unspent
	for from, r := range a.otherUnspent {
		if now.Sub(r.at) >= unspentTTL {
			delete(a.otherUnspent, from)
			continue
		}
		sum += r.tokens
	}
	return sum * a.unspentShare
}

// refill adds tokens at the gateway's share of the rate, as far as these and the unspent ones leave room. A level above
// that is kept: it consists of tokens that other gateways sent or that were given back.
func (a *account) refill(now clock.Time) {
	span := now.Sub(a.refilledAt)
	if span <= 0 {
		return
	}
	a.refilledAt = now
	if level := a.capacity - a.unspentRoom(now); a.available < level {
		a.available = min(a.available+a.rate*span.Seconds(), level)
	}
}

// recordDemand adds requested tokens to the moving average of the requested rate.
func (a *account) recordDemand(now clock.Time, tokens float64) {
	a.decayDemand(now)
	a.requestedRate += tokens / demandTimeConstant.Seconds()
	if a.meanCost == 0 {
		a.meanCost = tokens
	}
	a.meanCost += (tokens - a.meanCost) * costWeight
}

func (a *account) decayDemand(now clock.Time) {
	if span := now.Sub(a.rateUpdatedAt); span > 0 {
		a.requestedRate *= max(1-float64(span)/float64(demandTimeConstant), 0)
		a.rateUpdatedAt = now
	}
}

// reserve is what the gateway keeps for its own requests: reserveTime of the requested rate, within a
// part of its share of the burst. It keeps nothing if that doesn't pay for a request, since the tokens
// would be of no use at any gateway.
func (a *account) reserve() float64 {
	kept := min(a.requestedRate*reserveTime.Seconds(), a.burst*maxReserveShare)
	if kept < a.meanCost {
		return 0
	}
	return kept
}

// takeFromFull deducts tokens. A request above the capacity passes once the bucket is full; the level
// falls below 0 then.
func (a *account) takeFromFull(tokens, capacity float64) Decision {
	if a.available >= min(tokens, capacity) {
		a.available -= tokens
		return Decision{Granted: true}
	}
	return Decision{RetryAfter: a.delayUntil(min(tokens, capacity))}
}

// refuse records that the pools have refused tokens until a retry after the delay can succeed.
func (a *account) refuse(now clock.Time, retryAfter clock.Span) {
	a.retryAt = now.Add(retryAfter)
	a.refusedUntil = now.Add(min(retryAfter, refusalTTL))
}

// inTurn returns the pools in the order in which the next withdrawal asks them. Were the same one always asked first, the
// other one would stay full, and what is deposited there would be dropped.
func (a *account) inTurn(pools []units.VMID) []units.VMID {
	if len(pools) < 2 {
		return pools
	}
	a.withdrawals++
	first := a.withdrawals % len(pools)
	return slices.Concat(pools[first:], pools[:first])
}

// asksOthers reports whether a gateway that pools tokens withdraws those of a request from the other pool although it has
// enough: every second time from half of its level on, so that the other one doesn't stay full.
func (a *account) asksOthers() bool {
	if a.available >= a.capacity/2 {
		return false
	}
	a.withdrawals++
	return a.withdrawals%2 == 0
}

// delayUntil returns the time until the bucket holds the tokens.
func (a *account) delayUntil(tokens float64) clock.Span {
	return clock.Span((tokens-a.available)/max(a.refillRate, 1)*float64(clock.Second)) + clock.Millisecond
}
