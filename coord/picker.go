package coord

import (
	"slices"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/route"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// Picker implements gate.Picker with a route.Router. A lock protects the router: a
// choice takes some microseconds.
type Picker struct {
	mu       sync.Mutex
	router   *route.Router
	snapshot *tree.Snapshot
	heard    map[units.UpstreamID]heard
	leaving  map[units.UpstreamID]bool
}

// heard identifies the last report that the router got of an upstream.
type heard struct {
	at       clock.Time
	sequence uint64
}

// NewPicker returns a Picker for a gateway in the zone.
func NewPicker(zone units.Zone, seed uint64) *Picker {
	return &Picker{
		router:   route.New(route.Options{Zone: zone, Seed: seed}),
		snapshot: tree.Empty(),
		heard:    map[units.UpstreamID]heard{},
	}
}

// SetSnapshot tells the picker the configuration in force.
func (p *Picker) SetSnapshot(s *tree.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
}

// SetLeaving tells the picker which upstreams the VM list marks as leaving.
func (p *Picker) SetLeaving(l map[units.UpstreamID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = l
}

// Pick implements gate.Picker.
func (p *Picker) Pick(now clock.Time, q *gate.RequestInfo, c []gate.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, failed := p.candidates(c)
	chosen, ok := p.choose(now, q, usable)
	if !ok {
		// An upstream that failed this request is better than none.
		chosen, ok = p.choose(now, q, failed)
	}
	if !ok {
		return -1
	}
	return slices.IndexFunc(c, func(o gate.Candidate) bool { return o.Upstream == chosen })
}

// choose returns the upstream for the request. All gateways choose the same one for a
// crash suspect.
func (p *Picker) choose(now clock.Time, q *gate.RequestInfo, among []units.UpstreamID) (units.UpstreamID, bool) {
	if q.Exclusive {
		return retry.QuarantineUpstream(retry.Fingerprint(q.Fingerprint), among)
	}
	w := wantOf(q)
	w.Allowed = among
	choice, err := p.router.Pick(now, w)
	return choice.Upstream, err == nil
}

func wantOf(q *gate.RequestInfo) route.Request {
	w := route.Request{Cost: q.Cost, PrefixHashes: q.PrefixHashes}
	if q.Service {
		w.Service = units.ServiceID(q.Target)
	} else {
		w.Target = units.ModelID(q.Target)
	}
	return w
}

// candidates reports the loads to the router and returns the upstreams that are in
// service, those that failed the request apart.
func (p *Picker) candidates(c []gate.Candidate) (usable, failed []units.UpstreamID) {
	usable, failed = []units.UpstreamID{}, []units.UpstreamID{}
	for i := range c {
		p.report(&c[i])
		if p.leaving[c[i].Upstream] || p.snapshot.UpstreamExcluded(c[i].Upstream) || p.snapshot.ZoneExcluded(c[i].Zone) {
			continue
		}
		if c[i].Failed {
			failed = append(failed, c[i].Upstream)
			continue
		}
		usable = append(usable, c[i].Upstream)
	}
	return usable, failed
}

// report gives the router a report that it does not have. A later report with a lower
// number comes from a new agent process.
func (p *Picker) report(c *gate.Candidate) {
	last := p.heard[c.Upstream]
	if c.Load.Sequence == last.sequence {
		return
	}
	if c.Load.Sequence < last.sequence {
		if c.ReceivedAt <= last.at {
			return
		}
		p.router.Remove(c.Upstream)
	}
	p.heard[c.Upstream] = heard{c.ReceivedAt, c.Load.Sequence}
	p.router.HandleReport(c.ReceivedAt, loadOf(c))
}

func loadOf(c *gate.Candidate) route.LoadReport {
	l := c.Load
	return route.LoadReport{
		Upstream:       c.Upstream,
		Zone:           c.Zone,
		Sequence:       l.Sequence,
		Running:        int(l.Running),
		Waiting:        int(l.Waiting),
		Backlog:        units.Tokens(l.Backlog),
		Throughput:     units.Tokens(l.Speed),
		Cold:           l.Cold,
		ColdStartLimit: int(l.Allowance),
		Draining:       l.Leaving,
		Resident:       names[units.ModelID](l.Resident),
		Services:       names[units.ServiceID](l.Service),
	}
}

func names[T ~string](list []string) []T {
	out := make([]T, len(list))
	for i, s := range list {
		out[i] = T(s)
	}
	return out
}

// Started implements gate.Picker.
func (p *Picker) Started(now clock.Time, u units.UpstreamID, q *gate.RequestInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordStart(now, u, wantOf(q))
}

// Ended implements gate.Picker.
func (p *Picker) Ended(_ clock.Time, u units.UpstreamID, q *gate.RequestInfo, r gate.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordEnd(u)
	if r.Code == "" && r.CachedTokens >= 0 {
		p.router.CorrectPrefixes(u, q.PrefixHashes, r.CachedTokens)
	}
}
