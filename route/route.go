// Package route chooses an upstream for each attempt from the load reports that
// one gateway has received. It performs no I/O and is not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Reasons why no upstream can be chosen.
var (
	// ErrNoUpstream means that no usable upstream offers the target.
	ErrNoUpstream = errors.New("no usable upstream offers the target")
	// ErrColdStartFull means that all usable upstreams are in cold start and full.
	ErrColdStartFull = errors.New("all usable upstreams are at their cold-start allowance")
)

// LoadReport is a report of an agent on its upstream.
type LoadReport struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Sequence grows with each report of one agent; older reports are dropped.
	Sequence uint64
	Running  int
	Waiting  int
	// Backlog is the number of tokens reserved and not yet generated.
	Backlog units.Tokens
	// Throughput is measured in tokens a second over all requests.
	Throughput units.Tokens
	Cold       bool
	// ColdStartLimit limits the requests at once in cold start; 0 means no limit.
	ColdStartLimit int
	Draining       bool
	Resident       []units.ModelID
	Services       []units.ServiceID
}

// Request describes the request to place.
type Request struct {
	Target units.ModelID
	// BaseModel is the base model when the target is an adapter.
	BaseModel units.ModelID
	// Service is set instead of Target for a plain service.
	Service units.ServiceID
	Cost    units.Tokens
	// PrefixHashes holds the hashes of the leading prompt blocks, shortest first.
	PrefixHashes []uint64
	// Allowed limits the choice, for instance to upstreams that have not failed this
	// request; nil allows all.
	Allowed []units.UpstreamID
}

// Choice is an upstream for one attempt.
type Choice struct {
	Upstream units.UpstreamID
	// Resident tells whether the target is loaded there.
	Resident bool
	// Estimate is the expected time until the request is complete.
	Estimate clock.Span
}

// Options configure a Router. Zero fields take the defaults.
type Options struct {
	// Zone is the availability zone of the gateway.
	Zone units.Zone
	// Seed makes the random choices reproducible.
	Seed uint64
	// SampleSize is the number of random candidates that are compared; AllCandidates
	// compares all.
	SampleSize int
	// CrossZoneDelay is added for an upstream in another availability zone.
	CrossZoneDelay clock.Span
	// LoadTime is the expected time to load a target that is not resident.
	LoadTime clock.Span
}

const (
	// DefaultSampleSize compares all upstreams. With subsets of at most MaxSubset, and with
	// old reports discounted, this had a lower tail latency than two random choices.
	DefaultSampleSize = AllCandidates
	// MaxSubset is the largest number of upstreams of one target that a gateway should
	// use. Larger subsets leave each gateway with older reports and cause herding.
	MaxSubset = 16
	// AllCandidates disables the random choice of candidates.
	AllCandidates = -1
	// DefaultCrossZoneDelay is a round trip between two availability zones.
	DefaultCrossZoneDelay = 3 * clock.Millisecond
	// DefaultLoadTime is the time of one load from the weight store.
	DefaultLoadTime = 4 * clock.Second

	// reportDelay is the age at which an own request is taken to be part of a report:
	// two one-way delays between availability zones and the agent's own delay.
	reportDelay = 5 * clock.Millisecond
	// reportTimeConstant is the age at which the load of other gateways in a report counts for
	// 1/e, and the mean over all upstreams for the rest.
	reportTimeConstant = 200 * clock.Millisecond
	// tieTolerance is the difference between estimates that is regarded as noise. A random
	// choice among near-equals keeps gateways with the same reports apart.
	tieTolerance = 2 * clock.Millisecond
	// defaultSpeed is assumed before the first measurement.
	defaultSpeed = units.Tokens(1000)
	// prefixBlock is the number of tokens that one prefix hash stands for.
	prefixBlock = units.Tokens(16)
)

