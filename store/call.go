package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

const (
	defaultTimeout = clock.Second
	// maxHeaderBytes bounds the header of a response. A parsed one takes many times its size.
	maxHeaderBytes = 16 << 10
	// maxResponseBytes bounds a response, such as a page of values in base64.
	maxResponseBytes = 256 << 20
	// maxErrorBytes bounds the part of an error response that goes into the error.
	maxErrorBytes = 1 << 10
)

// Options configure a Client.
type Options struct {
	// Address is the address of the store, as IP:port.
	Address string
	// Timeout limits each request; 0 means 1 s.
	Timeout clock.Span
	// Clock supplies the time of the last response; nil means clock.System.
	Clock clock.Clock
}

// Counters holds the counts of a Client since its creation.
type Counters struct {
	// Calls counts requests sent to the store; opening a watch counts as one.
	Calls int64 `json:"calls"`
	// Errors counts requests that got no response or an error response.
	Errors int64 `json:"errors"`
	// Outages counts changes from reachable to unreachable.
	Outages int64 `json:"outages"`
	// RetriedWrites counts writes that were sent again because the response was lost.
	RetriedWrites int64 `json:"readbacks"`
	// UnknownResults counts writes that ended with ErrUnknownResult.
	UnknownResults int64 `json:"unknown"`
	// Watches counts watch streams opened, including reconnections.
	Watches int64 `json:"watches"`
	// StaleEvents counts watch events dropped because their revision was not newer.
	StaleEvents int64 `json:"stale"`
}

type counters struct {
	calls, errors, outages, retriedWrites, unknownResults, watches, staleEvents atomic.Int64
}

// Client implements KV over HTTP. It is safe for concurrent use.
//
// Each request has a connection of its own. Most responses bear nothing of their request, and on a connection in use again
// a late copy of an earlier response would be taken for the next one: a lease for renewed, a value for current. Revisions
// tell that of a write alone. A connection costs one round trip, and watches need one each in any case.
type Client struct {
	url          string
	http         *http.Client
	timeout      clock.Span
	clock        clock.Clock
	counters     counters
	unreachable  atomic.Bool
	lastResponse atomic.Int64
}

var _ KV = (*Client)(nil)

// New returns a client. It doesn't connect before the first call.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	dialer := &net.Dialer{Timeout: o.Timeout.Duration()}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{url: "http://" + o.Address, http: &http.Client{Transport: transport},
		timeout: o.Timeout, clock: o.Clock}
}

// Close releases what the transport holds. Connections end with their requests.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Counters returns the current counts.
func (c *Client) Counters() Counters {
	n := &c.counters
	return Counters{
		Calls: n.calls.Load(), Errors: n.errors.Load(), Outages: n.outages.Load(),
		RetriedWrites:  n.retriedWrites.Load(),
		UnknownResults: n.unknownResults.Load(), Watches: n.watches.Load(), StaleEvents: n.staleEvents.Load(),
	}
}

// LastResponse returns the local time of the last response from the store, or 0 when there was
// none.
func (c *Client) LastResponse() clock.Time { return clock.Time(c.lastResponse.Load()) }

// errRefused is returned when the store rejected a request with a 4xx status.
var errRefused = errors.New("refused")

// failure is the error of a request that got no successful response. It matches ErrUnavailable.
type failure struct {
	// mayHaveRun is false only when the request certainly had no effect.
	mayHaveRun bool
	err        error
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() []error { return []error{ErrUnavailable, f.err} }

// mayHaveRun reports whether a failed request may have taken effect.
func mayHaveRun(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.mayHaveRun
}

// call posts the request as JSON to the path and decodes the response. Client.timeout covers
// both. Errors match ErrUnavailable, or ErrNotFound after status 404.
func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	httpResp, err := c.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(response); err != nil {
		return c.recordFailure(&failure{mayHaveRun: true,
			err: fmt.Errorf("read response of %s: %w", path, err)})
	}
	c.recordResponse()
	return nil
}

// send posts the message as JSON and returns the response if its status is 200. The caller
// closes the body.
func (c *Client) send(ctx context.Context, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode request for %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request for %s: %w", path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	// Without GetBody, net/http can't resend the request by itself; each request is counted.
	request.GetBody = nil
	c.counters.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, c.recordFailure(&failure{mayHaveRun: !isDialError(err),
			err: fmt.Errorf("send request to %s: %w", path, err)})
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // only for the error
		return nil, c.statusError(response.StatusCode, fmt.Errorf("request to %s: status %d: %s",
			path, response.StatusCode, bytes.TrimSpace(text)))
	}
	return response, nil
}

// isDialError reports whether the connection could not be opened, so that nothing was sent.
func isDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// statusError returns the error for a status other than 200. A status below 500 means that the
// store rejected the request without running it, and is reachable.
func (c *Client) statusError(status int, err error) error {
	if status >= http.StatusInternalServerError {
		return c.recordFailure(&failure{mayHaveRun: true, err: err})
	}
	c.counters.errors.Add(1)
	stats.Event("store_refused")
	c.recordResponse()
	if status == http.StatusNotFound {
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	return &failure{err: fmt.Errorf("%w: %w", errRefused, err)}
}

// recordFailure counts a failed request, and an outage if the store was reachable before. A
// request that the caller canceled says nothing about the store.
func (c *Client) recordFailure(failed *failure) error {
	c.counters.errors.Add(1)
	stats.Event("store_error")
	if errors.Is(failed.err, context.Canceled) {
		return failed
	}
	if !c.unreachable.Swap(true) {
		c.counters.outages.Add(1)
		stats.Event("store_outage")
	}
	return failed
}

// recordResponse records the time of the response and that the store is reachable.
func (c *Client) recordResponse() {
	c.lastResponse.Store(int64(c.clock.Now()))
	c.unreachable.Store(false)
}

// openWatch opens a watch stream. The timeout covers only the time until the response header;
// cancel has to cancel ctx.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelFunc,
	request watchRequest) (*http.Response, error) {
	timer := time.AfterFunc(c.timeout.Duration(), cancel)
	response, err := c.send(ctx, "/v3/watch", request)
	timer.Stop()
	return response, err
}
