package quota

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// WithdrawFunc withdraws tokens from the pool on a VM and credits what it grants. It returns false if
// the pool did not answer.
type WithdrawFunc func(vm units.VMID, tokens, extra float64) (Grant, bool)

// Collected is the result of Decision.Collect.
type Collected struct {
	// Granted is set if the pools have granted all tokens.
	Granted bool
	// Answered is set if a pool has answered; otherwise the pools' levels are unknown.
	Answered bool
	// RetryAfter is the delay after which a retry can succeed if the tokens are refused.
	RetryAfter clock.Span
}

// Collect withdraws the tokens of the decision: from the first pool that has all of them, or else from
// several pools that have enough together.
func (d *Decision) Collect(withdraw WithdrawFunc) Collected {
	out := Collected{RetryAfter: d.RetryAfter}
	available := map[units.VMID]float64{}
	total := 0.0
	for _, vm := range d.Withdraw {
		g, ok := withdraw(vm, d.Tokens, d.Extra)
		if !ok {
			continue
		}
		if g.Tokens > 0 {
			return Collected{Granted: true, Answered: true}
		}
		if !out.Answered || g.RetryAfter < out.RetryAfter {
			out.RetryAfter = g.RetryAfter
		}
		out.Answered = true
		available[vm] = g.Available
		total += g.Available
	}
	if total >= d.Tokens {
		out.Granted = d.collectParts(available, withdraw)
	}
	return out
}

// collectParts withdraws the tokens in parts and reports whether it got all of them. What it got
// otherwise stays with the gateway, which deposits it again.
func (d *Decision) collectParts(available map[units.VMID]float64, withdraw WithdrawFunc) bool {
	left := d.Tokens
	for _, vm := range d.Withdraw {
		part := min(left, available[vm])
		if part <= 0 {
			continue
		}
		g, ok := withdraw(vm, part, 0)
		if !ok || g.Tokens <= 0 {
			return false
		}
		left -= g.Tokens
	}
	return left <= rounding
}
