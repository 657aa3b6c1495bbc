// Package vmlist is the client of the platform's list of live and leaving VMs.
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	defaultInterval = 500 * clock.Millisecond
	defaultTimeout  = clock.Second
	maxAnswerBytes  = 16 << 20
)

// Role is what a VM is for.
type Role string

// Roles of VMs.
const (
	Entry    Role = "entry"
	Upstream Role = "upstream"
)

// State is the state of a VM.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine of the platform.
type VM struct {
	ID      units.VMID `json:"id"`
	Role    Role       `json:"role"`
	Address string     `json:"address"`
	Zone    units.Zone `json:"zone"`
	State   State      `json:"state"`
	Group   string     `json:"group"`
}

// List is an answer of the VM list. It is not changed after it was published.
type List struct {
	VMs []VM
	// RequestedAt is when the call that brought the list was sent.
	RequestedAt clock.Time
}

// Options configure a Client.
type Options struct {
	// Address of the VM list, as IP:port.
	Address string
	// Interval between two polls, 500 ms by default. Each wait varies by a quarter.
	Interval clock.Span
	// Timeout of one poll, 1 s by default.
	Timeout clock.Span
	// Clock is clock.System by default.
	Clock clock.Clock
}

// Counters are what a Client has counted since its start.
type Counters struct {
	Polls  int64 `json:"polls"`
	Errors int64 `json:"errors"`
}

// Client polls the VM list and keeps the last answer during an outage.
type Client struct {
	options Options
	http    *http.Client
	list    atomic.Pointer[List]
	updates chan *List
	polls   atomic.Int64
	errors  atomic.Int64
	failing atomic.Bool
}

// New returns a client; Run polls.
func New(o Options) *Client {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: o.Timeout.Duration()}
	return &Client{options: o, http: h, updates: make(chan *List, 1)}
}

// List returns the last list, or nil before the first answer. It is safe for
// concurrent use.
func (c *Client) List() *List { return c.list.Load() }

// Updates delivers each new list. A list that was not yet received is replaced
// by a newer one.
func (c *Client) Updates() <-chan *List { return c.updates }

// Counters returns the counts so far.
func (c *Client) Counters() Counters {
	return Counters{Polls: c.polls.Load(), Errors: c.errors.Load()}
}

// Run polls until the context is done.
func (c *Client) Run(ctx context.Context) error {
	defer c.http.CloseIdleConnections()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		c.poll(ctx)
		// Jitter keeps the processes of a fleet from polling in step.
		wait := c.options.Interval.Duration()
		t.Reset(wait*3/4 + rand.N(wait/2+1))
	}
}

func (c *Client) poll(ctx context.Context) {
	c.polls.Add(1)
	sent := c.options.Clock.Now()
	vms, err := c.get(ctx)
	if err != nil {
		c.failed(ctx, err)
		return
	}
	if c.failing.Swap(false) {
		klog.Info("vmlist: list is available again")
	}
	l := &List{VMs: vms, RequestedAt: sent}
	c.list.Store(l)
	select {
	case <-c.updates:
	default:
	}
	c.updates <- l
}

func (c *Client) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.errors.Add(1)
	stats.Event("vmlist_error")
	if !c.failing.Swap(true) {
		klog.Warningf("vmlist: keep the last list: %v", err)
	}
}

func (c *Client) get(ctx context.Context) ([]VM, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Address+"/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("build poll: %w", err)
	}
	r, err := c.http.Do(q)
	if err != nil {
		return nil, fmt.Errorf("poll vm list: %w", err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("poll vm list: status %d", r.StatusCode)
	}
	var vms []VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnswerBytes)).Decode(&vms); err != nil {
		return nil, fmt.Errorf("read vm list: %w", err)
	}
	return vms, nil
}
