package fleet

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// PromptPart is one part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens units.Tokens
}

// Request is what a request says of itself.
type Request struct {
	// RequestID names this attempt of the caller.
	RequestID string
	// APIKey is the secret of the customer; empty where none was sent.
	APIKey string
	// Timeout is how long the caller waits; 0 is unknown.
	Timeout clock.Span
	Model   units.ModelID
	Adapter string
	// PromptTokens and MaxOutput are 0 for requests that name no model.
	PromptTokens, MaxOutputTokens units.Tokens
	// OutputHint is the caller's estimate of the output; 0 is unknown.
	OutputHint  units.Tokens
	PromptParts []PromptPart
	// HasTokenCounts is set where the request states its tokens.
	HasTokenCounts bool
	// LastEventID is the last event that the caller has received of an earlier attempt.
	LastEventID string
}

// Cost is the number of tokens that the request takes from the customer's rate.
func (a *Request) Cost(c *Customer) float64 {
	switch {
	case c.PerRequest:
		return 1
	case a.HasTokenCounts:
		return float64(a.PromptTokens + a.MaxOutputTokens)
	default:
		return float64(c.DefaultTokens)
	}
}

// ExpectedOutput is the expected number of output tokens.
func (a *Request) ExpectedOutput() units.Tokens {
	if a.OutputHint > 0 && a.OutputHint < a.MaxOutputTokens {
		return a.OutputHint
	}
	return a.MaxOutputTokens
}
