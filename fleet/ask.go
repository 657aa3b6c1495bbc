package fleet

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens units.Tokens
}

// Ask is what a request says of itself.
type Ask struct {
	// ID names this attempt of the caller.
	ID string
	// Key is the secret of the customer; empty where none was sent.
	Key string
	// Patience is how long the caller waits; 0 is unknown.
	Patience clock.Span
	Model    units.ModelID
	Adapter  string
	// Prompt and MaxOutput are 0 for requests that name no model.
	Prompt, MaxOutput units.Tokens
	// Hint is the caller's estimate of the output; 0 is unknown.
	Hint  units.Tokens
	Parts []Part
	// Counted is set where the request states its tokens.
	Counted bool
	// After is the last event that the caller has received of an earlier attempt.
	After string
}

// Cost is the number of tokens that the request takes from the customer's rate.
func (a *Ask) Cost(c *Customer) float64 {
	switch {
	case c.PerRequest:
		return 1
	case a.Counted:
		return float64(a.Prompt + a.MaxOutput)
	default:
		return float64(c.Plain)
	}
}

// Output is the expected number of output tokens.
func (a *Ask) Output() units.Tokens {
	if a.Hint > 0 && a.Hint < a.MaxOutput {
		return a.Hint
	}
	return a.MaxOutput
}
