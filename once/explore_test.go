package once

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/units"
)

// The explorer visits every state of two gateways, one agent and a store. Any actor
// may stop for ever in each state, as no rule forces it to go on: that covers dead
// and frozen gateways. Writes may be lost or take effect late, within a budget;
// queries and connections may be lost without one.

const (
	gateways = 2
	// tries is the number of attempts that each gateway makes, one after the other.
	tries    = 2
	attempts = gateways * tries
)

// faults are deliberate errors of the protocol, which the checks must find.
type faults struct {
	// dispatchFirst sends the call before its record is written.
	dispatchFirst bool
	// unblocked lets an attempt run of which the agent has said "never".
	unblocked bool
	// blind replaces a record without a comparison.
	blind bool
}

// model is what stays the same in all states.
type model struct {
	faults
	// prints are the fingerprints of the attempts' calls.
	prints [attempts]uint64
	// losses is the number of writes whose answers are lost.
	losses int8
	// restarts is how often the agent restarts.
	restarts int8
}

type memory uint8

// What the agent knows of an attempt.
const (
	absent memory = iota
	queued
	running
	ended
	blocked
	forgotten
)

type reply uint8

// What is on its way from the agent to the gateway.
const (
	none reply = iota
	answered
	notRun
	failed
)

type phase uint8

const (
	idle phase = iota
	deciding
	waiting
	storing
	removing
)

type node struct {
	phase phase
	// next is the number of attempts made.
	next     int8
	flow     Flow
	revision units.Revision
}

// write is one by compare-and-swap that takes effect late; attempt -1 removes the
// record.
type write struct {
	due     bool
	key     units.Revision
	attempt int8
	record  Record
}

type world struct {
	record   Record
	revision units.Revision
	last     units.Revision
	late     [2]write
	losses   int8

	incarnation uint64
	restarts    int8
	known       [attempts]memory
	calls       [attempts]uint64 // incarnation in the call on its way, or 0
	queries     [attempts]uint64
	replies     [attempts]reply

	nodes [gateways]node
	// The rest is what callers have seen and what has happened.
	runs     [attempts]uint8
	refused  [attempts]bool
	answered [attempts]int8 // the attempt whose answer was given, plus 1
}

var answers = func() (a [attempts]*Response) {
	for i := range a {
		a[i] = &Response{Status: 200 + i}
	}
	return a
}()

func attemptID(i int) units.AttemptID { return units.AttemptID(fmt.Sprint("a", i)) }

func index(r *Record) int { return int(r.Attempt[1] - '0') }

// violation returns what is wrong with a state.
func (m *model) violation(w *world) string {
	for i := range attempts {
		if w.refused[i] && w.runs[i] > 0 {
			return fmt.Sprintf("attempt %d ran although its caller was told that it did not", i)
		}
		if n := w.answered[i]; n > 0 && (w.runs[n-1] != 1 || m.prints[n-1] != m.prints[i]) {
			return fmt.Sprintf("attempt %d got the answer of %d", i, n-1)
		}
		runs := uint8(0)
		for k := range attempts {
			if m.prints[k] == m.prints[i] {
				runs += w.runs[k]
			}
		}
		if runs > 1 {
			return "the call ran twice"
		}
	}
	return ""
}

// successors passes each state that can follow to visit.
func (m *model) successors(w world, visit func(world)) {
	for g := range gateways {
		m.step(w, g, visit)
	}
	for i := range attempts {
		m.agent(w, i, visit)
	}
	for n := range w.late {
		if l := w.late[n]; l.due {
			v := w
			v.late[n] = write{}
			v.apply(l)
			visit(v)
		}
	}
	if w.restarts < m.restarts {
		w.restarts++
		w.incarnation++
		w.known = [attempts]memory{}
		visit(w)
	}
}

// apply performs a write and reports whether it took effect.
func (w *world) apply(l write) bool {
	if w.revision != l.key {
		return false
	}
	if l.attempt < 0 {
		w.record, w.revision = Record{}, 0
		return true
	}
	w.last++
	w.record, w.revision = l.record, w.last
	return true
}

// store performs a write of a gateway in each possible way.
func (m *model) store(w world, l write, then func(world, WriteResult)) {
	v := w
	if v.apply(l) {
		then(v, WriteDone)
	} else {
		then(v, WriteConflict)
	}
	then(w, WriteUncertain)
	if w.losses >= m.losses {
		return
	}
	w.losses++
	v = w
	v.apply(l)
	then(v, WriteUncertain)
	for n := range w.late {
		if !w.late[n].due {
			l.due = true
			w.late[n] = l
			then(w, WriteUncertain)
			return
		}
	}
}

