package relay

import (
	"bytes"
	"errors"
	"strconv"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/events"
	"github.com/magnolialever/magnolialever/stats"
)

// eventSplitter splits the stream of one attempt into complete events and records them as delivered. The stream may
// break off in the middle of an event; that part must not reach the caller, and ends with the attempt.
type eventSplitter struct {
	// delivered is what the caller has got, of earlier attempts too.
	delivered *delivery
	// pending holds the bytes of an incomplete event.
	pending []byte
	// budget limits the bytes of incomplete events of all streams, of which this one has acquired budgetHeld.
	budget     *eventBudget
	budgetHeld int64
	// comments counts those since the last event.
	comments events.Comments
	// skipThrough is the numeric identifier up to which events of a resumed stream repeat earlier
	// ones and are dropped. It applies while skipping is set.
	skipThrough int64
	skipping    bool
	// lastSkipped is the numeric identifier of the last event that was dropped so; 0 if there was none.
	lastSkipped int64
}

// newEventSplitter returns the splitter of an attempt whose caller has got delivered. If that is a part of a stream, the
// attempt resumes it. release has to be called when the attempt ends.
func newEventSplitter(delivered *delivery, budget *eventBudget) *eventSplitter {
	e := &eventSplitter{delivered: delivered, budget: budget}
	if !delivered.headSent {
		return e
	}
	if v, err := strconv.ParseInt(delivered.lastID, 10, 64); err == nil {
		e.skipThrough, e.skipping = v, true
	}
	return e
}

// eventBudget limits the bytes of the incomplete events of all streams. It is safe for concurrent use.
type eventBudget struct {
	used  atomic.Int64
	limit int64
}

// acquire reserves n bytes and reports whether they were within the limit.
func (b *eventBudget) acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n bytes.
func (b *eventBudget) release(n int64) { b.used.Add(-n) }

// dataField begins the line of an event that holds its data.
var dataField = []byte(events.DataField)

var eventSeparator = []byte("\n\n")

// maxEventBytes is the maximum size of an event. An upstream in trouble may send bytes without end.
const maxEventBytes = 256 << 10

// freePendingBytes is the size of an incomplete event up to which the budget doesn't count it.
const freePendingBytes = readBuffer

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("event of the stream is too large")

// errEventBudget means that the incomplete events of all streams together exceed their budget.
var errEventBudget = errors.New("budget for incomplete events is exhausted")

// errEventOrder means that an event's identifier is not above that of the event before it.
var errEventOrder = errors.New("identifiers of events do not increase")

// add appends bytes of the stream and returns the events that are complete now, without repeated
// ones. The result is valid until the next call. It fails with errEventTooLarge if the incomplete
// event exceeds the limit, with errEventBudget if those of all streams do, and with errEventOrder or events.ErrNoProgress after
// the events that it returns.
func (e *eventSplitter) add(p []byte) ([]byte, error) {
	data, known := p, 0
	if err := e.holdBudget(len(e.pending) + len(p)); err != nil {
		return nil, err
	}
	if len(e.pending) > 0 {
		// A separator may begin with the last byte that was there.
		known = len(e.pending) - 1
		e.pending = append(e.pending, p...)
		data = e.pending
	}
	end := bytes.LastIndex(data[known:], eventSeparator)
	if end < 0 {
		if len(e.pending) == 0 {
			e.pending = append(e.pending, data...)
		}
		if len(e.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	end += known + len(eventSeparator)
	complete := bytes.Clone(data[:end])
	e.pending = append([]byte(nil), data[end:]...)
	e.release()
	return e.filterRepeated(complete)
}

// holdBudget acquires budget for an incomplete event of n bytes.
func (e *eventSplitter) holdBudget(n int) error {
	more := int64(n) - e.budgetHeld
	if n <= freePendingBytes || more <= 0 {
		return nil
	}
	if !e.budget.acquire(more) {
		stats.Event("event_budget_exhausted")
		return errEventBudget
	}
	e.budgetHeld += more
	return nil
}

// release returns the budget that the splitter holds.
func (e *eventSplitter) release() {
	e.budget.release(e.budgetHeld)
	e.budgetHeld = 0
}

// filterRepeated drops repeated events and records the others as delivered. It overwrites its argument. It stops with
// errEventOrder before an event that is out of order, and with events.ErrNoProgress before a comment beyond the limit.
func (e *eventSplitter) filterRepeated(complete []byte) ([]byte, error) {
	out := complete[:0]
	for len(complete) > 0 {
		n := bytes.Index(complete, eventSeparator) + len(eventSeparator)
		event := complete[:n]
		complete = complete[n:]
		id, ok := eventID(event)
		switch e.classify(id, event) {
		case eventRepeated:
			continue
		case eventMisplaced:
			return out, errEventOrder
		case eventNew:
		}
		if ok {
			e.delivered.lastID = id
		}
		if ok || bytes.Contains(event, dataField) {
			e.delivered.events++
			e.delivered.last = append(e.delivered.last[:0], event...)
			e.comments.Reset()
		} else if err := e.comments.Add(len(event)); err != nil {
			return out, err
		}
		out = append(out, event...)
	}
	return out, nil
}

// eventPlace is where an event stands in its stream.
type eventPlace uint8

const (
	// eventNew is an event that the caller doesn't have.
	eventNew eventPlace = iota
	// eventRepeated is an event that the caller has: at the start of a resumed stream, or the last one once more.
	eventRepeated
	// eventMisplaced is an event that does not follow the one before it.
	eventMisplaced
)

// classify returns the place of an event with the identifier. Events without a number are new.
func (e *eventSplitter) classify(id string, event []byte) eventPlace {
	v, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return eventNew
	}
	if e.skipping && v <= e.skipThrough {
		e.lastSkipped = v
		return eventRepeated
	}
	e.skipping = false
	if id == e.delivered.lastID && bytes.Equal(event, e.delivered.last) {
		return eventRepeated
	}
	if last, err := strconv.ParseInt(e.delivered.lastID, 10, 64); err == nil && v <= last {
		return eventMisplaced
	}
	return eventNew
}

// endsInsideEvent reports whether bytes of an incomplete event are left.
func (e *eventSplitter) endsInsideEvent() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

// endsBeforeResumption reports whether the stream has repeated events that the caller has, and not reached the last of them.
func (e *eventSplitter) endsBeforeResumption() bool {
	return e.skipping && e.lastSkipped > 0 && e.lastSkipped < e.skipThrough
}

// eventID returns the identifier of an event, and false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
