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

// maxBufferedBytes is the size up to which a plain answer is held back until it is
// complete, so that another upstream can take over while the caller has nothing.
const maxBufferedBytes = 1 << 20

// maxStatus is the largest status that an upstream may answer with.
const maxStatus = 599

var (
	errEventGap     = errors.New("the answer has a gap")
	errEventTooLong = errors.New("an event of the answer is too long")
	errCallerWrite  = errors.New("the caller does not take the answer")
)

// response relays an answer to the caller. It outlives attempts: it knows what the
// caller already has.
type response struct {
	writer     *flushWriter
	receivedAt time.Time
	// resumable is set for answers in events, which can continue on another upstream.
	resumable bool
	// headOnly is set for the method HEAD.
	headOnly bool
	// keepBody is set when the whole answer has to be kept for a repeated call.
	keepBody bool
	keptBody []byte
	// nextEvent is the index of the event that the caller needs next.
	nextEvent int64
	// headSent is set when the caller has the head of the answer.
	headSent bool
	// lastWrite is when the last part was passed on.
	lastWrite time.Time

	// The rest belongs to the current attempt.
	status        int
	header        []*wire.Header
	headReceived  bool
	isEventStream bool
	buffer        []byte
	// bufferIndex is the index of the event that held starts with.
	bufferIndex int64
}

// reset prepares for the frames of a new attempt.
func (a *response) reset() {
	a.status, a.header, a.headReceived, a.isEventStream = 0, nil, false, false
	a.buffer = a.buffer[:0]
	a.keptBody = nil
	a.bufferIndex = -1
}

func (a *response) handleHead(h *wire.Head) error {
	if a.headReceived || h.Status < http.StatusOK || h.Status > maxStatus {
		return errFrameOrder
	}
	a.headReceived = true
	a.status, a.header = int(h.Status), h.Header
	a.isEventStream = isEventStream(h.Header)
	if a.headSent && (!a.isEventStream || a.status != http.StatusOK) {
		return errEventGap
	}
	return nil
}

func isEventStream(header []*wire.Header) bool {
	for _, h := range header {
		if strings.EqualFold(h.Name, "Content-Type") {
			return strings.HasPrefix(h.Value, "text/event-stream")
		}
	}
	return false
}

func (a *response) handlePart(p *wire.Part) error {
	if !a.headReceived {
		return errFrameOrder
	}
	if a.keepBody && len(a.keptBody) <= maxBufferedBytes {
		a.keptBody = append(a.keptBody, p.Data...)
	}
	if a.isEventStream && a.resumable {
		return a.handleEvents(p)
	}
	if a.isEventStream || a.headSent {
		return a.write(p.Data)
	}
	a.buffer = append(a.buffer, p.Data...)
	if len(a.buffer) < maxBufferedBytes {
		return nil
	}
	defer func() { a.buffer = a.buffer[:0] }()
	return a.write(a.buffer)
}

func (a *response) finish() error {
	if !a.headReceived {
		return errFrameOrder
	}
	if !a.headSent && !a.isEventStream && a.hasContentLength() {
		a.writer.Header().Set("Content-Length", strconv.Itoa(len(a.buffer)))
	}
	if len(a.buffer) == 0 && a.headSent {
		return nil
	}
	return a.write(a.buffer)
}

// hasContentLength reports whether the answer has a Content-Length of its own: answers to
// HEAD have that of another answer, and some have none.
func (a *response) hasContentLength() bool {
	return !a.headOnly && a.status != http.StatusNoContent && a.status != http.StatusNotModified
}

// write passes data on, after the head if that has not been sent.
func (a *response) write(data []byte) error {
	a.sendHead()
	if len(data) == 0 || a.headOnly {
		return nil
	}
	if a.writer.failed && a.keepBody {
		return nil
	}
	if _, err := a.writer.Write(data); err != nil {
		if a.keepBody {
			// The answer is stored for a repeated call although the caller has gone.
			return nil
		}
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if a.resumable {
		a.recordLatency()
	}
	return nil
}

// recordLatency adds the times between tokens to the histograms.
func (a *response) recordLatency() {
	now := time.Now()
	if a.lastWrite.IsZero() {
		stats.FirstToken.Record(now.Sub(a.receivedAt))
	} else {
		stats.InterToken.Record(now.Sub(a.lastWrite))
	}
	a.lastWrite = now
}

func (a *response) sendHead() {
	if a.headSent {
		return
	}
	a.headSent = true
	h := a.writer.Header()
	for _, f := range a.header {
		if forwardsResponseHeader(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}
	a.writer.WriteHeader(a.status)
}

// storedResponse returns the complete answer, without the body when it is too large to be
// kept.
func (a *response) storedResponse() *StoredResponse {
	if len(a.keptBody) > maxBufferedBytes {
		return &StoredResponse{Status: a.status, Header: a.header, BodyOmitted: true}
	}
	return &StoredResponse{Status: a.status, Header: a.header, Body: a.keptBody}
}

// replay sends a stored answer.
func (a *response) replay(s *StoredResponse) error {
	a.reset()
	a.headReceived = true
	a.status, a.header, a.buffer = s.Status, s.Header, s.Body
	return a.finish()
}
