package fleet

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// PromptPart is one part of a prompt that several requests may share. Its ID identifies the text.
type PromptPart struct {
	ID     string
	Tokens units.Tokens
}

// Request is what the headers of a request state.
type Request struct {
	// RequestID identifies one attempt of the caller.
	RequestID string
	// APIKey is the secret of the customer; empty if none was sent.
	APIKey string
	// Timeout is how long the caller waits; 0 is unknown.
	Timeout clock.Span
	Model   units.ModelID
	Adapter string
	// PromptTokens and MaxOutputTokens are 0 for requests that name no model.
	PromptTokens, MaxOutputTokens units.Tokens
	// OutputHint is the caller's estimate of the output; 0 is unknown.
	OutputHint  units.Tokens
	PromptParts []PromptPart
	// HasTokenCounts is set if the request states its tokens.
	HasTokenCounts bool
	// LastEventID is the last event that the caller received in an earlier attempt; empty if none.
	LastEventID string
}

// Cost returns what the request deducts from the customer's rate, in tokens or, for customers that
// are limited by requests, 1.
func (r *Request) Cost(c *Customer) float64 {
	switch {
	case c.PerRequest:
		return 1
	case r.HasTokenCounts:
		return float64(r.PromptTokens + r.MaxOutputTokens)
	default:
		return float64(c.DefaultTokens)
	}
}

// ExpectedOutput returns the expected number of output tokens.
func (r *Request) ExpectedOutput() units.Tokens {
	if r.OutputHint > 0 && r.OutputHint < r.MaxOutputTokens {
		return r.OutputHint
	}
	return r.MaxOutputTokens
}
