package once

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/units"
)

// The explorer is a model checker: it visits every reachable state of two gateways, one
// agent and a store. No rule forces an actor to take a step, so each may stop forever in
// any state, which covers crashed and frozen gateways. The number of writes that are lost
// or delayed is limited; the number of lost queries and connections is not.

const (
	gateways = 2
	// attemptsPerGateway is the number of attempts that each gateway makes in sequence.
	attemptsPerGateway = 2
	attempts           = gateways * attemptsPerGateway
)

// protocolFaults are deliberate errors in the protocol that the explorer must detect.
type protocolFaults struct {
	// dispatchFirst sends the call before its record is written.
	dispatchFirst bool
	// runAfterNotRun lets an attempt run after the agent has reported NotRun for it.
	runAfterNotRun bool
	// unconditionalReplace replaces a record without comparing its revision.
	unconditionalReplace bool
}

// model holds the parameters that are the same in all states.
type model struct {
	protocolFaults
	// fingerprints are those of the attempts' calls: attempts with the same one belong to
	// the same call.
	fingerprints [attempts]uint64
	// maxLostWrites limits the writes whose results are lost.
	maxLostWrites int8
	// maxRestarts limits the restarts of the agent.
	maxRestarts int8
}

// agentState is the state of an attempt at the agent.
type agentState uint8

// States of an attempt. After promisedNotRun the agent has reported NotRun and must never
// run the attempt; after forgotten it can no longer report the outcome.
const (
	absent agentState = iota
	queued
	running
	ended
	promisedNotRun
	forgotten
)

// reply is the message in flight from the agent to the gateway of an attempt.
type reply uint8

// Messages of the agent.
const (
	none reply = iota
	answered
	notRun
	failed
)

// phase is the progress of a gateway's current attempt.
type phase uint8

const (
	idle phase = iota
	deciding
	waiting
	storing
	removing
)

// gatewayState is the state of one gateway.
type gatewayState struct {
	phase phase
	// attemptsMade counts the attempts that have ended.
	attemptsMade int8
	flow         Flow
	revision     units.Revision
}

// pendingWrite is a write by compare-and-swap that takes effect late; attempt -1 removes
// the record.
type pendingWrite struct {
	pending  bool
	expected units.Revision
	attempt  int8
	record   Record
}

// systemState is the state of the store, the agent, the network and the gateways.
type systemState struct {
	record        Record
	revision      units.Revision
	lastRevision  units.Revision
	delayedWrites [2]pendingWrite
	lostWrites    int8

	incarnation     uint64
	restarts        int8
	agentStates     [attempts]agentState
	callsInFlight   [attempts]uint64 // incarnation in the call, or 0
	queriesInFlight [attempts]uint64 // incarnation in the query, or 0
	repliesInFlight [attempts]reply

	gateways [gateways]gatewayState
	// The rest is the history that violation checks: runs of attempts, and what their
	// callers received.
	runs     [attempts]uint8
	refused  [attempts]bool // as not run
	answered [attempts]int8 // the attempt whose response the caller received, plus 1
}

var responses = func() (a [attempts]*Response) {
	for i := range a {
		a[i] = &Response{Status: 200 + i}
	}
	return a
}()

func attemptID(i int) units.AttemptID { return units.AttemptID(fmt.Sprint("a", i)) }

func attemptIndex(r *Record) int { return int(r.Attempt[1] - '0') }

// violation describes which guarantee the state violates; empty if none.
func (m *model) violation(s *systemState) string {
	for i := range attempts {
		if s.refused[i] && s.runs[i] > 0 {
			return fmt.Sprintf("attempt %d ran although its caller received that it did not run", i)
		}
		if source := s.answered[i]; source > 0 && (s.runs[source-1] != 1 || m.fingerprints[source-1] != m.fingerprints[i]) {
			return fmt.Sprintf("attempt %d got the response of %d", i, source-1)
		}
		runs := uint8(0)
		for k := range attempts {
			if m.fingerprints[k] == m.fingerprints[i] {
				runs += s.runs[k]
			}
		}
		if runs > 1 {
			return "the call ran twice"
		}
	}
	return ""
}

// successors calls visit with each possible successor of the state.
func (m *model) successors(s systemState, visit func(systemState)) {
	for g := range gateways {
		m.stepGateway(s, g, visit)
	}
	for i := range attempts {
		m.stepAgent(s, i, visit)
	}
	for n := range s.delayedWrites {
		if op := s.delayedWrites[n]; op.pending {
			next := s
			next.delayedWrites[n] = pendingWrite{}
			next.apply(op)
			visit(next)
		}
	}
	if s.restarts < m.maxRestarts {
		s.restarts++
		s.incarnation++
		s.agentStates = [attempts]agentState{}
		visit(s)
	}
}