// Router holds one gateway's view of the upstreams.
type Router struct {
	options   Options
	random    *rand.Rand
	upstreams map[units.UpstreamID]*upstreamState
	// ordered lists the views in a stable order, so that a seed reproduces a run.
	ordered           []*upstreamState
	excludedZones     map[units.Zone]bool
	excludedUpstreams map[units.UpstreamID]bool
	scratch           []*upstreamState
}

// New returns a Router without upstreams.
func New(o Options) *Router {
	if o.CrossZoneDelay == 0 {
		o.CrossZoneDelay = DefaultCrossZoneDelay
	}
	if o.SampleSize == 0 {
		o.SampleSize = DefaultSampleSize
	}
	if o.LoadTime == 0 {
		o.LoadTime = DefaultLoadTime
	}
	return &Router{
		options:           o,
		random:            rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		upstreams:         map[units.UpstreamID]*upstreamState{},
		excludedZones:     map[units.Zone]bool{},
		excludedUpstreams: map[units.UpstreamID]bool{},
	}
}

// HandleReport records a load report. Reports that arrive out of order are ignored.
func (r *Router) HandleReport(now clock.Time, l LoadReport) {
	v, ok := r.upstreams[l.Upstream]
	if !ok {
		v = &upstreamState{prefixes: newPrefixes()}
		r.upstreams[l.Upstream] = v
		r.ordered = append(r.ordered, v)
	} else if l.Sequence <= v.load.Sequence {
		return
	}
	if !ok || !slices.Equal(l.Resident, v.load.Resident) {
		v.resident = setOf(l.Resident)
	}
	if !ok || !slices.Equal(l.Services, v.load.Services) {
		v.services = setOf(l.Services)
	}
	v.load = l
	v.received = now
	v.unreported = slices.DeleteFunc(v.unreported, func(o ownRequest) bool { return now.Sub(o.started) >= reportDelay })
	reported := float64(l.Running + l.Waiting)
	v.otherGateways = expectedLoad{requests: max(0, reported-float64(v.outstanding-len(v.unreported)))}
	v.otherGateways.backlog = float64(l.Backlog) * v.otherGateways.requests / max(reported, 1)
}

// Remove forgets an upstream whose session ended. A new session starts a new
// sequence of reports.
func (r *Router) Remove(id units.UpstreamID) {
	v, ok := r.upstreams[id]
	if !ok {
		return
	}
	delete(r.upstreams, id)
	r.ordered = slices.DeleteFunc(r.ordered, func(o *upstreamState) bool { return o == v })
}

// SetExcluded replaces the availability zones and upstreams that get no new work.
func (r *Router) SetExcluded(zones []units.Zone, upstreams []units.UpstreamID) {
	r.excludedZones = setOf(zones)
	r.excludedUpstreams = setOf(upstreams)
}

// Pick chooses an upstream for the request.
func (r *Router) Pick(now clock.Time, w Request) (Choice, error) {
	candidates, err := r.candidates(w)
	if err != nil {
		return Choice{}, err
	}
	mean := r.mean()
	best, estimate := candidates[0], clock.Span(0)
	for i, v := range r.sample(candidates) {
		e := r.estimate(now, v, w, mean)
		if i == 0 || e < estimate-tieTolerance || (e < estimate+tieTolerance && r.random.IntN(2) == 0) {
			best, estimate = v, e
		}
	}
	return Choice{Upstream: best.load.Upstream, Resident: best.offers(w), Estimate: estimate}, nil
}

// RecordStart records that a request starts on the upstream.
func (r *Router) RecordStart(now clock.Time, id units.UpstreamID, w Request) {
	v, ok := r.upstreams[id]
	if !ok {
		return
	}
	v.unreported = append(v.unreported, ownRequest{started: now, cost: w.Cost})
	v.outstanding++
	v.prefixes.add(w.PrefixHashes)
}

