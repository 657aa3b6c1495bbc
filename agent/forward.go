package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/copies"
	"github.com/magnolialever/magnolialever/events"
	"github.com/magnolialever/magnolialever/notice"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	dialTimeout = time.Second
	chunkBytes  = 32 << 10
	// maxHeaderBytes is the size up to which the header of a response is read. A parsed one takes many times its size.
	maxHeaderBytes = 32 << 10
)

// forwarder sends requests to the upstream.
type forwarder struct {
	address   string
	transport *http.Transport
	// pause refuses a call right before it is sent if the upstream wants a pause.
	pause func() *refusal
	// onNotice is called with what the upstream says of itself in a response.
	onNotice func(n notice.Notice)
	// instance identifies the run of the upstream; empty if that is not known. runsOn reports whether the upstream is known to
	// run on as that instance although the connection of a call broke.
	instance func() string
	runsOn   func(ctx context.Context, instance string) bool
}

// newTransport returns a transport that neither requests nor removes compression. It opens a connection for
// each request: what an upstream sends after its answer could be taken for the next one, and on a connection
// in use again net/http repeats some requests that failed.
func newTransport() *http.Transport {
	d := &socket.Dialer{Dialer: net.Dialer{Timeout: dialTimeout}}
	return &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// responseWriter receives a response. An error means that the gateway no longer reads
// and cancels the call.
type responseWriter interface {
	// writeHead receives the status and header, once and first.
	writeHead(status int, header http.Header) error
	// writePart receives the event or piece of the body with the index.
	writePart(index int64, data []byte) error
}

// tokenCounts holds the token counts of a call that has ended.
type tokenCounts struct {
	// used counts prompt and output tokens, at most the reserved ones.
	used int64
	// cached counts the prompt tokens that the engine took from its cache.
	cached int64
	// forwarded counts the output tokens sent to the gateway.
	forwarded int64
}

// forwardCall sends the call to the upstream and relays the response to w. A broken connection counts as a crash unless the
// upstream is known to run on.
func (f *forwarder) forwardCall(ctx context.Context, c *wire.Call, w responseWriter) (tokenCounts, *refusal) {
	instance := f.instance()
	counts, r := f.relayCall(ctx, c, w)
	if r != nil && r.crashed && f.runsOn(ctx, instance) {
		r.crashed = false
	}
	return counts, r
}

// relayCall sends the call to the upstream and relays the response to w.
func (f *forwarder) relayCall(ctx context.Context, c *wire.Call, w responseWriter) (tokenCounts, *refusal) {
	var connected atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected.Store(&info.Conn) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	req, err := f.newRequest(ctx, c)
	if err != nil {
		return tokenCounts{}, notRun(units.InvalidRequest, err.Error())
	}
	if r := f.pause(); r != nil {
		return tokenCounts{}, r
	}
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return tokenCounts{}, failedCall(ctx, err, connected.Load() != nil)
	}
	defer resp.Body.Close()
	if !copies.IsFinalStatus(resp.StatusCode) {
		stats.Event("odd_status")
		return tokenCounts{}, &refusal{code: units.UpstreamFailed, mayHaveRun: true, message: fmt.Sprintf("status %q of the answer is out of range", resp.Status)}
	}
	f.onNotice(parseNotice(resp, c.Kind != kindService))
	m := newMeter(c)
	if req := m.checkStatus(resp); req != nil {
		return tokenCounts{}, req
	}
	if err := w.writeHead(resp.StatusCode, responseHeader(resp.Header)); err != nil {
		return tokenCounts{}, canceledCall(err)
	}
	body, forward := &endedBody{Reader: answerBody(resp, m.isModel)}, f.forwardBody
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		forward = f.forwardEvents
	}
	counts, r := forward(ctx, body, m, w)
	if r == nil {
		ending := body.ending(resp, *connected.Load())
		klog.V(1).InfoS("agent: served", "attempt", c.Attempt, "status", resp.StatusCode, "end", ending)
	}
	return counts, r
}