// step performs the next step of a gateway.
func (m *model) step(w world, g int, visit func(world)) {
	n := &w.nodes[g]
	i := g*tries + int(n.next)
	switch n.phase {
	case idle:
		if n.next == tries {
			return
		}
		n.phase = deciding
		n.flow = NewFlow(Record{
			Version: recordVersion, Attempt: attemptID(i), Incarnation: w.incarnation, Fingerprint: m.prints[i],
		})
		if m.dispatchFirst {
			w.calls[i] = w.incarnation
		}
		visit(w)
	case deciding:
		m.decide(w, g, i, visit)
	case waiting:
		m.receive(w, g, i, visit)
	case storing, removing:
		l := write{key: n.revision, attempt: -1}
		if n.phase == storing {
			l.attempt, l.record = int8(i), n.flow.own
		}
		m.store(w, l, func(v world, _ WriteResult) {
			v.nodes[g] = node{next: n.next + 1}
			visit(v)
		})
	}
}

// decide performs the step of the flow of a gateway.
func (m *model) decide(w world, g, i int, visit func(world)) {
	n := &w.nodes[g]
	f := &n.flow
	switch f.Step {
	case Create, Replace:
		l := write{attempt: int8(i), record: f.OwnRecord()}
		if f.Step == Replace {
			l.key = f.Revision()
			if m.blind {
				l.key = w.revision
			}
		}
		m.store(w, l, func(v world, r WriteResult) {
			n := &v.nodes[g]
			if n.flow.HandleWrite(r); r == WriteDone {
				n.revision = v.revision
			}
			visit(v)
		})
	case Read:
		v := w
		v.nodes[g].flow.HandleReadError()
		visit(v)
		if w.revision == 0 {
			f.HandleMissing()
		} else {
			f.HandleRecord(w.record, w.revision, false)
		}
		visit(w)
	case QueryAgent:
		m.ask(w, g, visit)
	case Run:
		if !m.dispatchFirst {
			w.calls[i] = f.own.Incarnation
		}
		n.phase = waiting
		visit(w)
	default:
		panic("tidy ends the flow")
	}
}

// tidy tells callers what the flows have decided, and drops what no longer matters,
// so that equal states look equal.
func (w *world) tidy() {
	for g := range w.nodes {
		n := &w.nodes[g]
		i := g*tries + int(n.next)
		switch f := &n.flow; {
		case n.phase != deciding:
		case f.Step == Replay:
			w.answered[i] = int8(f.Response.Status - 199)
			*n = node{next: n.next + 1}
		case f.Step == Refuse:
			w.refused[i] = !f.Problem.MayHaveRun
			*n = node{next: n.next + 1}
		case f.Step == Run || f.Step == Create || f.Step == Read:
			f.seen, f.revision = Record{}, 0
		}
		for k := range n.next {
			w.replies[g*tries+int(k)] = none
		}
	}
	w.rename()
}

// rename replaces revisions by their ranks: only whether two are equal matters.
func (w *world) rename() {
	all := [...]*units.Revision{
		&w.revision, &w.late[0].key, &w.late[1].key,
		&w.nodes[0].revision, &w.nodes[0].flow.revision, &w.nodes[1].revision, &w.nodes[1].flow.revision,
	}
	var used [2 * len(all)]bool // revisions in use: at most one of them is new
	for _, r := range all {
		used[*r] = true
	}
	var rank [2 * len(all)]units.Revision
	w.last = 0
	for r := 1; r < len(used); r++ {
		if used[r] {
			w.last++
			rank[r] = w.last
		}
	}
	for _, r := range all {
		*r = rank[*r]
	}
}

// key is a state in few bytes.
type key [96]byte

func (k *key) add(pos *int, values ...uint8) { *pos += copy(k[*pos:], values) }

func (k *key) addRecord(pos *int, r *Record, swap int) {
	if r.Version == 0 {
		k.add(pos, 0)
		return
	}
	done := uint8(1)
	if r.Response != nil {
		done = 2
	}
	k.add(pos, done, uint8(index(r)^swap), uint8(r.Incarnation))
}

// key returns the key of the state with its gateways swapped if swap is tries.
func (w *world) key(swap int) (k key) {
	pos := 0
	k.addRecord(&pos, &w.record, swap)
	k.add(&pos, uint8(w.revision), uint8(w.losses), uint8(w.restarts))
	for n := range w.late {
		l := &w.late[n]
		if l.due {
			k.add(&pos, 1, uint8(l.key))
			k.addRecord(&pos, &l.record, swap)
		} else {
			k.add(&pos, 0)
		}
	}
	for a := range attempts {
		i := a ^ swap
		other := uint8(w.answered[i])
		if other > 0 {
			other = uint8(int(other-1)^swap) + 1
		}
		k.add(&pos, uint8(w.known[i]), uint8(w.calls[i]), uint8(w.queries[i]), uint8(w.replies[i]), w.runs[i], other)
		if w.refused[i] {
			k[pos-1] |= 0x80
		}
	}
	for a := range w.nodes {
		n := &w.nodes[a^swap/tries]
		f := &n.flow
		k.add(&pos, uint8(n.phase), uint8(n.next), uint8(n.revision), uint8(f.Step), uint8(f.revision), uint8(f.rounds))
		k.addRecord(&pos, &f.own, swap)
		k.addRecord(&pos, &f.seen, swap)
	}
	if pos == len(k) {
		panic("the key is too short")
	}
	return k
}