// apply executes a write and reports whether it took effect.
func (s *systemState) apply(op pendingWrite) bool {
	if s.revision != op.expected {
		return false
	}
	if op.attempt < 0 {
		s.record, s.revision = Record{}, 0
		return true
	}
	s.lastRevision++
	s.record, s.revision = op.record, s.lastRevision
	return true
}

// store calls visit with each possible state after a write of a gateway, and the result that
// the gateway receives.
func (m *model) store(s systemState, op pendingWrite, visit func(systemState, WriteResult)) {
	next := s
	if next.apply(op) {
		visit(next, WriteDone)
	} else {
		visit(next, WriteConflict)
	}
	visit(s, WriteUncertain)
	if s.lostWrites >= m.maxLostWrites {
		return
	}
	s.lostWrites++
	next = s
	next.apply(op)
	visit(next, WriteUncertain)
	for n := range s.delayedWrites {
		if !s.delayedWrites[n].pending {
			op.pending = true
			s.delayedWrites[n] = op
			visit(s, WriteUncertain)
			return
		}
	}
}

// stepGateway calls visit with each possible state after the next step of gateway g.
func (m *model) stepGateway(s systemState, g int, visit func(systemState)) {
	gw := &s.gateways[g]
	i := g*attemptsPerGateway + int(gw.attemptsMade)
	switch gw.phase {
	case idle:
		if gw.attemptsMade == attemptsPerGateway {
			return
		}
		gw.phase = deciding
		gw.flow = NewFlow(Record{
			Version: recordVersion, Attempt: attemptID(i), Incarnation: s.incarnation, Fingerprint: m.fingerprints[i],
		})
		if m.dispatchFirst {
			s.callsInFlight[i] = s.incarnation
		}
		visit(s)
	case deciding:
		m.stepFlow(s, g, i, visit)
	case waiting:
		m.receiveReply(s, g, i, visit)
	case storing, removing:
		op := pendingWrite{expected: gw.revision, attempt: -1}
		if gw.phase == storing {
			op.attempt, op.record = int8(i), gw.flow.ownRecord
		}
		m.store(s, op, func(next systemState, _ WriteResult) {
			next.gateways[g] = gatewayState{attemptsMade: gw.attemptsMade + 1}
			visit(next)
		})
	}
}

// stepFlow calls visit with each possible state after the next step of the flow of gateway g
// for attempt i.
func (m *model) stepFlow(s systemState, g, i int, visit func(systemState)) {
	gw := &s.gateways[g]
	f := &gw.flow
	switch f.Step {
	case Create, Replace:
		op := pendingWrite{attempt: int8(i), record: f.OwnRecord()}
		if f.Step == Replace {
			op.expected = f.Revision()
			if m.unconditionalReplace {
				op.expected = s.revision
			}
		}
		m.store(s, op, func(next systemState, r WriteResult) {
			gw := &next.gateways[g]
			if gw.flow.HandleWrite(r); r == WriteDone {
				gw.revision = next.revision
			}
			visit(next)
		})
	case Read:
		next := s
		next.gateways[g].flow.HandleReadError()
		visit(next)
		if s.revision == 0 {
			f.HandleMissing()
		} else {
			f.HandleRecord(s.record, s.revision, false)
		}
		visit(s)
	case QueryAgent:
		m.queryAgent(s, g, visit)
	case Run:
		if !m.dispatchFirst {
			s.callsInFlight[i] = f.ownRecord.Incarnation
		}
		gw.phase = waiting
		visit(s)
	default:
		panic("applyDecisions ends the flow")
	}
}

// applyDecisions answers callers as their flows have decided, and clears fields that no longer
// matter, so that equivalent states are equal.
func (s *systemState) applyDecisions() {
	for g := range s.gateways {
		gw := &s.gateways[g]
		i := g*attemptsPerGateway + int(gw.attemptsMade)
		switch f := &gw.flow; {
		case gw.phase != deciding:
		case f.Step == Replay:
			s.answered[i] = int8(f.Response.Status - 199)
			*gw = gatewayState{attemptsMade: gw.attemptsMade + 1}
		case f.Step == Refuse:
			s.refused[i] = !f.Problem.MayHaveRun
			*gw = gatewayState{attemptsMade: gw.attemptsMade + 1}
		case f.Step == Run || f.Step == Create || f.Step == Read:
			f.lastRecord, f.revision = Record{}, 0
		}
		for k := range gw.attemptsMade {
			s.repliesInFlight[g*attemptsPerGateway+int(k)] = none
		}
	}
	s.normalizeRevisions()
}

