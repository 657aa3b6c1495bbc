package gate

import (
	"bytes"

	"github.com/magnolialever/magnolialever/wire"
)

// maxEventBytes bounds an event of which the end has not arrived.
const maxEventBytes = 1 << 20

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
)

// handleEvents relays a part of an answer in events. Only whole events are passed on, so
// that the answer can continue on another upstream between two events. Events that
// the caller already has are dropped.
func (a *response) handleEvents(p *wire.Part) error {
	if a.bufferIndex < 0 {
		a.bufferIndex = p.Index
	}
	if len(a.buffer) == 0 && p.Index != a.bufferIndex || a.bufferIndex > a.nextEvent {
		return errEventGap
	}
	data := p.Data
	if len(a.buffer) > 0 {
		a.buffer = append(a.buffer, data...)
		data = a.buffer
	}
	whole, drop := a.splitEvents(data)
	if err := a.writeEvents(data[drop:whole]); err != nil {
		return err
	}
	rest := data[whole:]
	if len(rest) > maxEventBytes {
		return errEventTooLong
	}
	a.buffer = append(a.buffer[:0], rest...)
	return nil
}

func (a *response) writeEvents(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return a.write(data)
}

// splitEvents returns the length of the whole events in data, and of those at the start
// that the caller has. It advances the position and next.
func (a *response) splitEvents(data []byte) (whole, drop int) {
	for {
		n := eventLength(data[whole:])
		if n == 0 {
			a.nextEvent = max(a.nextEvent, a.bufferIndex)
			return whole, drop
		}
		isEvent := data[whole] != ':'
		whole += n
		if a.bufferIndex < a.nextEvent {
			drop = whole
		}
		if isEvent {
			a.bufferIndex++
		}
	}
}

// eventLength returns the length of the event at the start of data with the empty
// line that ends it, or 0 when the end is missing.
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
