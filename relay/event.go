package relay

import (
	"bytes"
	"errors"
	"strconv"
)

// eventSplitter splits the stream of one attempt into complete events and records them as delivered. The stream may
// break off in the middle of an event; that part must not reach the caller, and ends with the attempt.
type eventSplitter struct {
	// delivered is what the caller has got, of earlier attempts too.
	delivered *delivery
	// pending holds the bytes of an incomplete event.
	pending []byte
	// skipThrough is the numeric identifier up to which events of a resumed stream repeat earlier
	// ones and are dropped. It applies while skipping is set.
	skipThrough int64
	skipping    bool
}

// newEventSplitter returns the splitter of an attempt whose caller has got delivered. If that is a part of a stream, the
// attempt resumes it.
func newEventSplitter(delivered *delivery) *eventSplitter {
	e := &eventSplitter{delivered: delivered}
	if !delivered.headSent {
		return e
	}
	if v, err := strconv.ParseInt(delivered.lastID, 10, 64); err == nil {
		e.skipThrough, e.skipping = v, true
	}
	return e
}

// dataField begins the line of an event that holds its data.
var dataField = []byte("data:")

var eventSeparator = []byte("\n\n")

// maxEventBytes is the maximum size of an event. An upstream in trouble may send bytes without end.
const maxEventBytes = 256 << 10

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("event of the stream is too large")

// add appends bytes of the stream and returns the events that are complete now, without repeated
// ones. The result is valid until the next call. It fails with errEventTooLarge if the incomplete
// event exceeds the limit.
func (e *eventSplitter) add(p []byte) ([]byte, error) {
	data := p
	if len(e.pending) > 0 {
		e.pending = append(e.pending, p...)
		data = e.pending
	}
	end := bytes.LastIndex(data, eventSeparator)
	if end < 0 {
		if len(e.pending) == 0 {
			e.pending = append(e.pending, data...)
		}
		if len(e.pending) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	end += len(eventSeparator)
	complete := bytes.Clone(data[:end])
	e.pending = append([]byte(nil), data[end:]...)
	return e.filterRepeated(complete), nil
}

// filterRepeated drops repeated events and records the others as delivered. It overwrites its argument.
func (e *eventSplitter) filterRepeated(complete []byte) []byte {
	out := complete[:0]
	for len(complete) > 0 {
		n := bytes.Index(complete, eventSeparator) + len(eventSeparator)
		event := complete[:n]
		complete = complete[n:]
		id, ok := eventID(event)
		if ok && e.skipping {
			if v, err := strconv.ParseInt(id, 10, 64); err == nil && v <= e.skipThrough {
				continue
			}
		}
		if ok {
			e.delivered.lastID = id
		}
		if ok || bytes.Contains(event, dataField) {
			e.delivered.events++
		}
		out = append(out, event...)
	}
	return out
}

// endsInsideEvent reports whether bytes of an incomplete event are left.
func (e *eventSplitter) endsInsideEvent() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

// eventID returns the identifier of an event, and false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