// normalizeRevisions replaces revisions by their ranks, as only their equality matters.
func (s *systemState) normalizeRevisions() {
	revisions := [...]*units.Revision{
		&s.revision, &s.delayedWrites[0].expected, &s.delayedWrites[1].expected,
		&s.gateways[0].revision, &s.gateways[0].flow.revision, &s.gateways[1].revision, &s.gateways[1].flow.revision,
	}
	var used [2 * len(revisions)]bool // revisions in use: at most one of them is new
	for _, r := range revisions {
		used[*r] = true
	}
	var rank [2 * len(revisions)]units.Revision
	s.lastRevision = 0
	for r := 1; r < len(used); r++ {
		if used[r] {
			s.lastRevision++
			rank[r] = s.lastRevision
		}
	}
	for _, r := range revisions {
		*r = rank[*r]
	}
}

// stateKey is a compact encoding of a state.
type stateKey [96]byte

func (k *stateKey) add(pos *int, values ...uint8) { *pos += copy(k[*pos:], values) }

// addRecord appends a record at pos. If mirror is attemptsPerGateway, the gateways are swapped.
func (k *stateKey) addRecord(pos *int, r *Record, mirror int) {
	if r.Version == 0 {
		k.add(pos, 0)
		return
	}
	kind := uint8(1)
	if r.Response != nil {
		kind = 2
	}
	k.add(pos, kind, uint8(attemptIndex(r)^mirror), uint8(r.Incarnation))
}

// encode returns the key of the state. If mirror is attemptsPerGateway, the gateways are
// swapped; otherwise it is 0.
func (s *systemState) encode(mirror int) (k stateKey) {
	pos := 0
	k.addRecord(&pos, &s.record, mirror)
	k.add(&pos, uint8(s.revision), uint8(s.lostWrites), uint8(s.restarts))
	for n := range s.delayedWrites {
		op := &s.delayedWrites[n]
		if op.pending {
			k.add(&pos, 1, uint8(op.expected))
			k.addRecord(&pos, &op.record, mirror)
		} else {
			k.add(&pos, 0)
		}
	}
	for a := range attempts {
		i := a ^ mirror
		responseOf := uint8(s.answered[i])
		if responseOf > 0 {
			responseOf = uint8(int(responseOf-1)^mirror) + 1
		}
		k.add(&pos, uint8(s.agentStates[i]), uint8(s.callsInFlight[i]), uint8(s.queriesInFlight[i]), uint8(s.repliesInFlight[i]), s.runs[i], responseOf)
		if s.refused[i] {
			k[pos-1] |= 0x80
		}
	}
	for a := range s.gateways {
		n := &s.gateways[a^mirror/attemptsPerGateway]
		f := &n.flow
		k.add(&pos, uint8(n.phase), uint8(n.attemptsMade), uint8(n.revision), uint8(f.Step), uint8(f.revision), uint8(f.rounds))
		k.addRecord(&pos, &f.ownRecord, mirror)
		k.addRecord(&pos, &f.lastRecord, mirror)
	}
	if pos == len(k) {
		panic("the key is too short")
	}
	return k
}

// queryAgent calls visit with the states in which the agent answers the query of gateway g,
// the answer is lost, and the query is delayed.
func (m *model) queryAgent(s systemState, g int, visit func(systemState)) {
	record := s.gateways[g].flow.LastRecord()
	next := s
	next.gateways[g].flow.HandleOutcome(Unknown, nil)
	visit(next)
	next.queriesInFlight[attemptIndex(&record)] = record.Incarnation
	visit(next)
	next = s
	outcome := m.answerQuery(&next, attemptIndex(&record), record.Incarnation)
	if outcome != Ended {
		next.gateways[g].flow.HandleOutcome(outcome, nil)
		visit(next)
		return
	}
	response := responses[attemptIndex(&record)]
	next.gateways[g].flow.HandleOutcome(outcome, response)
	record.Response = response
	m.store(next, pendingWrite{expected: s.gateways[g].flow.Revision(), attempt: 0, record: record}, func(after systemState, _ WriteResult) { visit(after) })
}

