package quota

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// WithdrawFunc withdraws tokens from the pool on a VM. It returns false if the pool did not answer.
type WithdrawFunc func(vm units.VMID, w Withdrawal) (Grant, bool)

// Collected is the result of Decision.Collect.
type Collected struct {
	// Tokens is what the pools have granted.
	Tokens float64
	// Answered is set if a pool has answered; otherwise the pools' levels are unknown.
	Answered bool
	// RetryAfter is the delay after which a retry can succeed if the tokens are too few.
	RetryAfter clock.Span
}

// Collect withdraws the tokens of the decision: from the first pool that has all of them, or else from
// several pools that have enough together.
func (d *Decision) Collect(withdraw WithdrawFunc) Collected {
	out := Collected{RetryAfter: d.RetryAfter}
	available := map[units.VMID]float64{}
	total := 0.0
	for _, vm := range d.Withdraw {
		g, ok := withdraw(vm, Withdrawal{d.Tokens, d.Extra, d.Unspent})
		if !ok {
			continue
		}
		if g.Tokens > 0 {
			return Collected{Tokens: g.Tokens, Answered: true}
		}
		if !out.Answered || g.RetryAfter < out.RetryAfter {
			out.RetryAfter = g.RetryAfter
		}
		out.Answered = true
		available[vm] = g.Available
		total += g.Available
	}
	if total >= d.Tokens {
		out.Tokens = d.collectParts(available, withdraw)
	}
	return out
}

// collectParts withdraws the tokens in parts and returns what it got.
func (d *Decision) collectParts(available map[units.VMID]float64, withdraw WithdrawFunc) float64 {
	collected := 0.0
	for _, vm := range d.Withdraw {
		part := min(d.Tokens-collected, available[vm])
		if part <= rounding {
			continue
		}
		g, ok := withdraw(vm, Withdrawal{part, 0, d.Unspent})
		if !ok || g.Tokens <= 0 {
			return collected
		}
		collected += g.Tokens
	}
	return collected
}
