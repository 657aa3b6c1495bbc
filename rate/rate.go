// Package rate bounds what each customer starts across all VMs: in every window
// at most rate x window + burst tokens.
//
// A customer has two slots, or more if its burst is large, each owned by one
// gateway that keeps an equal share of the customer's rate and burst in a Bucket. An Owner issues grants to the Clients
// of all gateways. A Client combines grants into a Ticket for a request, from
// which the process makes a Permit for the chosen agent. The Fence of the agent
// checks the Permit when the request arrives there; this is the start.
//
// The types do no I/O and are not safe for concurrent use. Times are of the
// process's own clock. Rates are measured by the clock of the owner.
package rate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// GrantTTL is the life of a grant, counted from the sending of Acquire.
	GrantTTL = clock.Second
	// MaxRefillWait is the longest wait for tokens that are still to be refilled.
	MaxRefillWait = 200 * clock.Millisecond
	// guardTTL is the life of a grant by the clock of its owner. A fast owner and
	// a slow client differ by 1.01/0.99, less than 1/40; 2 ms cover rounding.
	guardTTL = GrantTTL + GrantTTL/40 + 2
)

// driftUp returns s such that s by a fast clock lasts at least as long as the
// argument by a slow one, both within 1 %.
func driftUp(s clock.Span) clock.Span { return s + (s+39)/40 + 1 }

// Limit is what a customer may start: Rate tokens a second, Burst at once.
type Limit struct {
	Rate  units.Tokens
	Burst units.Tokens
}

// GrantID names a grant; the client that asks chooses it. It is unique for one
// client.
type GrantID uint64

// Acquire asks the owner of a slot for tokens.
type Acquire struct {
	ID       GrantID
	Slot     Slot
	Epoch    units.Epoch
	Customer units.CustomerID
	Tokens   units.Tokens
}

// Grant answers an Acquire.
type Grant struct {
	ID GrantID
	// Tokens may be less than asked, or 0.
	Tokens units.Tokens
	// Wait is the span from the receipt until the tokens may be used. When Tokens
	// is 0, it is the span until some would be granted; -1: never.
	Wait clock.Span
	// Level of the slot's bucket after the grant; negative when refills of the
	// near future have been granted.
	Level units.Tokens
	// Code is empty or says why less than asked was granted: RateExceeded,
	// RateUnavailable (the owner is not active yet), PermitStale (not the owner).
	Code units.Code
}

// Settle reports what became of grants.
type Settle struct {
	Reports []GrantReport
}

// GrantReport reports on one grant. All amounts are totals so far, so that a report
// that is lost, repeated or late does no harm.
type GrantReport struct {
	Grant GrantID
	// Started tokens were presented to an agent, which accepted them.
	Started units.Tokens
	// Returned tokens were not and will not be started.
	Returned units.Tokens
	// Unused tokens were started, but the answer did not need them.
	Unused units.Tokens
	// Final tells that no more reports follow.
	Final bool
}

// BucketTransfer hands the bucket of one customer over to the next owner of the slot.
type BucketTransfer struct {
	Slot Slot
	// Epoch of the sender's ownership.
	Epoch    units.Epoch
	Customer units.CustomerID
	Level    units.Tokens
	// Reserved tokens are in grants that may still be started.
	Reserved units.Tokens
}

// GrantPart names the part of one grant that contributes to a permit.
type GrantPart struct {
	Slot   Slot
	Epoch  units.Epoch
	Grant  GrantID
	Tokens units.Tokens
}

// Permit allows a request to start at one agent.
type Permit struct {
	// Expires is the first moment, in the agent's clock, at which it is too late.
	Expires clock.Time
	Parts   []GrantPart
}

// milli counts thousandths of a token, so that a rate in tokens a second is a
// whole number each millisecond.
type milli int64

const milliPerToken = 1000

func toMilli(t units.Tokens) milli { return milli(t) * milliPerToken }

// tokens rounds down, also below zero.
func (m milli) tokens() units.Tokens {
	t := m / milliPerToken
	if m%milliPerToken < 0 {
		t--
	}
	return units.Tokens(t)
}

// Share is the part of a customer's limit that one of its slots holds.
type Share struct {
	rate  milli // a millisecond
	burst milli
}

// part returns the share of slot i of n. The shares add up to the limit exactly.
func (l Limit) part(i, n int) Share {
	cut := func(m milli, i int) milli { return m/milli(n)*milli(i) + m%milli(n)*milli(i)/milli(n) }
	rate, burst := milli(l.Rate), toMilli(l.Burst)
	return Share{rate: cut(rate, i+1) - cut(rate, i), burst: cut(burst, i+1) - cut(burst, i)}
}

const (
	// partBurst is the burst that a slot holds at least when a customer has more
	// than two: many times the cost of a request, so that no request lacks tokens
	// because they are spread.
	partBurst units.Tokens = 128_000
	// partsMax is the largest number of shards of a customer.
	partsMax = 64
)

// SlotsOf returns the slots of a customer: both slots of one shard, or of several
// shards for a large burst, so that no owner has to answer all its requests.
func SlotsOf(c units.CustomerID, l Limit) []Slot {
	parts := 1
	for parts < partsMax && l.Burst/units.Tokens(2*parts*SlotsPerShard) >= partBurst {
		parts *= 2
	}
	first := xxhash.Sum64String(string(c)) % ShardCount
	out := make([]Slot, 0, parts*SlotsPerShard)
	for i := range parts {
		shard := (first + uint64(i*ShardCount/partsMax)) % ShardCount
		out = append(out, Slot(shard*SlotsPerShard), Slot(shard*SlotsPerShard+1))
	}
	return out
}