// RecordEnd records that a request that started on the upstream has ended. The report
// that came with the answer must be recorded after it.
func (r *Router) RecordEnd(id units.UpstreamID) {
	v, ok := r.upstreams[id]
	if !ok || v.outstanding == 0 {
		return
	}
	v.outstanding--
	// A request that has ended takes no room, even if it is younger than reportDelay.
	if extra := len(v.unreported) - v.outstanding; extra > 0 {
		v.unreported = slices.Delete(v.unreported, 0, extra)
	}
}

// CorrectPrefixes corrects the prefix hint with the number of prompt tokens that the engine
// found in its cache.
func (r *Router) CorrectPrefixes(id units.UpstreamID, prefix []uint64, cached units.Tokens) {
	if v, ok := r.upstreams[id]; ok {
		v.prefixes.correct(prefix, int(cached/prefixBlock))
	}
}

// candidates returns the usable upstreams: those that have the target, else those
// that could load it. Warm ones with room go before cold ones that are full.
func (r *Router) candidates(w Request) ([]*upstreamState, error) {
	offering := r.filter(func(v *upstreamState) bool { return r.usable(v, w) && v.offers(w) && v.underColdStartLimit() })
	if len(offering) > 0 {
		return offering, nil
	}
	full := slices.ContainsFunc(r.ordered, func(v *upstreamState) bool { return r.usable(v, w) && v.offers(w) })
	if full {
		return nil, ErrColdStartFull
	}
	if w.Service != "" {
		return nil, ErrNoUpstream
	}
	loaders := r.filter(func(v *upstreamState) bool { return r.usable(v, w) && v.canLoad(w) && v.underColdStartLimit() })
	if len(loaders) == 0 {
		return nil, ErrNoUpstream
	}
	return loaders, nil
}

func (r *Router) filter(keep func(*upstreamState) bool) []*upstreamState {
	r.scratch = r.scratch[:0]
	for _, v := range r.ordered {
		if keep(v) {
			r.scratch = append(r.scratch, v)
		}
	}
	return r.scratch
}

func (r *Router) usable(v *upstreamState, w Request) bool {
	return !v.load.Draining && !r.excludedUpstreams[v.load.Upstream] && !r.excludedZones[v.load.Zone] &&
		(w.Allowed == nil || slices.Contains(w.Allowed, v.load.Upstream))
}

// sample moves Options.Sample random candidates to the front and returns them.
func (r *Router) sample(candidates []*upstreamState) []*upstreamState {
	n := r.options.SampleSize
	if n == AllCandidates || n >= len(candidates) {
		return candidates
	}
	for i := range n {
		j := i + r.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// estimate returns the expected time until the request would be complete on v. The
// upstream shares its speed among its requests, so each of them delays this one by
// at most its own rest or by this one's cost, whichever is less.
func (r *Router) estimate(now clock.Time, v *upstreamState, w Request, mean expectedLoad) clock.Span {
	speed := float64(max(v.load.Throughput, 1))
	if v.load.Throughput == 0 {
		speed = float64(defaultSpeed)
	}
	hit := prefixBlock * units.Tokens(v.prefixes.match(w.PrefixHashes))
	cost := float64(max(w.Cost-hit, 0))
	others := v.expectedLoad(now, mean)
	tokens := others.requests*min(float64(w.Cost), others.tokensPerRequest()) + cost
	e := clock.Span(tokens / speed * float64(clock.Second))
	if w.Service == "" && !v.offers(w) {
		e += r.options.LoadTime
	}
	if v.load.Zone != r.options.Zone {
		e += r.options.CrossZoneDelay
	}
	return e
}

// mean of what other gateways have on an upstream; it replaces reports that are stale.
func (r *Router) mean() expectedLoad {
	var sum expectedLoad
	for _, v := range r.ordered {
		sum.requests += v.otherGateways.requests
		sum.backlog += v.otherGateways.backlog
	}
	n := float64(max(len(r.ordered), 1))
	return expectedLoad{sum.requests / n, sum.backlog / n}
}
