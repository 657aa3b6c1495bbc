package agent

import (
	"crypto/rand"
	"encoding/binary"
	"net/http"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// outcomeTime is how long results are kept. A gateway asks within seconds after
	// it lost the agent, or when a caller repeats its call.
	outcomeTime = 10 * clock.Minute
	// outcomeBodyBytes is the largest result that is kept, outcomeSumBytes the sum.
	outcomeBodyBytes = 1 << 20
	outcomeSumBytes  = 32 << 20
	// generationIDs is the number of attempts after which a generation begins. Two
	// of them take about 10 MB.
	generationIDs = 50_000
)

// Names of outcomes on the wire.
const (
	outcomeNever   = "never"
	outcomeRunning = "running"
	outcomeDone    = "done"
	outcomeUnknown = "unknown"
)

// record is what the agent knows of one attempt that must not be repeated.
type record struct {
	state  string
	status int
	header http.Header
	body   []byte
	// blocked attempts may never start.
	blocked bool
}

// generation holds the attempts of one incarnation number.
type generation struct {
	incarnation uint64
	records     map[units.AttemptID]*record
}

// outcomes remembers attempts that must not be repeated. Their ids are kept for two
// generations, their results for a shorter time. Only a query that names one of
// these two incarnations gets the answer "never": of an attempt that was recorded
// before, this process can't know whether an earlier one, or it itself in a
// forgotten generation, has run it. Incarnations are random numbers, so that no
// clock has to be right.
type outcomes struct {
	now  generation
	past generation
	// kept are the attempts with a result, oldest first.
	kept  []keptResult
	bytes int
}

// keptResult names an attempt with a result of some size.
type keptResult struct {
	id    units.AttemptID
	size  int
	ended clock.Time
}

func newOutcomes() *outcomes { return &outcomes{now: newGeneration()} }

func newGeneration() generation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	// 0 stands for an unknown incarnation.
	return generation{incarnation: binary.LittleEndian.Uint64(b[:]) | 1, records: map[units.AttemptID]*record{}}
}

func (o *outcomes) find(id units.AttemptID) *record {
	if r := o.now.records[id]; r != nil {
		return r
	}
	return o.past.records[id]
}

// current reports whether an incarnation is remembered completely.
func (o *outcomes) current(incarnation uint64) bool {
	return incarnation != 0 && (incarnation == o.now.incarnation || incarnation == o.past.incarnation)
}

func (o *outcomes) add(id units.AttemptID, r *record) {
	if len(o.now.records) >= generationIDs {
		o.past, o.now = o.now, newGeneration()
	}
	o.now.records[id] = r
}

// check decides whether an attempt may be received.
func (o *outcomes) check(c *wire.Call) *refusal {
	switch r := o.find(units.AttemptID(c.Attempt)); {
	case c.Incarnation != 0 && !o.current(c.Incarnation):
		return notRun(units.NoUpstream, "agent has restarted since the call was recorded")
	case r == nil:
		return nil
	case r.blocked:
		return notRun(units.NoUpstream, "attempt has been given up")
	}
	return &refusal{code: units.InProgress, ran: true, message: "attempt has been received before"}
}

// begin records the start of an attempt.
func (o *outcomes) begin(id units.AttemptID) { o.add(id, &record{state: outcomeRunning}) }

// end records the result. A refusal that did not run leaves no trace but the block,
// as the gateway's next attempt has another id.
func (o *outcomes) end(now clock.Time, id units.AttemptID, k *keeper, r *refusal) {
	rec := o.find(id)
	if rec == nil {
		return
	}
	switch {
	case r != nil && !r.ran:
		*rec = record{state: outcomeNever, blocked: true}
	case r != nil || k.full:
		rec.state = outcomeUnknown
	default:
		*rec = record{state: outcomeDone, status: k.status, header: k.header, body: k.body}
		o.kept = append(o.kept, keptResult{id, len(k.body), now})
		o.bytes += len(k.body)
	}
	o.expire(now)
}

// expire drops results that are too old or too many. Their attempts stay known.
func (o *outcomes) expire(now clock.Time) {
	for len(o.kept) > 0 {
		k := o.kept[0]
		if o.bytes <= outcomeSumBytes && now.Sub(k.ended) <= outcomeTime {
			return
		}
		o.bytes -= k.size
		o.kept = o.kept[1:]
		if r := o.find(k.id); r != nil {
			*r = record{state: outcomeUnknown}
		}
	}
}

// query answers a gateway. An attempt that has not been received never runs
// afterwards.
func (o *outcomes) query(now clock.Time, q *wire.Query) *wire.Outcome {
	o.expire(now)
	id := units.AttemptID(q.Attempt)
	out := &wire.Outcome{Attempt: q.Attempt}
	r := o.find(id)
	if r == nil {
		r = &record{state: outcomeNever, blocked: true}
		if !o.current(q.Incarnation) {
			r.state = outcomeUnknown
		}
		o.add(id, r)
	}
	out.State = r.state
	if r.state == outcomeDone {
		out.Status, out.Header, out.Body = uint32(r.status), wireHeader(r.header), r.body
	}
	return out
}

// keeper copies an answer for the record of its attempt.
type keeper struct {
	answer
	status int
	header http.Header
	body   []byte
	full   bool
}

// head keeps the head. The attempt goes on when the gateway has gone, so that its
// outcome is known.
func (k *keeper) head(status int, header http.Header) error {
	k.status, k.header = status, header
	_ = k.answer.head(status, header)
	return nil
}

func (k *keeper) part(index int64, data []byte) error {
	if k.full = k.full || len(k.body)+len(data) > outcomeBodyBytes; !k.full {
		k.body = append(k.body, data...)
	}
	_ = k.answer.part(index, data)
	return nil
}
