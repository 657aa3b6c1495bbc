package gate

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// maxHeldBytes is the size up to which a plain answer is held back until it is
// complete, so that another upstream can take over while the caller has nothing.
const maxHeldBytes = 1 << 20

// maxStatus is the largest status that an upstream may answer with.
const maxStatus = 599

var (
	errGap   = errors.New("the answer has a gap")
	errEvent = errors.New("an event of the answer is too long")
	errWrite = errors.New("the caller does not take the answer")
)

// answer relays an answer to the caller. It outlives attempts: it knows what the
// caller already has.
type answer struct {
	writer  *writer
	arrived time.Time
	// resumable is set for answers in events, which can continue on another upstream.
	resumable bool
	// headOnly is set for the method HEAD.
	headOnly bool
	// keep is set when the whole answer has to be kept for a repeated call.
	keep bool
	kept []byte
	// next is the index of the event that the caller needs next.
	next int64
	// sent is set when the caller has the head of the answer.
	sent bool
	// flushed is when the last part was passed on.
	flushed time.Time

	// The rest belongs to the current attempt.
	status  int
	header  []*wire.Header
	started bool
	events  bool
	held    []byte
	// position is the index of the event that held starts with.
	position int64
}

// begin prepares for the frames of a new attempt.
func (a *answer) begin() {
	a.status, a.header, a.started, a.events = 0, nil, false, false
	a.held = a.held[:0]
	a.kept = nil
	a.position = -1
}

func (a *answer) head(h *wire.Head) error {
	if a.started || h.Status < http.StatusOK || h.Status > maxStatus {
		return errFrame
	}
	a.started = true
	a.status, a.header = int(h.Status), h.Header
	a.events = isEvents(h.Header)
	if a.sent && (!a.events || a.status != http.StatusOK) {
		return errGap
	}
	return nil
}

func isEvents(header []*wire.Header) bool {
	for _, h := range header {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

func (a *answer) part(p *wire.Part) error {
	if !a.started {
		return errFrame
	}
	if a.keep && len(a.kept) <= maxHeldBytes {
		a.kept = append(a.kept, p.Data...)
	}
	if a.events && a.resumable {
		return a.event(p)
	}
	if a.events || a.sent {
		return a.write(p.Data)
	}
	a.held = append(a.held, p.Data...)
	if len(a.held) < maxHeldBytes {
		return nil
	}
	defer func() { a.held = a.held[:0] }()
	return a.write(a.held)
}

func (a *answer) done() error {
	if !a.started {
		return errFrame
	}
	if !a.sent && !a.events && a.hasLength() {
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	if len(a.held) == 0 && a.sent {
		return nil
	}
	return a.write(a.held)
}

// hasLength reports whether the answer has a Content-Length of its own: answers to
// HEAD have that of another answer, and some have none.
func (a *answer) hasLength() bool {
	return !a.headOnly && a.status != http.StatusNoContent && a.status != http.StatusNotModified
}

// write passes data on, after the head if that has not been sent.
func (a *answer) write(data []byte) error {
	a.sendHead()
	if len(data) == 0 || a.headOnly {
		return nil
	}
	if a.writer.failed && a.keep {
		return nil
	}
	if _, err := a.writer.Write(data); err != nil {
		if a.keep {
			// The answer is stored for a repeated call although the caller has gone.
			return nil
		}
		return errors.Wrap(errWrite, err.Error())
	}
	if a.resumable {
		a.record()
	}
	return nil
}

// record adds the times between tokens to the histograms.
func (a *answer) record() {
	now := time.Now()
	if a.flushed.IsZero() {
		stats.FirstToken.Record(now.Sub(a.arrived))
	} else {
		stats.InterToken.Record(now.Sub(a.flushed))
	}
	a.flushed = now
}

func (a *answer) sendHead() {
	if a.sent {
		return
	}
	a.sent = true
	h := a.writer.Header()
	for _, f := range a.header {
		if passAnswer(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}
	a.writer.WriteHeader(a.status)
}

// stored returns the complete answer, without the body when it is too large to be
// kept.
func (a *answer) stored() *StoredResponse {
	if len(a.kept) > maxHeldBytes {
		return &StoredResponse{Status: a.status, Header: a.header, BodyOmitted: true}
	}
	return &StoredResponse{Status: a.status, Header: a.header, Body: a.kept}
}

// replay sends a stored answer.
func (a *answer) replay(s *StoredResponse) error {
	a.begin()
	a.started = true
	a.status, a.header, a.held = s.Status, s.Header, s.Body
	return a.done()
}
