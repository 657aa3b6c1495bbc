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
	// ErrColdStartFull means that all usable upstreams that have the target are in cold start
	// and at their limit.
	ErrColdStartFull = errors.New("all usable upstreams are at their cold-start limit")
)

// LoadReport is an agent's report of the load and state of its upstream.
type LoadReport struct {
	Upstream units.UpstreamID
	Zone     units.Zone
	// Sequence increases with each report of one agent; HandleReport drops older reports.
	Sequence uint64
	Running  int
	Waiting  int
	// Backlog is the number of tokens that are reserved by requests and not yet generated.
	Backlog units.Tokens
	// Throughput is the measured rate over all requests, in tokens/s; 0 means not measured.
	Throughput units.Tokens
	Cold       bool
	// ColdStartLimit is the maximum number of concurrent requests in cold start; 0 means no
	// limit.
	ColdStartLimit int
	Draining       bool
	Resident       []units.ModelID
	Services       []units.ServiceID
}

// Request describes a request that needs an upstream.
type Request struct {
	Target units.ModelID
	// BaseModel is the base model if the target is an adapter, else empty.
	BaseModel units.ModelID
	// Service is set instead of Target for a plain service.
	Service units.ServiceID
	Cost    units.Tokens
	// PrefixHashes holds the hashes of the prompt prefixes that end at a block boundary, shortest
	// first; a block has 16 tokens.
	PrefixHashes []uint64
	// Allowed restricts the choice, for instance to upstreams that have not failed this
	// request; nil allows all.
	Allowed []units.UpstreamID
}

// Choice is the upstream chosen for one attempt.
type Choice struct {
	Upstream units.UpstreamID
	// Resident is true if the upstream has the target, so that no load is needed.
	Resident bool
	// Estimate is the expected time until the response is complete.
	Estimate clock.Span
}

// Options configure a Router. Zero values of SampleSize, CrossZoneDelay and LoadTime select
// the defaults.
type Options struct {
	// Zone is the availability zone of the gateway.
	Zone units.Zone
	// Seed makes the random choices reproducible.
	Seed uint64
	// SampleSize is the number of randomly drawn candidates that Pick compares; AllCandidates
	// compares all.
	SampleSize int
	// CrossZoneDelay is added to the estimate for an upstream in another availability zone.
	CrossZoneDelay clock.Span
	// LoadTime is the expected time to load a target that is not resident.
	LoadTime clock.Span
}

const (
	// DefaultSampleSize compares all candidates. With subsets of at most MaxSubset upstreams
	// and old reports discounted, this had a lower tail latency than two random candidates.
	DefaultSampleSize = AllCandidates
	// MaxSubset is the largest number of upstreams of one target that a gateway should
	// use. Larger subsets leave each gateway with older reports and cause herding.
	MaxSubset = 16
	// AllCandidates disables the sampling of candidates.
	AllCandidates = -1
	// DefaultCrossZoneDelay is a round-trip time between two availability zones.
	DefaultCrossZoneDelay = 3 * clock.Millisecond
	// DefaultLoadTime is the duration of one load from the weight store.
	DefaultLoadTime = 4 * clock.Second

	// reportLag is the age from which a request of this gateway counts as included in a
	// received report: two one-way delays between availability zones plus the agent's delay.
	reportLag = 5 * clock.Millisecond
	// reportTimeConstant is the age of a report at which the reported load of other gateways
	// has the weight 1/e; the mean over all upstreams has the remaining weight.
	reportTimeConstant = 200 * clock.Millisecond
	// tieTolerance is the difference below which two estimates count as equal. The random
	// choice between them keeps gateways with the same reports from picking the same upstream.
	tieTolerance = 2 * clock.Millisecond
	// defaultThroughput, in tokens/s, is assumed before the first measurement.
	defaultThroughput = units.Tokens(1000)
	// tokensPerBlock is the number of prompt tokens in one block of Request.PrefixHashes.
	tokensPerBlock = units.Tokens(16)
)

