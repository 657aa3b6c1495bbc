package once

import (
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// Step is what a Flow needs next.
type Step uint8

// Steps of a Flow. Run, Replay and Refuse end it.
const (
	// Create writes the own record if there is none.
	Create Step = iota
	// Read reads the record.
	Read
	// QueryAgent asks the agent of the record for the outcome of its attempt.
	QueryAgent
	// Replace writes the own record over the one read, unless it has changed.
	Replace
	// Run lets the attempt be sent.
	Run
	// Replay repeats the stored answer.
	Replay
	// Refuse refuses the call.
	Refuse
)

// WriteResult is the result of a write by compare-and-swap.
type WriteResult uint8

// Results of writes.
const (
	// WriteDone says that the write took effect.
	WriteDone WriteResult = iota
	// WriteConflict says that the record has changed and the write did not take effect.
	WriteConflict
	// WriteUncertain says that the result is not known, or that the store did not answer.
	WriteUncertain
)

// Outcome is what an agent knows of an attempt.
type Outcome uint8

// Outcomes of attempts.
const (
	// Unknown says that the attempt may have run, or that the agent did not answer.
	Unknown Outcome = iota
	// NotRun says that the attempt has not run and never will.
	NotRun
	// Running says that the attempt has been received and has not ended.
	Running
	// Ended says that there is an answer.
	Ended
)

// maxRounds bounds how often a record is read again because it changed. Each round
// is lost to another gateway that made progress.
const maxRounds = 3

// Flow decides about one attempt of a call. It does no input or output: the caller
// performs the step and reports the result.
type Flow struct {
	// Step is what has to be done next.
	Step Step
	// Problem is the answer when Step is Refuse.
	Problem *gate.Problem
	// Response is the answer when Step is Replay.
	Response *Response

	own      Record
	seen     Record
	revision units.Revision
	rounds   int
}

// NewFlow returns the flow for the attempt of the record.
func NewFlow(own Record) Flow { return Flow{Step: Create, own: own} }

// OwnRecord returns the record to be written by Create and Replace.
func (f *Flow) OwnRecord() Record { return f.own }

// LastRecord returns the record read last, which Ask is about.
func (f *Flow) LastRecord() Record { return f.seen }

// Revision returns the revision that Replace expects.
func (f *Flow) Revision() units.Revision { return f.revision }

// HandleWrite takes the result of Create or Replace.
func (f *Flow) HandleWrite(w WriteResult) {
	switch {
	case w == WriteDone:
		f.Step = Run
	case w == WriteConflict:
		f.Step = Read
	case f.Step == Create:
		f.refuse(units.StoreUnavailable, "the call can't be recorded", false)
	default:
		// Another gateway may have replaced the record and run the call.
		f.refuse(units.OutcomeUnknown, "the record of the call can't be written", true)
	}
}

// HandleMissing takes the news that the record read has been removed.
func (f *Flow) HandleMissing() {
	if f.again() {
		f.Step = Create
	}
}

// HandleReadError takes the news that the record can't be read. It exists, so an earlier
// attempt may have run.
func (f *Flow) HandleReadError() {
	f.refuse(units.OutcomeUnknown, "the record of the call can't be read", true)
}

// HandleRecord takes the record read and its revision. Live reports whether its attempt is
// in progress at this gateway.
func (f *Flow) HandleRecord(r Record, at units.Revision, live bool) {
	f.seen, f.revision = r, at
	switch {
	case r.Fingerprint != f.own.Fingerprint:
		f.refuse(units.InvalidRequest, "the Idempotency-Key belongs to another call", false)
	case r.Response != nil:
		f.replay(r.Response)
	case live:
		f.refuse(units.InProgress, "the call is in progress", true)
	case f.again():
		f.Step = QueryAgent
	}
}

// HandleOutcome takes the outcome of the attempt of the record; the answer is set when it has
// ended.
func (f *Flow) HandleOutcome(o Outcome, a *Response) {
	switch o {
	case NotRun:
		f.Step = Replace
	case Running:
		f.refuse(units.InProgress, "the call is in progress", true)
	case Ended:
		f.replay(a)
	default:
		f.refuse(units.OutcomeUnknown, "the outcome of the call is unknown", true)
	}
}

// again counts a round and refuses the call when there were too many.
func (f *Flow) again() bool {
	if f.rounds++; f.rounds > maxRounds {
		f.refuse(units.InProgress, "the call is in progress at other gateways", true)
		return false
	}
	return true
}

func (f *Flow) replay(a *Response) { f.Step, f.Response = Replay, a }

func (f *Flow) refuse(c units.Code, message string, ran bool) {
	f.Step = Refuse
	f.Problem = &gate.Problem{Code: c, Message: message, MayHaveRun: ran}
}
