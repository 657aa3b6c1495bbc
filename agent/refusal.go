package agent

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// refusal is the reason why an attempt ended without a complete response.
type refusal struct {
	code units.Code
	// mayHaveRun is false only when the upstream has not received the request.
	mayHaveRun bool
	// crashed means that the connection failed before the response was complete.
	crashed bool
	// crashID identifies the crash; 0 without one.
	crashID uint64
	// secondAnswer means that the response was ended at the begin of another one. The upstream is up.
	secondAnswer bool
	// canceled means that the gateway disconnected or canceled the call.
	canceled bool
	// retryAfter is the suggested retry delay in milliseconds; 0 for none.
	retryAfter clock.Span
	message    string
}

// notRun returns a refusal of a request that did not reach the upstream.
func notRun(code units.Code, message string) *refusal {
	return &refusal{code: code, message: message}
}

// refuseFrame counts the refusal and returns its frame.
func (r *refusal) refuseFrame(attempt string, load *wire.Load) *wire.Frame {
	stats.Refuse(r.code)
	return &wire.Frame{Body: &wire.Frame_Refuse{Refuse: &wire.Refuse{
		Attempt: attempt,
		Code:    string(r.code),
		Ran:     r.mayHaveRun,
		Crashed: r.crashed,
		Crash:   r.crashID,
		Wait:    int64(r.retryAfter),
		Message: r.message,
		Load:    load,
	}}}
}