// answerQuery returns the agent's answer to a query about attempt i for the incarnation, and
// updates the state of the attempt.
func (m *model) answerQuery(s *systemState, i int, incarnation uint64) Outcome {
	switch s.agentStates[i] {
	case queued, running:
		return Running
	case ended:
		return Ended
	case forgotten:
		return Unknown
	case promisedNotRun:
		if incarnation != s.incarnation {
			return Unknown
		}
		return NotRun
	default:
		if !m.runAfterNotRun {
			s.agentStates[i] = promisedNotRun
		}
		if incarnation != s.incarnation {
			return Unknown
		}
		return NotRun
	}
}

// receiveReply calls visit with each possible state after gateway g, which waits for the
// reply to attempt i, receives it or loses the connection.
func (m *model) receiveReply(s systemState, g, i int, visit func(systemState)) {
	finished := s
	finished.gateways[g] = gatewayState{attemptsMade: s.gateways[g].attemptsMade + 1}
	// The connection breaks; later messages of the agent are lost.
	visit(finished)
	gw := &s.gateways[g]
	switch s.repliesInFlight[i] {
	case answered:
		s.answered[i] = int8(i) + 1
		gw.flow.ownRecord.Response = responses[i]
		gw.phase = storing
		visit(s)
	case notRun:
		s.refused[i] = true
		gw.phase = removing
		visit(s)
	case failed:
		visit(finished)
	case none:
	}
}

// stepAgent calls visit with each possible state after a step of the agent on attempt i.
func (m *model) stepAgent(s systemState, i int, visit func(systemState)) {
	if q := s.queriesInFlight[i]; q != 0 {
		next := s
		next.queriesInFlight[i] = 0
		m.answerQuery(&next, i, q)
		visit(next)
	}
	if c := s.callsInFlight[i]; c != 0 {
		next := s
		next.callsInFlight[i] = 0
		if c != next.incarnation || next.agentStates[i] == promisedNotRun {
			next.repliesInFlight[i] = notRun
		} else {
			next.agentStates[i] = queued
		}
		visit(next)
	}
	next := s
	switch s.agentStates[i] {
	case queued:
		next.agentStates[i], next.repliesInFlight[i] = absent, notRun
		visit(next)
		next = s
		next.agentStates[i] = running
		next.runs[i]++
		visit(next)
	case running:
		next.agentStates[i], next.repliesInFlight[i] = ended, answered
		visit(next)
		next.agentStates[i], next.repliesInFlight[i] = forgotten, failed
		visit(next)
	case ended:
		next.agentStates[i] = forgotten
		visit(next)
	default:
	}
}

// explore visits all reachable states. It returns the number of visited states, and the first
// violation or "".
func (m *model) explore() (states int, violation string) {
	visited := map[stateKey]struct{}{}
	stack := []systemState{{incarnation: 1}}
	push := func(s systemState) {
		s.applyDecisions()
		k := s.encode(0)
		if m.fingerprints == sameFingerprints {
			// The gateways are interchangeable, so one of two mirrored states suffices.
			if mirrored := s.encode(attemptsPerGateway); bytes.Compare(mirrored[:], k[:]) < 0 {
				k = mirrored
			}
		}
		if _, ok := visited[k]; ok {
			return
		}
		visited[k] = struct{}{}
		stack = append(stack, s)
	}
	for len(stack) > 0 {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if v := m.violation(&s); v != "" {
			return len(visited), v
		}
		m.successors(s, push)
	}
	return len(visited), ""
}

var sameFingerprints = [attempts]uint64{1, 1, 1, 1}

// Guards against an order of events in which a call runs twice, gets the response of
// another call, or is reported as not run although it runs.
func TestAllInterleavings(t *testing.T) {
	for _, m := range []model{
		{fingerprints: sameFingerprints, maxLostWrites: 1},
		{fingerprints: sameFingerprints, maxRestarts: 1},
		{fingerprints: [attempts]uint64{1, 1, 1, 2}},
	} {
		t.Run(fmt.Sprintf("losses %d restarts %d prints %v", m.maxLostWrites, m.maxRestarts, m.fingerprints), func(t *testing.T) {
			t.Parallel()
			states, violation := m.explore()
			t.Logf("%d states", states)
			assert.Equal(t, violation, "")
		})
	}
}

// Guards against an explorer that detects nothing: it must find a violation for each
// deliberate error in the protocol.
func TestExplorerFindsFaults(t *testing.T) {
	for _, f := range []protocolFaults{{dispatchFirst: true}, {runAfterNotRun: true}, {unconditionalReplace: true}} {
		m := model{protocolFaults: f, fingerprints: sameFingerprints}
		states, violation := m.explore()
		t.Logf("%+v: %s after %d states", f, violation, states)
		assert.Assert(t, violation != "")
	}
}
