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

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	chunkBytes     = 32 << 10
	maxHeaderBytes = 64 << 10
)

// forwarder sends requests to the upstream.
type forwarder struct {
	address string
	// reusing keeps connections open between requests.
	reusing *http.Transport
	// single opens a connection for each request. net/http repeats some requests
	// after a failure on a connection that it reuses, among them those with an
	// Idempotency-Key, which may then run twice.
	single *http.Transport
}

func newForwarder(address string) *forwarder {
	return &forwarder{address: address, reusing: newTransport(false), single: newTransport(true)}
}

func newTransport(single bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            d.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      single,
		MaxIdleConnsPerHost:    defaultRunning,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func (f *forwarder) close() {
	f.reusing.CloseIdleConnections()
	f.single.CloseIdleConnections()
}

// answer receives what the upstream sends.
type answer interface {
	head(status int, header http.Header) error
	part(index int64, data []byte) error
}

// outcome is what is known after an attempt has reached its end.
type outcome struct {
	used   int64
	cached int64
	// tokens is the number of tokens that were passed on.
	tokens int64
}

// run sends the call to the upstream and passes the answer on.
func (f *forwarder) run(ctx context.Context, c *wire.Call, a answer) (outcome, *refusal) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	r, err := f.request(ctx, c)
	if err != nil {
		return outcome{}, notRun(units.InvalidRequest, err.Error())
	}
	transport := f.reusing
	if !c.Idempotent {
		transport = f.single
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return outcome{}, failure(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	m := newMeter(c)
	if r := m.refused(resp); r != nil {
		return outcome{}, r
	}
	if err := a.head(resp.StatusCode, answerHeader(resp.Header)); err != nil {
		return outcome{}, gone(err)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return f.events(ctx, resp.Body, m, a)
	}
	return f.plain(ctx, resp.Body, m, a)
}

func (f *forwarder) request(ctx context.Context, c *wire.Call) (*http.Request, error) {
	body, err := withResume(c)
	if err != nil {
		return nil, err
	}
	path := c.Path
	if !strings.HasPrefix(path, "/") {
		return nil, errors.New("path must start with a slash")
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+f.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range c.Header {
		if !dropped(h.Name) {
			r.Header.Add(h.Name, h.Value)
		}
	}
	return r, nil
}

// dropped reports header fields that hold for one connection only, and those that
// may hold a customer's key, which no upstream may see.
func dropped(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host", "Expect",
		"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key":
		return true
	}
	return false
}

func answerHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		// The length is not known to hold, as a stream may stop at its reservation.
		if !dropped(name) {
			out[name] = values
		}
	}
	return out
}

// events passes on server-sent events, one part for each.
func (f *forwarder) events(ctx context.Context, body io.Reader, m *meter, a answer) (outcome, *refusal) {
	er := newEventReader(body)
	for {
		event, err := er.next()
		if errors.Is(err, io.EOF) {
			return m.outcome(), m.incomplete()
		}
		if err != nil {
			return m.outcome(), failure(ctx, err, true)
		}
		switch m.event(event) {
		case eventFails:
			return m.outcome(), &refusal{code: units.UpstreamFailed, ran: true, message: string(eventData(event))}
		case eventExceeds:
			return f.stop(m, a, event)
		case eventPasses:
		}
		if err := a.part(m.index(event), event); err != nil {
			return m.outcome(), gone(err)
		}
	}
}

// stop ends a stream that has used up its reservation the way an engine ends one
// at max_tokens.
func (f *forwarder) stop(m *meter, a answer, event []byte) (outcome, *refusal) {
	for _, e := range [][]byte{lengthEvent(event), []byte(doneEvent)} {
		if err := a.part(m.index(e), e); err != nil {
			return m.outcome(), gone(err)
		}
	}
	return m.outcome(), nil
}

// plain passes on an answer that is not a stream of events.
func (f *forwarder) plain(ctx context.Context, body io.Reader, m *meter, a answer) (outcome, *refusal) {
	buffer := make([]byte, chunkBytes)
	for i := int64(0); ; i++ {
		n, err := body.Read(buffer)
		if n > 0 {
			m.plain(buffer[:n])
			if sendErr := a.part(i, buffer[:n]); sendErr != nil {
				return m.outcome(), gone(sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return m.plainOutcome(), nil
		}
		if err != nil {
			return m.outcome(), failure(ctx, err, true)
		}
	}
}

// failure tells how a call failed that the upstream may have received.
func failure(ctx context.Context, err error, connected bool) *refusal {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	switch {
	case !connected:
		return notRun(units.UpstreamFailed, err.Error())
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), errStart):
		return &refusal{code: units.UpstreamTimeout, ran: true, message: err.Error()}
	case ctx.Err() != nil:
		return gone(err)
	}
	return &refusal{code: units.UpstreamFailed, ran: true, crashed: !dial, message: err.Error()}
}

// gone ends a call whose gateway no longer listens.
func gone(err error) *refusal {
	return &refusal{code: units.UpstreamFailed, ran: true, cancelled: true, message: err.Error()}
}
