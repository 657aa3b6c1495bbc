// Package rate enforces the token rate of each customer across all VMs: in every window,
// requests with at most rate x window + burst tokens are started.
//
// A customer has two slots, or more if its burst is large. Each slot is owned by one gateway,
// which keeps an equal share of the customer's rate and burst in a Bucket. An Owner issues
// grants from its buckets to the Clients of all gateways. A Client combines grants into a
// Reservation for a request, from which the caller makes a Permit for the chosen agent. The
// Fence of the agent checks the Permit when the request arrives there, which counts as the
// start of the request.
//
// The types do no I/O and are not safe for concurrent use. Times are those of the local clock,
// in milliseconds. Rates are measured by the clock of the owner.
package rate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// GrantTTL is the lifetime of a grant, from the time at which the Acquire is sent.
	GrantTTL = clock.Second
	// MaxRefillWait is the longest wait for granted tokens that are not refilled yet.
	MaxRefillWait = 200 * clock.Millisecond
	// ownerGrantTTL is the lifetime of a grant by the clock of its owner. A fast owner and a
	// slow client differ by a factor of 1.01/0.99, less than 1 + 1/40; 2 ms cover rounding.
	ownerGrantTTL = GrantTTL + GrantTTL/40 + 2
)

// padForDrift returns a span that lasts at least as long by a fast clock as s does by a slow
// one, both within 1 %.
func padForDrift(s clock.Span) clock.Span { return s + (s+39)/40 + 1 }

// Limit bounds the tokens that a customer starts: Rate in tokens a second, Burst in tokens.
type Limit struct {
	Rate  units.Tokens
	Burst units.Tokens
}

// GrantID identifies a grant. The client chooses it; it is unique for that client only.
type GrantID uint64

// Acquire requests tokens from the owner of a slot.
type Acquire struct {
	ID       GrantID
	Slot     Slot
	Epoch    units.Epoch
	Customer units.CustomerID
	Tokens   units.Tokens
}

// Grant is the answer to an Acquire.
type Grant struct {
	ID GrantID
	// Tokens may be less than requested, or 0.
	Tokens units.Tokens
	// Wait is the span from the receipt until the tokens may be used. If Tokens is 0, it is
	// the span until some could be granted; -1 means never.
	Wait clock.Span
	// Level is the level of the slot's bucket after the grant; negative if future refills have
	// been granted.
	Level units.Tokens
	// Code is empty or the reason why less than requested was granted: RateExceeded,
	// RateUnavailable (not active yet, or no limit known), PermitStale (not the owner).
	Code units.Code
}

// Settle reports to an owner how the tokens of its grants were used.
type Settle struct {
	Reports []GrantReport
}

// GrantReport is the report on one grant. All amounts are totals, so that reports may be lost,
// repeated or reordered.
type GrantReport struct {
	Grant GrantID
	// Started tokens belong to requests that an agent has admitted.
	Started units.Tokens
	// Returned tokens have not been and will not be started.
	Returned units.Tokens
	// Unused tokens were started, but not needed for the response.
	Unused units.Tokens
	// Final marks the last report on the grant.
	Final bool
}

// BucketTransfer transfers the bucket of one customer to the next owner of the slot.
type BucketTransfer struct {
	Slot Slot
	// Epoch is the epoch of the sender, the former owner.
	Epoch    units.Epoch
	Customer units.CustomerID
	Level    units.Tokens
	// Reserved tokens are in grants that may still be started.
	Reserved units.Tokens
}

// GrantPart is the part of one grant that pays for a permit.
type GrantPart struct {
	Slot   Slot
	Epoch  units.Epoch
	Grant  GrantID
	Tokens units.Tokens
}

// Permit allows one request to start at one agent.
type Permit struct {
	// Expires is the first time, in the agent's clock, at which the permit is no longer valid.
	Expires clock.Time
	Parts   []GrantPart
}

// milliTokens counts thousandths of a token, so that a rate in tokens a second is an integer
// per millisecond.
type milliTokens int64

const milliPerToken = 1000

func toMilliTokens(t units.Tokens) milliTokens { return milliTokens(t) * milliPerToken }

// tokens rounds towards negative infinity.
func (m milliTokens) tokens() units.Tokens {
	t := m / milliPerToken
	if m%milliPerToken < 0 {
		t--
	}
	return units.Tokens(t)
}

// Share is the part of a customer's limit that belongs to one slot.
type Share struct {
	rate  milliTokens // per millisecond
	burst milliTokens
}

// slotShare returns the share of slot i of n. All shares add up exactly to the limit.
func (l Limit) slotShare(i, n int) Share {
	cumulative := func(m milliTokens, i int) milliTokens {
		return m/milliTokens(n)*milliTokens(i) + m%milliTokens(n)*milliTokens(i)/milliTokens(n)
	}
	rate, burst := milliTokens(l.Rate), toMilliTokens(l.Burst)
	return Share{rate: cumulative(rate, i+1) - cumulative(rate, i), burst: cumulative(burst, i+1) - cumulative(burst, i)}
}

const (
	// minSlotBurst is the smallest burst of a slot for customers with more than two slots. It
	// is many times the cost of a request, so that distributing the burst does not leave any
	// slot short.
	minSlotBurst units.Tokens = 128_000
	// maxCustomerShards is the largest number of shards of a customer.
	maxCustomerShards = 64
)

// SlotsOf returns the slots of a customer: both slots of one shard, or of several shards if
// the burst is large, so that no owner has to answer all requests of the customer.
func SlotsOf(c units.CustomerID, l Limit) []Slot {
	shards := 1
	for shards < maxCustomerShards && l.Burst/units.Tokens(2*shards*SlotsPerShard) >= minSlotBurst {
		shards *= 2
	}
	first := xxhash.Sum64String(string(c)) % ShardCount
	out := make([]Slot, 0, shards*SlotsPerShard)
	for i := range shards {
		shard := (first + uint64(i*ShardCount/maxCustomerShards)) % ShardCount
		out = append(out, Slot(shard*SlotsPerShard), Slot(shard*SlotsPerShard+1))
	}
	return out
}
