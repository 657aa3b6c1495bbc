// Package vmlist polls the platform's list of live and leaving VMs.
package vmlist

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rawjson"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	defaultInterval  = 500 * clock.Millisecond
	defaultTimeout   = clock.Second
	maxResponseBytes = 16 << 20
	// maxHeaderBytes is the size up to which the header of a response is read. A parsed one takes many times its size.
	maxHeaderBytes = 16 << 10
)

// Role is the role of a VM.
type Role string

// Roles of VMs: gateways run on entry VMs, agents with their engines on upstream VMs.
const (
	Entry    Role = "entry"
	Upstream Role = "upstream"
)

// State is the state of a VM.
type State string

// States of VMs. A leaving VM stops soon and must get no new work.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an entry of the VM list. Address is IP:port.
type VM struct {
	ID      units.VMID `json:"id"`
	Role    Role       `json:"role"`
	Address string     `json:"address"`
	Zone    units.Zone `json:"zone"`
	State   State      `json:"state"`
	Group   string     `json:"group"`
}

// List is one response with the VM list. It must not be changed, because it is shared.
type List struct {
	VMs []VM
	// RequestedAt is when the request for the list was sent.
	RequestedAt clock.Time
}

// Options configure a Client.
type Options struct {
	// Address is the address of the VM list service, as IP:port.
	Address string
	// Interval is the mean delay between two polls, 500 ms by default. Each delay differs from it
	// by up to a quarter.
	Interval clock.Span
	// Timeout is the timeout of one poll, 1 s by default.
	Timeout clock.Span
	// Clock is clock.System by default.
	Clock clock.Clock
}

// Counters counts the polls of a Client since its start, those that failed, and the entries that were left out
// at all polls.
type Counters struct {
	Polls   int64 `json:"polls"`
	Errors  int64 `json:"errors"`
	Ignored int64 `json:"ignored"`
}

// Client polls the VM list and keeps the last list during an outage.
type Client struct {
	options Options
	http    *http.Client
	list    atomic.Pointer[List]
	updates chan *List
	polls   atomic.Int64
	errors  atomic.Int64
	ignored atomic.Int64
	failing atomic.Bool
	// ignoring is set while the list has entries that are left out.
	ignoring bool
}

// New returns a Client that polls while Run runs.
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
	// A connection for each poll: on one in use again, a late copy of an earlier list, which bears no mark of its poll,
	// would count as requested at RequestedAt.
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}, Timeout: o.Timeout.Duration()}
	return &Client{options: o, http: h, updates: make(chan *List, 1)}
}

// List returns the last list, or nil before the first successful poll. It is safe for concurrent
// use.
func (c *Client) List() *List { return c.list.Load() }

// Updates returns a channel that delivers the list of each successful poll. A newer list replaces
// one that has not been received yet.
func (c *Client) Updates() <-chan *List { return c.updates }

// Counters returns the current counts.
func (c *Client) Counters() Counters {
	return Counters{Polls: c.polls.Load(), Errors: c.errors.Load(), Ignored: c.ignored.Load()}
}

// Run polls until the context is done. It returns no error.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		c.poll(ctx)
		// Jitter keeps the processes of a fleet from polling at the same time.
		wait := c.options.Interval.Duration()
		t.Reset(wait*3/4 + rand.N(wait/2+1))
	}
}

func (c *Client) poll(ctx context.Context) {
	c.polls.Add(1)
	requestedAt := c.options.Clock.Now()
	vms, err := c.fetch(ctx)
	if err != nil {
		c.recordFailure(ctx, err)
		return
	}
	if c.failing.Swap(false) {
		klog.Info("vmlist: polling the VM list succeeds again")
	}
	l := &List{VMs: vms, RequestedAt: requestedAt}
	c.list.Store(l)
	select {
	case <-c.updates:
	default:
	}
	c.updates <- l
}

func (c *Client) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.errors.Add(1)
	stats.Event("vmlist_error")
	if !c.failing.Swap(true) {
		klog.Warningf("vmlist: polling failed; using the last list: %v", err)
	}
}

func (c *Client) fetch(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.options.Address+"/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("build VM list request: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("poll VM list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("poll VM list: unexpected status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	return c.decode(data)
}

// decode decodes a list. An entry that may come from another writer names no VM; the others hold. It fails if
// there are entries and none is left, as an empty list would end the use of all VMs.
func (c *Client) decode(data []byte) ([]VM, error) {
	entries, err := rawjson.Elements(data)
	if err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	vms := make([]VM, 0, len(entries))
	var firstErr error
	for i, e := range entries {
		v, err := decodeVM(e)
		if err == nil {
			vms = append(vms, v)
		} else if firstErr == nil {
			firstErr = fmt.Errorf("entry %d: %w", i, err)
		}
	}
	c.recordIgnored(len(entries)-len(vms), firstErr)
	if len(vms) == 0 && firstErr != nil {
		return nil, fmt.Errorf("decode VM list: %w", firstErr)
	}
	return vms, nil
}

// recordIgnored counts the entries that a list has without naming a VM, and logs the first one of them when the
// list before had none.
func (c *Client) recordIgnored(n int, err error) {
	c.ignored.Add(int64(n))
	stats.Events.Add("vmlist_entries_ignored", int64(n))
	if n > 0 && !c.ignoring {
		klog.Warningf("vmlist: ignoring entries that name no VM: count=%d first: %v", n, err)
	}
	c.ignoring = n > 0
}

var errNoVM = errors.New("the id, the role, the state or the address is missing or invalid")

// decodeVM decodes an entry. It fails unless the entry says which VM it is, what runs on it and how to reach it.
func decodeVM(data []byte) (VM, error) {
	var v VM
	if err := rawjson.Unmarshal(data, &v); err != nil {
		return VM{}, fmt.Errorf("decode VM: %w", err)
	}
	if v.ID == "" || v.Role != Entry && v.Role != Upstream || v.State != Live && v.State != Leaving || !units.IsAddress(v.Address) {
		return VM{}, errNoVM
	}
	return v, nil
}