// Router holds one gateway's view of the upstreams.
type Router struct {
	options   Options
	random    *rand.Rand
	upstreams map[units.UpstreamID]*upstreamState
	// ordered lists the upstreams in the order of their first report, so that the choices
	// for a seed are reproducible.
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

// HandleReport applies a load report, unless a later one of the same agent was received
// before.
func (r *Router) HandleReport(now clock.Time, report LoadReport) {
	u, ok := r.upstreams[report.Upstream]
	if !ok {
		u = &upstreamState{prefixHints: newPrefixHints()}
		r.upstreams[report.Upstream] = u
		r.ordered = append(r.ordered, u)
	} else if report.Sequence <= u.report.Sequence {
		return
	}
	if !ok || !slices.Equal(report.Resident, u.report.Resident) {
		u.resident = setOf(report.Resident)
	}
	if !ok || !slices.Equal(report.Services, u.report.Services) {
		u.services = setOf(report.Services)
	}
	u.report = report
	u.receivedAt = now
	u.unreported = slices.DeleteFunc(u.unreported, func(o localRequest) bool { return now.Sub(o.startedAt) >= reportLag })
	reported := float64(report.Running + report.Waiting)
	u.otherGateways = expectedLoad{requests: max(0, reported-float64(u.inFlight-len(u.unreported)))}
	u.otherGateways.backlog = float64(report.Backlog) * u.otherGateways.requests / max(reported, 1)
}

// Remove drops an upstream whose session ended. The sequence of its reports starts anew with
// the next session.
func (r *Router) Remove(id units.UpstreamID) {
	u, ok := r.upstreams[id]
	if !ok {
		return
	}
	delete(r.upstreams, id)
	r.ordered = slices.DeleteFunc(r.ordered, func(o *upstreamState) bool { return o == u })
}

// SetExcluded replaces the availability zones and upstreams that Pick must not choose.
func (r *Router) SetExcluded(zones []units.Zone, upstreams []units.UpstreamID) {
	r.excludedZones = setOf(zones)
	r.excludedUpstreams = setOf(upstreams)
}

// Pick chooses the upstream with the shortest estimated time to completion. It returns
// ErrNoUpstream if no usable upstream has the target or can load it, and ErrColdStartFull if
// those that have it are at their cold-start limits.
func (r *Router) Pick(now clock.Time, req Request) (Choice, error) {
	candidates, err := r.candidates(req)
	if err != nil {
		return Choice{}, err
	}
	mean := r.meanOtherLoad()
	best, estimate := candidates[0], clock.Span(0)
	for i, u := range r.sample(candidates) {
		candidate := r.estimateSpan(now, u, req, mean)
		if i == 0 || candidate < estimate-tieTolerance || (candidate < estimate+tieTolerance && r.random.IntN(2) == 0) {
			best, estimate = u, candidate
		}
	}
	return Choice{Upstream: best.report.Upstream, Resident: best.hasTarget(req), Estimate: estimate}, nil
}

// RecordStart records that a request was sent to the upstream.
func (r *Router) RecordStart(now clock.Time, id units.UpstreamID, req Request) {
	u, ok := r.upstreams[id]
	if !ok {
		return
	}
	u.unreported = append(u.unreported, localRequest{startedAt: now, cost: req.Cost})
	u.inFlight++
	u.prefixHints.add(req.PrefixHashes)
}

// RecordEnd records the end of a request that RecordStart recorded. It must precede the
// HandleReport call for the report that came with the response.
func (r *Router) RecordEnd(id units.UpstreamID) {
	u, ok := r.upstreams[id]
	if !ok || u.inFlight == 0 {
		return
	}
	u.inFlight--
	// An ended request must not count against the cold-start limit, even within reportLag of
	// its start.
	if extra := len(u.unreported) - u.inFlight; extra > 0 {
		u.unreported = slices.Delete(u.unreported, 0, extra)
	}
}

// CorrectPrefixes drops the hashes of the request's prompt blocks that were not in the prefix
// cache of the upstream; cached is the number of prompt tokens that were.
func (r *Router) CorrectPrefixes(id units.UpstreamID, hashes []uint64, cached units.Tokens) {
	if u, ok := r.upstreams[id]; ok {
		u.prefixHints.removeAfter(hashes, int(cached/tokensPerBlock))
	}
}

// candidates returns the usable upstreams below their cold-start limit that have the target,
// or if no usable upstream has the target, those that can load it. The result is valid until
// the next call.
func (r *Router) candidates(req Request) ([]*upstreamState, error) {
	withTarget := r.filter(func(u *upstreamState) bool { return r.isUsable(u, req) && u.hasTarget(req) && u.underColdStartLimit() })
	if len(withTarget) > 0 {
		return withTarget, nil
	}
	full := slices.ContainsFunc(r.ordered, func(u *upstreamState) bool { return r.isUsable(u, req) && u.hasTarget(req) })
	if full {
		return nil, ErrColdStartFull
	}
	if req.Service != "" {
		return nil, ErrNoUpstream
	}
	loadable := r.filter(func(u *upstreamState) bool { return r.isUsable(u, req) && u.canLoad(req) && u.underColdStartLimit() })
	if len(loadable) == 0 {
		return nil, ErrNoUpstream
	}
	return loadable, nil
}

func (r *Router) filter(keep func(*upstreamState) bool) []*upstreamState {
	r.scratch = r.scratch[:0]
	for _, u := range r.ordered {
		if keep(u) {
			r.scratch = append(r.scratch, u)
		}
	}
	return r.scratch
}

func (r *Router) isUsable(u *upstreamState, req Request) bool {
	return !u.report.Draining && !r.excludedUpstreams[u.report.Upstream] && !r.excludedZones[u.report.Zone] &&
		(req.Allowed == nil || slices.Contains(req.Allowed, u.report.Upstream))
}

// sample moves Options.SampleSize randomly drawn candidates to the front and returns them.
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

// estimateSpan returns the expected time until the request would be complete on u. Requests
// on an upstream share its throughput equally, so that each other request delays this one by
// its own remaining tokens or by this request's cost, whichever is less.
func (r *Router) estimateSpan(now clock.Time, u *upstreamState, req Request, mean expectedLoad) clock.Span {
	throughput := float64(max(u.report.Throughput, 1))
	if u.report.Throughput == 0 {
		throughput = float64(defaultThroughput)
	}
	cachedTokens := tokensPerBlock * units.Tokens(u.prefixHints.match(req.PrefixHashes))
	cost := float64(max(req.Cost-cachedTokens, 0))
	others := u.expectedLoad(now, mean)
	tokens := others.requests*min(float64(req.Cost), others.meanBacklog()) + cost
	estimate := clock.Span(tokens / throughput * float64(clock.Second))
	if req.Service == "" && !u.hasTarget(req) {
		estimate += r.options.LoadTime
	}
	if u.report.Zone != r.options.Zone {
		estimate += r.options.CrossZoneDelay
	}
	return estimate
}

// meanOtherLoad returns the mean over all upstreams of the load from other gateways, which
// replaces the value of an upstream whose report is old.
func (r *Router) meanOtherLoad() expectedLoad {
	var sum expectedLoad
	for _, u := range r.ordered {
		sum.requests += u.otherGateways.requests
		sum.backlog += u.otherGateways.backlog
	}
	n := float64(max(len(r.ordered), 1))
	return expectedLoad{sum.requests / n, sum.backlog / n}
}
