package relay

import (
	"context"
	"net"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
)

// reachTTL is how long the result of a probe is used.
const reachTTL = silenceTimeout

// reach tells which silent upstreams can still be reached. It is safe for concurrent use.
type reach struct {
	mu     sync.Mutex
	probes map[string]*reachProbe
}

// reachProbe is the last probe of an address.
type reachProbe struct {
	startedAt clock.Time
	// done is closed when the probe has ended; reachable is valid from then on.
	done      chan struct{}
	reachable bool
}

// check reports whether a connection to the address can be made now, or could be within reachTTL. It does not block and
// returns true until it knows: the caller reads from a silent upstream, or waits for another one, meanwhile.
func (r *reach) check(ctx context.Context, address string, now clock.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.probes[address]
	if !ok || now.Sub(p.startedAt) >= reachTTL {
		r.forgetOld(now)
		p = &reachProbe{startedAt: now, done: make(chan struct{})}
		r.probes[address] = p
		go p.run(context.WithoutCancel(ctx), address)
	}
	select {
	case <-p.done:
		return p.reachable
	default:
		return true
	}
}

// forgetOld removes probes whose results are not used any longer. The caller holds r.mu.
func (r *reach) forgetOld(now clock.Time) {
	for address, p := range r.probes {
		if now.Sub(p.startedAt) >= reachTTL {
			delete(r.probes, address)
		}
	}
}

// run probes the address. Other requests wait for the result too, so ctx must not end with the first one.
func (p *reachProbe) run(ctx context.Context, address string) {
	defer close(p.done)
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	p.reachable = true
	_ = c.Close()
}