// newRequest builds the upstream's request. It fails when the path is not absolute or the
// body of a resumed stream is not a JSON object.
func (f *forwarder) newRequest(ctx context.Context, c *wire.Call) (*http.Request, error) {
	body, err := bodyWithResume(c)
	if err != nil {
		return nil, err
	}
	path := c.Path
	if !strings.HasPrefix(path, "/") {
		return nil, errors.New("path must start with a slash")
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+f.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range c.Header {
		if !isDroppedHeader(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	return req, nil
}

// isDroppedHeader reports whether a header field is not forwarded: hop-by-hop fields, and
// fields that may contain a customer's key, which upstreams must not see.
func isDroppedHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Expect",
		"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key":
		return true
	}
	return false
}

// responseHeader returns the header fields that are relayed to the gateway.
func responseHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		// Content-Length is dropped because a stream may be stopped at its reservation.
		if !isDroppedHeader(name) {
			out[name] = values
		}
	}
	return out
}

// forwardEvents relays server-sent events, one part per event. A model's stream is complete after [DONE]; what its
// connection brings afterwards belongs to no request.
func (f *forwarder) forwardEvents(ctx context.Context, body io.Reader, m *meter, w responseWriter) (tokenCounts, *refusal) {
	er := newEventReader(body)
	for {
		event, err := er.next()
		if errors.Is(err, io.EOF) {
			return m.counts(), m.checkComplete()
		}
		if err != nil {
			return m.counts(), failedCall(ctx, err, true)
		}
		switch m.classify(event) {
		case eventError:
			return m.counts(), &refusal{code: units.UpstreamFailed, mayHaveRun: true, message: string(eventData(event))}
		case eventOverReservation:
			return f.stopAtReservation(m, w, event)
		case eventForward:
		}
		if err := w.writePart(m.eventIndex(event), event); err != nil {
			return m.counts(), canceledCall(err)
		}
		if m.sawDone {
			return m.counts(), nil
		}
	}
}

// stopAtReservation ends a stream that has used up its reservation in the way in which an
// engine ends a stream at max_tokens.
func (f *forwarder) stopAtReservation(m *meter, w responseWriter, event []byte) (tokenCounts, *refusal) {
	for _, e := range [][]byte{lengthStopEvent(event), []byte(doneEvent)} {
		if err := w.writePart(m.eventIndex(e), e); err != nil {
			return m.counts(), canceledCall(err)
		}
	}
	return m.counts(), nil
}

// forwardBody relays a response that is not a stream of events, in parts of up to
// chunkBytes.
func (f *forwarder) forwardBody(ctx context.Context, body io.Reader, m *meter, w responseWriter) (tokenCounts, *refusal) {
	buffer := make([]byte, chunkBytes)
	for i := int64(0); ; i++ {
		n, err := body.Read(buffer)
		if n > 0 {
			m.bufferBody(buffer[:n])
			if sendErr := w.writePart(i, buffer[:n]); sendErr != nil {
				return m.counts(), canceledCall(sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return m.bodyCounts(), nil
		}
		if err != nil {
			return m.counts(), failedCall(ctx, err, true)
		}
	}
}

// failedCall returns the refusal for a transport error, or for a second answer or one without end, which are no crash. connected is false when no
// connection was opened, so that the upstream can't have received the request.
func failedCall(ctx context.Context, err error, connected bool) *refusal {
	var op *net.OpError
	dialing := errors.As(err, &op) && op.Op == "dial"
	switch {
	case errors.Is(err, copies.ErrSecondAnswer):
		stats.Event("second_answer")
		return &refusal{code: units.UpstreamFailed, mayHaveRun: true, secondAnswer: true, message: err.Error()}
	case errors.Is(err, errEventTooLarge), errors.Is(err, events.ErrNoProgress):
		stats.Event("endless_answer")
		return &refusal{code: units.UpstreamFailed, mayHaveRun: true, message: err.Error()}
	case !connected:
		return &refusal{code: units.UpstreamFailed, canceled: ctx.Err() != nil, message: err.Error()}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errResponseDeadline):
		return &refusal{code: units.UpstreamTimeout, mayHaveRun: true, message: err.Error()}
	case ctx.Err() != nil:
		return canceledCall(err)
	}
	return &refusal{code: units.UpstreamFailed, mayHaveRun: true, crashed: !dialing, message: err.Error()}
}

// canceledCall returns the refusal for a call whose gateway has disconnected.
func canceledCall(err error) *refusal {
	return &refusal{code: units.UpstreamFailed, mayHaveRun: true, canceled: true, message: err.Error()}
}
