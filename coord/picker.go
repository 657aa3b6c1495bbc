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

// Picker implements gate.Picker with a route.Router. One mutex for the router suffices, because a
// choice takes only a few microseconds.
type Picker struct {
	mu          sync.Mutex
	router      *route.Router
	snapshot    *tree.Snapshot
	lastReports map[units.UpstreamID]reportID
	leaving     map[units.UpstreamID]bool
}

// reportID identifies a load report of an upstream.
type reportID struct {
	receivedAt clock.Time
	sequence   uint64
}

// NewPicker returns a Picker for a gateway in the zone. The seed is that of the router's random
// choices.
func NewPicker(zone units.Zone, seed uint64) *Picker {
	return &Picker{
		router:      route.New(route.Options{Zone: zone, Seed: seed}),
		snapshot:    tree.Empty(),
		lastReports: map[units.UpstreamID]reportID{},
	}
}

// SetSnapshot replaces the configuration, which may exclude upstreams and zones.
func (p *Picker) SetSnapshot(s *tree.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
}

// SetLeaving replaces the set of upstreams in state leaving on the VM list; they get no requests.
func (p *Picker) SetLeaving(l map[units.UpstreamID]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = l
}

// Pick implements gate.Picker. It returns the index of a candidate, or -1 if none can be used.
func (p *Picker) Pick(now clock.Time, q *gate.RequestInfo, c []gate.Candidate) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, failed := p.candidates(c)
	chosen, ok := p.choose(now, q, usable)
	if !ok {
		// Without another upstream, retry one that has failed this request.
		chosen, ok = p.choose(now, q, failed)
	}
	if !ok {
		return -1
	}
	return slices.IndexFunc(c, func(o gate.Candidate) bool { return o.Upstream == chosen })
}

// choose returns the upstream for a request among those allowed, or false if there is none. A crash
// suspect goes to its quarantine upstream, which is the same for all gateways.
func (p *Picker) choose(now clock.Time, q *gate.RequestInfo, allowed []units.UpstreamID) (units.UpstreamID, bool) {
	if q.Exclusive {
		return retry.QuarantineUpstream(retry.Fingerprint(q.Fingerprint), allowed)
	}
	r := routeRequest(q)
	r.Allowed = allowed
	choice, err := p.router.Pick(now, r)
	return choice.Upstream, err == nil
}

func routeRequest(q *gate.RequestInfo) route.Request {
	r := route.Request{Cost: q.Cost, PrefixHashes: q.PrefixHashes}
	if q.Service {
		r.Service = units.ServiceID(q.Target)
	} else {
		r.Target = units.ModelID(q.Target)
	}
	return r
}

// candidates passes new load reports to the router. It returns the upstreams that are neither
// leaving nor excluded, split into those that have not failed this request and those that have.
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

// report passes a candidate's load report to the router if it is new. A later report with a lower
// sequence number comes from a new agent process; the state of the old one is removed.
func (p *Picker) report(c *gate.Candidate) {
	last := p.lastReports[c.Upstream]
	if c.Load.Sequence == last.sequence {
		return
	}
	if c.Load.Sequence < last.sequence {
		if c.ReceivedAt <= last.receivedAt {
			return
		}
		p.router.Remove(c.Upstream)
	}
	p.lastReports[c.Upstream] = reportID{c.ReceivedAt, c.Load.Sequence}
	p.router.HandleReport(c.ReceivedAt, routeLoad(c))
}

func routeLoad(c *gate.Candidate) route.LoadReport {
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
		Resident:       convertIDs[units.ModelID](l.Resident),
		Services:       convertIDs[units.ServiceID](l.Service),
	}
}

func convertIDs[T ~string](ids []string) []T {
	out := make([]T, len(ids))
	for i, s := range ids {
		out[i] = T(s)
	}
	return out
}

// Started implements gate.Picker.
func (p *Picker) Started(now clock.Time, u units.UpstreamID, q *gate.RequestInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RecordStart(now, u, routeRequest(q))
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
