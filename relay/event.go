package relay

import (
	"bytes"
	"strconv"
)

// events splits a stream into whole events and follows their identifiers. An upstream
// may stop in the middle of an event, which must not be delivered.
type events struct {
	// rest is the beginning of an event that is not complete yet.
	rest []byte
	// last is the identifier of the last event that was delivered; empty before.
	last string
	// skip is the number up to which events of a resumed stream are repetitions.
	skip    int64
	hasSkip bool
	// count is the number of events delivered.
	count int
}

var eventEnd = []byte("\n\n")

// add takes bytes of the stream and returns the whole events among them, which stay
// valid until the next call.
func (e *events) add(p []byte) []byte {
	data := p
	if len(e.rest) > 0 {
		e.rest = append(e.rest, p...)
		data = e.rest
	}
	end := bytes.LastIndex(data, eventEnd)
	if end < 0 {
		if len(e.rest) == 0 {
			e.rest = append(e.rest, data...)
		}
		return nil
	}
	end += len(eventEnd)
	whole := bytes.Clone(data[:end])
	e.rest = append([]byte(nil), data[end:]...)
	return e.pass(whole)
}

// pass drops repeated events and notes the last identifier.
func (e *events) pass(whole []byte) []byte {
	out := whole[:0]
	for len(whole) > 0 {
		n := bytes.Index(whole, eventEnd) + len(eventEnd)
		one := whole[:n]
		whole = whole[n:]
		id, ok := eventID(one)
		if ok && e.hasSkip {
			if v, err := strconv.ParseInt(id, 10, 64); err == nil && v <= e.skip {
				continue
			}
		}
		if ok {
			e.last = id
		}
		e.count++
		out = append(out, one...)
	}
	return out
}

// resume prepares for the stream of another upstream that goes on after the last event.
func (e *events) resume() {
	e.rest = nil
	if v, err := strconv.ParseInt(e.last, 10, 64); err == nil {
		e.skip, e.hasSkip = v, true
	}
}

// partial reports whether the stream ended inside an event.
func (e *events) partial() bool { return len(bytes.TrimSpace(e.rest)) > 0 }

// eventID returns the identifier of an event.
func eventID(one []byte) (string, bool) {
	for line := range bytes.SplitSeq(one, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v)), true
		}
	}
	return "", false
}
