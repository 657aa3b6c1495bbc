package once

import (
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// Step is the next action that a Flow requires of its caller.
type Step uint8

// Steps of a Flow. Run, Replay and Refuse end it.
const (
	// Create writes the flow's own record if the store has none for the call.
	Create Step = iota
	// Read reads the record from the store.
	Read
	// QueryAgent queries the agent named in the last record for the outcome of its attempt.
	QueryAgent
	// Replace replaces the last record with the flow's own, unless it has changed.
	Replace
	// Run sends the attempt to the upstream.
	Run
	// Replay answers the call with the stored response.
	Replay
	// Refuse refuses the call.
	Refuse
)

// WriteResult is the result of a write by compare-and-swap.
type WriteResult uint8

// Results of writes.
const (
	// WriteDone means that the write took effect.
	WriteDone WriteResult = iota
	// WriteConflict means that the record has changed and the write did not take effect.
	WriteConflict
	// WriteUncertain means that the write failed, but may have taken effect.
	WriteUncertain
)

// Outcome is the outcome of an attempt as its agent reports it.
type Outcome uint8

// Outcomes of attempts.
const (
	// Unknown means that the attempt may have run, or that the agent did not respond.
	Unknown Outcome = iota
	// NotRun means that the attempt has not run and never will.
	NotRun
	// Running means that the agent has received the attempt and it has not ended.
	Running
	// Ended means that the attempt has ended with a response.
	Ended
)

// maxRounds limits how often a flow handles a changed record before it refuses the call.
// In each such round another gateway has made progress.
const maxRounds = 3

// Flow decides whether one attempt of a call may run. It performs no I/O: the caller
// executes each Step and reports its result with one of the Handle methods. A Flow is not
// safe for concurrent use.
type Flow struct {
	// Step is the next action.
	Step Step
	// Problem is the error for the caller when Step is Refuse.
	Problem *gate.Problem
	// Response is the stored response when Step is Replay.
	Response *Response

	ownRecord  Record
	lastRecord Record
	// revision is that of lastRecord.
	revision units.Revision
	rounds   int
}

// NewFlow returns a Flow that starts with Create; own is the record of the new attempt.
func NewFlow(own Record) Flow { return Flow{Step: Create, ownRecord: own} }

// OwnRecord returns the record that Create and Replace write.
func (f *Flow) OwnRecord() Record { return f.ownRecord }

// LastRecord returns the record that was read last. QueryAgent concerns its attempt.
func (f *Flow) LastRecord() Record { return f.lastRecord }

// Revision returns the revision of the last record, which Replace expects in the store.
func (f *Flow) Revision() units.Revision { return f.revision }

// HandleWrite handles the result of Create or Replace.
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

// HandleMissing handles a Read that found no record: it has been removed in the meantime.
func (f *Flow) HandleMissing() {
	if f.nextRound() {
		f.Step = Create
	}
}

// HandleReadError handles a Read that failed. The record exists, so an earlier attempt may
// have run.
func (f *Flow) HandleReadError() {
	f.refuse(units.OutcomeUnknown, "the record of the call can't be read", true)
}

// HandleRecord handles a Read that returned a record with the revision. inProgress is set
// when the attempt of the record is in progress at this gateway.
func (f *Flow) HandleRecord(r Record, revision units.Revision, inProgress bool) {
	f.lastRecord, f.revision = r, revision
	switch {
	case r.Fingerprint != f.ownRecord.Fingerprint:
		f.refuse(units.InvalidRequest, "the Idempotency-Key belongs to another call", false)
	case r.Response != nil:
		f.replay(r.Response)
	case inProgress:
		f.refuse(units.InProgress, "the call is in progress", true)
	case f.nextRound():
		f.Step = QueryAgent
	}
}

// HandleOutcome handles the result of QueryAgent. The response must be set if the outcome is
// Ended.
func (f *Flow) HandleOutcome(o Outcome, response *Response) {
	switch o {
	case NotRun:
		f.Step = Replace
	case Running:
		f.refuse(units.InProgress, "the call is in progress", true)
	case Ended:
		f.replay(response)
	default:
		f.refuse(units.OutcomeUnknown, "the outcome of the call is unknown", true)
	}
}

// nextRound counts a round. After maxRounds it refuses the call and returns false.
func (f *Flow) nextRound() bool {
	if f.rounds++; f.rounds > maxRounds {
		f.refuse(units.InProgress, "the call is in progress at other gateways", true)
		return false
	}
	return true
}

func (f *Flow) replay(response *Response) { f.Step, f.Response = Replay, response }

// refuse ends the flow. mayHaveRun is set when an earlier attempt of the call may have run.
func (f *Flow) refuse(c units.Code, message string, mayHaveRun bool) {
	f.Step = Refuse
	f.Problem = &gate.Problem{Code: c, Message: message, MayHaveRun: mayHaveRun}
}
