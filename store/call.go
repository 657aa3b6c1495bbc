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
	idleConns      = 16
	// maxAnswerBytes bounds an answer: a page of values in base64.
	maxAnswerBytes = 256 << 20
	maxErrorBytes  = 1 << 10
)

// Options configure a Client.
type Options struct {
	// Address of the store, as IP:port.
	Address string
	// Timeout limits each call; 0 means 1 s.
	Timeout clock.Span
	// Clock stamps the last answer; nil means clock.System.
	Clock clock.Clock
}

// Counters are what a Client has counted since its start.
type Counters struct {
	// Calls counts calls sent to the store; an open watch is one.
	Calls int64 `json:"calls"`
	// Errors counts calls without an answer or with an error as the answer.
	Errors int64 `json:"errors"`
	// Outages counts changes from reachable to unreachable.
	Outages int64 `json:"outages"`
	// RetriedWrites counts writes whose answer was lost.
	RetriedWrites int64 `json:"readbacks"`
	// UnknownResults counts writes that ended with ErrUnknown.
	UnknownResults int64 `json:"unknown"`
	// Watches counts watches opened or opened again.
	Watches int64 `json:"watches"`
	// StaleEvents counts events that were dropped because their revision was not newer.
	StaleEvents int64 `json:"stale"`
}

type counters struct {
	calls, errors, outages, readbacks, unknown, watches, stale atomic.Int64
}

// Client implements KV. It is safe for concurrent use.
type Client struct {
	url     string
	http    *http.Client
	timeout clock.Span
	clock   clock.Clock
	count   counters
	out     atomic.Bool
	answer  atomic.Int64
}

var _ KV = (*Client)(nil)

// New returns a client. It opens connections as needed.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	d := &net.Dialer{Timeout: o.Timeout.Duration()}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idleConns}
	return &Client{url: "http://" + o.Address, http: &http.Client{Transport: t}, timeout: o.Timeout, clock: o.Clock}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Counters returns the counts so far.
func (c *Client) Counters() Counters {
	n := &c.count
	return Counters{
		Calls: n.calls.Load(), Errors: n.errors.Load(), Outages: n.outages.Load(), RetriedWrites: n.readbacks.Load(),
		UnknownResults: n.unknown.Load(), Watches: n.watches.Load(), StaleEvents: n.stale.Load(),
	}
}

// LastResponse returns when the store last answered, or 0.
func (c *Client) LastResponse() clock.Time { return clock.Time(c.answer.Load()) }

// errRefused says that the store refused to run a call.
var errRefused = errors.New("refused")

// failure is a call that brought no result. It matches ErrUnavailable.
type failure struct {
	// ran tells whether the call may have taken effect.
	ran bool
	err error
}

func (f *failure) Error() string { return f.err.Error() }

func (f *failure) Unwrap() []error { return []error{ErrUnavailable, f.err} }

// mayHaveRun reports whether a failed call may have taken effect.
func mayHaveRun(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.ran
}

// call sends one request and decodes the answer.
func (c *Client) call(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	r, err := c.send(ctx, path, in)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(out); err != nil {
		return c.failed(&failure{ran: true, err: fmt.Errorf("read answer of %s: %w", path, err)})
	}
	c.answered()
	return nil
}

// send sends one request and returns the response if its status is 200.
func (c *Client) send(ctx context.Context, path string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", path, err)
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build %s: %w", path, err)
	}
	q.Header.Set("Content-Type", "application/json")
	// net/http must not repeat a call by itself: each call is counted.
	q.GetBody = nil
	c.count.calls.Add(1)
	r, err := c.http.Do(q)
	if err != nil {
		return nil, c.failed(&failure{ran: !isDial(err), err: fmt.Errorf("call %s: %w", path, err)})
	}
	if r.StatusCode != http.StatusOK {
		defer r.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes)) // only for the message
		return nil, c.refused(r.StatusCode, fmt.Errorf("call %s: status %d: %s", path, r.StatusCode, bytes.TrimSpace(text)))
	}
	return r, nil
}

// isDial reports whether the connection could not be opened, so that nothing was
// sent.
func isDial(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}

// refused turns an answer other than 200 into an error. Below 500 the store has
// refused to run the call; it is not out.
func (c *Client) refused(status int, err error) error {
	if status >= http.StatusInternalServerError {
		return c.failed(&failure{ran: true, err: err})
	}
	c.count.errors.Add(1)
	stats.Event("store_refused")
	c.answered()
	if status == http.StatusNotFound {
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	return &failure{err: fmt.Errorf("%w: %w", errRefused, err)}
}

func (c *Client) failed(f *failure) error {
	c.count.errors.Add(1)
	stats.Event("store_error")
	if errors.Is(f.err, context.Canceled) {
		return f
	}
	if !c.out.Swap(true) {
		c.count.outages.Add(1)
		stats.Event("store_outage")
	}
	return f
}

func (c *Client) answered() {
	c.answer.Store(int64(c.clock.Now()))
	c.out.Store(false)
}

// open starts a watch; the time limit covers only the start of the answer.
func (c *Client) open(ctx context.Context, cancel context.CancelFunc, q watchRequest) (*http.Response, error) {
	t := time.AfterFunc(c.timeout.Duration(), cancel)
	r, err := c.send(ctx, "/v3/watch", q)
	t.Stop()
	return r, err
}
