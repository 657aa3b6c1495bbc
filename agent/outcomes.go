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
	// outcomeTTL is how long results are stored. A gateway queries a result within seconds
	// after it lost the connection to the agent, or when a caller repeats its call.
	outcomeTTL = 10 * clock.Minute
	// maxOutcomeBodyBytes is the maximum body size of a stored result,
	// maxOutcomeTotalBytes that of all stored results.
	maxOutcomeBodyBytes  = 1 << 20
	maxOutcomeTotalBytes = 32 << 20
	// maxGenerationAttempts is the number of attempts after which a new generation starts.
	// Two generations take about 10 MB.
	maxGenerationAttempts = 50_000
)

// Values of Outcome.State on the wire.
const (
	outcomeNotRun  = "never"
	outcomeRunning = "running"
	outcomeDone    = "done"
	outcomeUnknown = "unknown"
)

// attemptRecord is the state of one at-most-once attempt and its stored response.
type attemptRecord struct {
	state  string
	status int
	header http.Header
	body   []byte
	// blocked means that the attempt must never start.
	blocked bool
}

// generation holds the attempts recorded under one incarnation number.
type generation struct {
	incarnation uint64
	records     map[units.AttemptID]*attemptRecord
}

// attemptLog records at-most-once attempts. It keeps their ids for two generations and
// their results for at most outcomeTTL. Only a query with one of these two incarnation
// numbers can get the outcome "never": an older attempt may have run in an earlier process
// or in a generation that this process has dropped. Incarnation numbers are random, so that
// they don't depend on clocks.
type attemptLog struct {
	current  generation
	previous generation
	// results lists the attempts with a stored result, oldest first.
	results     []storedResult
	resultBytes int
}

// storedResult refers to the attempt whose record has the result.
type storedResult struct {
	id units.AttemptID
	// size is the length of the body in bytes.
	size  int
	ended clock.Time
}

func newAttemptLog() *attemptLog { return &attemptLog{current: newGeneration()} }

// newGeneration returns an empty generation with a random incarnation number.
func newGeneration() generation {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	// 0 means an unknown incarnation.
	return generation{incarnation: binary.LittleEndian.Uint64(b[:]) | 1, records: map[units.AttemptID]*attemptRecord{}}
}

// find returns the record of an attempt in either generation, or nil.
func (l *attemptLog) find(id units.AttemptID) *attemptRecord {
	if r := l.current.records[id]; r != nil {
		return r
	}
	return l.previous.records[id]
}

// remembers reports whether all attempts of an incarnation are recorded.
func (l *attemptLog) remembers(incarnation uint64) bool {
	return incarnation != 0 && (incarnation == l.current.incarnation || incarnation == l.previous.incarnation)
}

// add records an attempt and starts a new generation when the current one is full.
func (l *attemptLog) add(id units.AttemptID, r *attemptRecord) {
	if len(l.current.records) >= maxGenerationAttempts {
		l.previous, l.current = l.current, newGeneration()
	}
	l.current.records[id] = r
}

// check returns a refusal when an attempt must not start: it was received before, is
// blocked, or belongs to an incarnation that is no longer recorded.
func (l *attemptLog) check(c *wire.Call) *refusal {
	switch r := l.find(units.AttemptID(c.Attempt)); {
	case c.Incarnation != 0 && !l.remembers(c.Incarnation):
		return notRun(units.NoUpstream, "agent has restarted since the call was recorded")
	case r == nil:
		return nil
	case r.blocked:
		return notRun(units.NoUpstream, "attempt is blocked because its outcome was queried or it was refused")
	}
	return &refusal{code: units.InProgress, mayHaveRun: true, message: "attempt has been received before"}
}

// begin records the start of an attempt.
func (l *attemptLog) begin(id units.AttemptID) { l.add(id, &attemptRecord{state: outcomeRunning}) }

// finish records the result of an attempt. An attempt that was refused without running
// is only blocked; the gateway's next attempt has another id.
func (l *attemptLog) finish(now clock.Time, id units.AttemptID, rec *responseRecorder, r *refusal) {
	ar := l.find(id)
	if ar == nil {
		return
	}
	switch {
	case r != nil && !r.mayHaveRun:
		*ar = attemptRecord{state: outcomeNotRun, blocked: true}
	case r != nil || rec.tooLarge:
		ar.state = outcomeUnknown
	default:
		*ar = attemptRecord{state: outcomeDone, status: rec.status, header: rec.header, body: rec.body}
		l.results = append(l.results, storedResult{id, len(rec.body), now})
		l.resultBytes += len(rec.body)
	}
	l.expire(now)
}

// expire drops the results that exceed outcomeTTL or maxOutcomeTotalBytes, oldest first.
// Their attempts stay recorded, with an unknown outcome.
func (l *attemptLog) expire(now clock.Time) {
	for len(l.results) > 0 {
		oldest := l.results[0]
		if l.resultBytes <= maxOutcomeTotalBytes && now.Sub(oldest.ended) <= outcomeTTL {
			return
		}
		l.resultBytes -= oldest.size
		l.results = l.results[1:]
		if r := l.find(oldest.id); r != nil {
			*r = attemptRecord{state: outcomeUnknown}
		}
	}
}

// query returns the outcome of an attempt. An attempt that has not been received is
// blocked, so that it can't run after the query.
func (l *attemptLog) query(now clock.Time, q *wire.Query) *wire.Outcome {
	l.expire(now)
	id := units.AttemptID(q.Attempt)
	out := &wire.Outcome{Attempt: q.Attempt}
	r := l.find(id)
	if r == nil {
		r = &attemptRecord{state: outcomeNotRun, blocked: true}
		if !l.remembers(q.Incarnation) {
			r.state = outcomeUnknown
		}
		l.add(id, r)
	}
	out.State = r.state
	if r.state == outcomeDone {
		out.Status, out.Header, out.Body = uint32(r.status), wireHeader(r.header), r.body
	}
	return out
}

// responseRecorder copies a response for the record of its attempt while it relays it.
type responseRecorder struct {
	responseWriter
	status int
	header http.Header
	body   []byte
	// tooLarge means that the body exceeds maxOutcomeBodyBytes and is not stored.
	tooLarge bool
}

// writeHead stores and relays the head. It ignores write errors: the attempt continues
// when the gateway disconnects, so that its outcome becomes known.
func (r *responseRecorder) writeHead(status int, header http.Header) error {
	r.status, r.header = status, header
	_ = r.responseWriter.writeHead(status, header)
	return nil
}

// writePart stores and relays a part. Like writeHead it ignores write errors.
func (r *responseRecorder) writePart(index int64, data []byte) error {
	if r.tooLarge = r.tooLarge || len(r.body)+len(data) > maxOutcomeBodyBytes; !r.tooLarge {
		r.body = append(r.body, data...)
	}
	_ = r.responseWriter.writePart(index, data)
	return nil
}