// ask lets the agent answer a query, loses the answer, or delays the query.
func (m *model) ask(w world, g int, visit func(world)) {
	seen := w.nodes[g].flow.LastRecord()
	v := w
	v.nodes[g].flow.HandleOutcome(Unknown, nil)
	visit(v)
	v.queries[index(&seen)] = seen.Incarnation
	visit(v)
	v = w
	o := m.query(&v, index(&seen), seen.Incarnation)
	if o != Ended {
		v.nodes[g].flow.HandleOutcome(o, nil)
		visit(v)
		return
	}
	a := answers[index(&seen)]
	v.nodes[g].flow.HandleOutcome(o, a)
	seen.Response = a
	m.store(v, write{key: w.nodes[g].flow.Revision(), attempt: 0, record: seen}, func(u world, _ WriteResult) { visit(u) })
}

// query is how the agent answers a query.
func (m *model) query(w *world, i int, incarnation uint64) Outcome {
	switch w.known[i] {
	case queued, running:
		return Running
	case ended:
		return Ended
	case forgotten:
		return Unknown
	case blocked:
		if incarnation != w.incarnation {
			return Unknown
		}
		return NotRun
	default:
		if !m.unblocked {
			w.known[i] = blocked
		}
		if incarnation != w.incarnation {
			return Unknown
		}
		return NotRun
	}
}

// receive takes what arrives at a gateway that waits for an answer.
func (m *model) receive(w world, g, i int, visit func(world)) {
	end := w
	end.nodes[g] = node{next: w.nodes[g].next + 1}
	// The connection breaks; what the agent sends later is lost.
	visit(end)
	n := &w.nodes[g]
	switch w.replies[i] {
	case answered:
		w.answered[i] = int8(i) + 1
		n.flow.own.Response = answers[i]
		n.phase = storing
		visit(w)
	case notRun:
		w.refused[i] = true
		n.phase = removing
		visit(w)
	case failed:
		visit(end)
	case none:
	}
}

// agent performs what the agent can do for an attempt.
func (m *model) agent(w world, i int, visit func(world)) {
	if q := w.queries[i]; q != 0 {
		v := w
		v.queries[i] = 0
		m.query(&v, i, q)
		visit(v)
	}
	if c := w.calls[i]; c != 0 {
		v := w
		v.calls[i] = 0
		if c != v.incarnation || v.known[i] == blocked {
			v.replies[i] = notRun
		} else {
			v.known[i] = queued
		}
		visit(v)
	}
	v := w
	switch w.known[i] {
	case queued:
		v.known[i], v.replies[i] = absent, notRun
		visit(v)
		v = w
		v.known[i] = running
		v.runs[i]++
		visit(v)
	case running:
		v.known[i], v.replies[i] = ended, answered
		visit(v)
		v.known[i], v.replies[i] = forgotten, failed
		visit(v)
	case ended:
		v.known[i] = forgotten
		visit(v)
	default:
	}
}

// explore visits all states and returns their number, or the first violation.
func (m *model) explore() (states int, violation string) {
	visited := map[key]struct{}{}
	stack := []world{{incarnation: 1}}
	push := func(w world) {
		w.tidy()
		k := w.key(0)
		if m.prints == same {
			// The gateways are alike, so one of two mirrored states is enough.
			if other := w.key(tries); bytes.Compare(other[:], k[:]) < 0 {
				k = other
			}
		}
		if _, ok := visited[k]; ok {
			return
		}
		visited[k] = struct{}{}
		stack = append(stack, w)
	}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if v := m.violation(&w); v != "" {
			return len(visited), v
		}
		m.successors(w, push)
	}
	return len(visited), ""
}

var same = [attempts]uint64{1, 1, 1, 1}

// Guards against an order of events in which a call runs twice, gets the answer of
// another one, or is reported as not run although it runs.
func TestAllInterleavings(t *testing.T) {
	for _, m := range []model{
		{prints: same, losses: 1},
		{prints: same, restarts: 1},
		{prints: [attempts]uint64{1, 1, 1, 2}},
	} {
		t.Run(fmt.Sprintf("losses %d restarts %d prints %v", m.losses, m.restarts, m.prints), func(t *testing.T) {
			t.Parallel()
			states, violation := m.explore()
			t.Logf("%d states", states)
			assert.Equal(t, violation, "")
		})
	}
}

// Guards against checks that would find nothing: each deliberate error of the
// protocol must be noticed.
func TestFaultsAreFound(t *testing.T) {
	for _, f := range []faults{{dispatchFirst: true}, {unblocked: true}, {blind: true}} {
		m := model{faults: f, prints: same}
		states, violation := m.explore()
		t.Logf("%+v: %s after %d states", f, violation, states)
		assert.Assert(t, violation != "")
	}
}
