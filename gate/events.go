package gate

import (
	"bytes"

	"github.com/magnolialever/magnolialever/events"
	"github.com/magnolialever/magnolialever/wire"
)

// maxEventBytes bounds an event whose end has not arrived yet.
const maxEventBytes = 1 << 20

var (
	dataField  = []byte(events.DataField)
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
)

// handleEvents relays a part of an event stream. Only complete events are written, so that the
// stream can resume on another upstream between two events. Events that the caller already has are
// dropped, and so is what follows the last event, as it belongs to no request.
func (r *response) handleEvents(p *wire.Part) error {
	if r.ended {
		return nil
	}
	if r.bufferIndex < 0 {
		r.bufferIndex = p.Index
	}
	if len(r.buffer) == 0 && p.Index != r.bufferIndex || r.bufferIndex > r.nextEvent {
		return errEventGap
	}
	data := p.Data
	if len(r.buffer) > 0 {
		r.buffer = append(r.buffer, data...)
		data = r.buffer
	}
	complete, delivered := r.splitEvents(data)
	if err := r.writeEvents(data[delivered:complete]); err != nil {
		return err
	}
	if r.ended {
		r.buffer = r.buffer[:0]
		return nil
	}
	remainder := data[complete:]
	if len(remainder) > maxEventBytes {
		return errEventTooLong
	}
	r.buffer = append(r.buffer[:0], remainder...)
	return nil
}

func (r *response) writeEvents(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return r.write(data)
}

// splitEvents returns the length of the complete events in data, and of those among them, at the
// start, that the caller already has. It advances bufferIndex and nextEvent, and sets ended at the last event. Comments
// (lines that start with a colon) have no index.
func (r *response) splitEvents(data []byte) (complete, delivered int) {
	for {
		n := eventLength(data[complete:])
		if n == 0 || r.ended {
			r.nextEvent = max(r.nextEvent, r.bufferIndex)
			return complete, delivered
		}
		isEvent := data[complete] != ':'
		r.ended = r.bufferIndex >= r.nextEvent && isLast(data[complete:complete+n])
		complete += n
		if r.bufferIndex < r.nextEvent {
			delivered = complete
		}
		if isEvent {
			r.bufferIndex++
		}
	}
}

// isLast reports whether an event is the last one of its stream.
func isLast(event []byte) bool {
	data, ok := bytes.CutPrefix(event, dataField)
	return ok && string(bytes.TrimSpace(data)) == events.Done
}

// eventLength returns the length of the event at the start of data, including the empty line that
// ends it, or 0 when the event is incomplete.
func eventLength(data []byte) int {
	i := bytes.Index(data, eventEnd)
	j := bytes.Index(data, eventEndCR)
	switch {
	case i < 0 && j < 0:
		return 0
	case j < 0 || i >= 0 && i < j:
		return i + len(eventEnd)
	default:
		return j + len(eventEndCR)
	}
}
