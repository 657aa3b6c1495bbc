package gate

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/copies"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// maxBufferedBytes bounds the part of a non-streamed response that is buffered. While the response
// is buffered completely, another upstream can still serve the request.
const maxBufferedBytes = 1 << 20

var (
	errEventGap     = errors.New("events are missing in the response stream")
	errEventTooLong = errors.New("an event of the response stream is too long")
	errNoLastEvent  = errors.New("the response stream ended before its last event")
	errOddStatus    = errors.New("the status of the answer is out of range")
	errClaimsNotRun = errors.New("the status of the answer says that the request has not run, but the upstream has answered it")
	errCallerWrite  = errors.New("write response to the caller")
)

// response relays an upstream's response to the caller. It is shared by all attempts of a request
// and records which part the caller already has.
type response struct {
	writer     *flushWriter
	receivedAt time.Time
	// resumable is set for requests whose event stream can continue on another upstream.
	resumable bool
	// atMostOnce is set for requests that must not run twice.
	atMostOnce bool
	// headOnly is set for HEAD requests: the body is dropped.
	headOnly bool
	// keepBody is set when the body has to be stored for repeated calls.
	keepBody bool
	keptBody []byte
	// nextEvent is the index of the first event that the caller does not have yet.
	nextEvent int64
	// ended is set once the caller has the last event of a resumable stream.
	ended bool
	// headSent is set after the status and headers were written to the caller.
	headSent bool
	// lastWrite is when data was last written to the caller, for the latency histograms.
	lastWrite time.Time

	// The remaining fields are reset for each attempt.
	status        int
	header        []*wire.Header
	headReceived  bool
	isEventStream bool
	buffer        []byte
	// bufferIndex is the index of the event at the start of buffer; -1 before the first part.
	bufferIndex int64
}

// reset prepares for the frames of a new attempt.
func (r *response) reset() {
	r.status, r.header, r.headReceived, r.isEventStream = 0, nil, false, false
	r.buffer = r.buffer[:0]
	r.keptBody = nil
	r.bufferIndex = -1
}

// handleHead takes the status and headers of an attempt. A resumed response must be an event stream
// with status 200.
func (r *response) handleHead(h *wire.Head) error {
	if r.headReceived {
		return errFrameOrder
	}
	if !copies.IsFinalStatus(int(h.Status)) {
		stats.Event("odd_status")
		return errOddStatus
	}
	if r.atMostOnce && retry.ClaimsNotRun(int(h.Status)) {
		stats.Event("not_run_unfounded")
		return errClaimsNotRun
	}
	r.headReceived = true
	r.status, r.header = int(h.Status), h.Header
	r.isEventStream = isEventStream(h.Header)
	if r.headSent && (!r.isEventStream || r.status != http.StatusOK) {
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

// handlePart relays or buffers a part of the body.
func (r *response) handlePart(p *wire.Part) error {
	if !r.headReceived {
		return errFrameOrder
	}
	if r.keepBody && len(r.keptBody) <= maxBufferedBytes {
		r.keptBody = append(r.keptBody, p.Data...)
	}
	if r.isEventStream && r.resumable {
		return r.handleEvents(p)
	}
	if r.isEventStream || r.headSent {
		return r.write(p.Data)
	}
	r.buffer = append(r.buffer, p.Data...)
	if len(r.buffer) < maxBufferedBytes {
		return nil
	}
	defer func() { r.buffer = r.buffer[:0] }()
	return r.write(r.buffer)
}

// finish completes the response: it sends what is still buffered. A resumable stream is complete only with its last
// event: the agent's word doesn't tell what the caller has.
func (r *response) finish() error {
	if !r.headReceived {
		return errFrameOrder
	}
	if r.isEventStream && r.resumable && !r.ended {
		return errNoLastEvent
	}
	if !r.headSent && !r.isEventStream && r.hasContentLength() {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(r.buffer)))
	}
	if len(r.buffer) == 0 && r.headSent {
		return nil
	}
	return r.write(r.buffer)
}

// hasContentLength reports whether Content-Length can be set to the size of the body. Responses to
// HEAD, 204 and 304 have no body of their own.
func (r *response) hasContentLength() bool {
	return !r.headOnly && r.status != http.StatusNoContent && r.status != http.StatusNotModified
}

// write writes data to the caller, after the status and headers if they were not sent yet. With
// keepBody, write errors are ignored: the response is stored for a repeated call although the
// caller has disconnected.
func (r *response) write(data []byte) error {
	r.sendHead()
	if len(data) == 0 || r.headOnly {
		return nil
	}
	if r.writer.failed && r.keepBody {
		return nil
	}
	if _, err := r.writer.Write(data); err != nil {
		if r.keepBody {
			// The response is still stored for a repeated call.
			return nil
		}
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if r.resumable {
		r.recordLatency()
	}
	return nil
}

// recordLatency adds the time to the first token, or since the previous one, to the histograms.
func (r *response) recordLatency() {
	now := time.Now()
	if r.lastWrite.IsZero() {
		stats.FirstToken.Record(now.Sub(r.receivedAt))
	} else {
		stats.InterToken.Record(now.Sub(r.lastWrite))
	}
	r.lastWrite = now
}

// sendHead sends the status and headers once.
func (r *response) sendHead() {
	if r.headSent {
		return
	}
	r.headSent = true
	h := r.writer.Header()
	for _, f := range r.header {
		if forwardsResponseHeader(f.Name) {
			h.Add(f.Name, f.Value)
		}
	}
	r.writer.WriteHeader(r.status)
}

// storedResponse returns the complete response for storage. Bodies of more than maxBufferedBytes
// are omitted.
func (r *response) storedResponse() *StoredResponse {
	if len(r.keptBody) > maxBufferedBytes {
		return &StoredResponse{Status: r.status, Header: r.header, BodyOmitted: true}
	}
	return &StoredResponse{Status: r.status, Header: r.header, Body: r.keptBody}
}

// replay sends a stored response to the caller.
func (r *response) replay(s *StoredResponse) error {
	r.reset()
	if !copies.IsFinalStatus(s.Status) {
		// Another version of the program has stored it.
		return errOddStatus
	}
	r.headReceived = true
	r.status, r.header, r.buffer = s.Status, s.Header, s.Body
	return r.finish()
}
