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

// event relays a part of an answer in events. Only whole events are passed on, so
// that the answer can continue on another upstream between two events. Events that
// the caller already has are dropped.
func (a *answer) event(p *wire.Part) error {
	if a.position < 0 {
		a.position = p.Index
	}
	if len(a.held) == 0 && p.Index != a.position || a.position > a.next {
		return errGap
	}
	data := p.Data
	if len(a.held) > 0 {
		a.held = append(a.held, data...)
		data = a.held
	}
	whole, drop := a.split(data)
	if err := a.pass(data[drop:whole]); err != nil {
		return err
	}
	rest := data[whole:]
	if len(rest) > maxEventBytes {
		return errEvent
	}
	a.held = append(a.held[:0], rest...)
	return nil
}

func (a *answer) pass(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return a.write(data)
}

// split returns the length of the whole events in data, and of those at the start
// that the caller has. It advances the position and next.
func (a *answer) split(data []byte) (whole, drop int) {
	for {
		n := eventLength(data[whole:])
		if n == 0 {
			a.next = max(a.next, a.position)
			return whole, drop
		}
		counts := data[whole] != ':'
		whole += n
		if a.position < a.next {
			drop = whole
		}
		if counts {
			a.position++
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
