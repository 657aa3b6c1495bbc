package route

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// upstreamState is the last report of one upstream and the requests sent to it since.
type upstreamState struct {
	report     LoadReport
	receivedAt clock.Time
	// unreported lists the requests of this gateway that the last report doesn't include yet,
	// oldest first.
	unreported []localRequest
	// inFlight counts all requests of this gateway, whether reported or not.
	inFlight int
	// otherGateways is the load in the last report without the requests of this gateway.
	otherGateways expectedLoad
	resident      map[units.ModelID]bool
	services      map[units.ServiceID]bool
	prefixHints   *prefixHints
}

// localRequest is a request that this gateway sent to the upstream.
type localRequest struct {
	startedAt clock.Time
	cost      units.Tokens
}

func setOf[T comparable](elements []T) map[T]bool {
	m := make(map[T]bool, len(elements))
	for _, e := range elements {
		m[e] = true
	}
	return m
}

// expectedLoad is an estimate of the load on an upstream; backlog is in tokens.
type expectedLoad struct {
	requests float64
	backlog  float64
}

// meanBacklog is the mean number of tokens that one request still has to generate.
func (e expectedLoad) meanBacklog() float64 { return e.backlog / max(e.requests, 1) }

// expectedLoad estimates the present load. The load of this gateway is known; that of the
// other gateways moves from the reported value towards the mean over all upstreams as the
// report ages.
func (u *upstreamState) expectedLoad(now clock.Time, mean expectedLoad) expectedLoad {
	reportWeight := math.Exp(-float64(now.Sub(u.receivedAt)) / float64(reportTimeConstant))
	others := expectedLoad{
		requests: reportWeight*u.otherGateways.requests + (1-reportWeight)*mean.requests,
		backlog:  reportWeight*u.otherGateways.backlog + (1-reportWeight)*mean.backlog,
	}
	meanBacklog := float64(u.report.Backlog) / float64(max(u.report.Running+u.report.Waiting, 1))
	reported := float64(u.inFlight - len(u.unreported))
	total := expectedLoad{others.requests + float64(u.inFlight), others.backlog + reported*meanBacklog}
	for _, o := range u.unreported {
		total.backlog += float64(o.cost)
	}
	return total
}

// hasTarget reports whether the service runs on the upstream, or the model or adapter is
// loaded there.
func (u *upstreamState) hasTarget(req Request) bool {
	if req.Service != "" {
		return u.services[req.Service]
	}
	return u.resident[req.Target]
}

// canLoad reports whether the target can be loaded on demand: an adapter needs its base
// model on the upstream, a model needs an engine. Upstreams of plain services load nothing.
func (u *upstreamState) canLoad(req Request) bool {
	if len(u.services) > 0 {
		return false
	}
	return req.BaseModel == "" || u.resident[req.BaseModel]
}

// underColdStartLimit reports whether the cold-start limit allows one more request.
func (u *upstreamState) underColdStartLimit() bool {
	return u.report.ColdStartLimit == 0 || u.report.Running+u.report.Waiting+len(u.unreported) < u.report.ColdStartLimit
}
