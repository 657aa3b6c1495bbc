package agent

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// refusal ends an attempt without a complete answer.
type refusal struct {
	code    units.Code
	ran     bool
	crashed bool
	// crash identifies the crash.
	crash uint64
	// cancelled is set when the gateway gave up.
	cancelled bool
	wait      clock.Span
	message   string
}

// notRun returns a refusal of a request that did not reach the upstream.
func notRun(code units.Code, message string) *refusal {
	return &refusal{code: code, message: message}
}

func (r *refusal) frame(attempt string, load *wire.Load) *wire.Frame {
	stats.Refuse(r.code)
	return &wire.Frame{Body: &wire.Frame_Refuse{Refuse: &wire.Refuse{
		Attempt: attempt,
		Code:    string(r.code),
		Ran:     r.ran,
		Crashed: r.crashed,
		Crash:   r.crash,
		Wait:    int64(r.wait),
		Message: r.message,
		Load:    load,
	}}}
}
