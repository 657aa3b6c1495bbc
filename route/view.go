package route

import (
	"math"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// upstreamState is what is known of one upstream.
type upstreamState struct {
	load     LoadReport
	received clock.Time
	// unreported lists requests of this gateway that no report includes yet.
	unreported []ownRequest
	// outstanding counts all requests of this gateway, with those reported.
	outstanding int
	// otherGateways is what the last report holds beyond the requests of this gateway.
	otherGateways expectedLoad
	resident      map[units.ModelID]bool
	services      map[units.ServiceID]bool
	prefixes      *prefixes
}

type ownRequest struct {
	started clock.Time
	cost    units.Tokens
}

func setOf[T comparable](list []T) map[T]bool {
	m := make(map[T]bool, len(list))
	for _, e := range list {
		m[e] = true
	}
	return m
}

// expectedLoad is the load that is expected on an upstream.
type expectedLoad struct {
	requests float64
	backlog  float64
}

// tokensPerRequest is the expected rest of one request.
func (e expectedLoad) tokensPerRequest() float64 { return e.backlog / max(e.requests, 1) }

// expectedLoad is the load of this gateway, which it knows, and that of the others, which
// moves from the report towards the mean as the report ages.
func (v *upstreamState) expectedLoad(now clock.Time, mean expectedLoad) expectedLoad {
	trust := math.Exp(-float64(now.Sub(v.received)) / float64(reportTimeConstant))
	rest := expectedLoad{
		requests: trust*v.otherGateways.requests + (1-trust)*mean.requests,
		backlog:  trust*v.otherGateways.backlog + (1-trust)*mean.backlog,
	}
	size := float64(v.load.Backlog) / float64(max(v.load.Running+v.load.Waiting, 1))
	reported := float64(v.outstanding - len(v.unreported))
	e := expectedLoad{rest.requests + float64(v.outstanding), rest.backlog + reported*size}
	for _, o := range v.unreported {
		e.backlog += float64(o.cost)
	}
	return e
}

func (v *upstreamState) offers(w Request) bool {
	if w.Service != "" {
		return v.services[w.Service]
	}
	return v.resident[w.Target]
}

// canLoad tells whether a load on demand is possible: an adapter needs its base
// model, a model any engine.
func (v *upstreamState) canLoad(w Request) bool {
	if len(v.services) > 0 {
		return false
	}
	return w.BaseModel == "" || v.resident[w.BaseModel]
}

// underColdStartLimit reports whether the cold-start limit leaves room.
func (v *upstreamState) underColdStartLimit() bool {
	return v.load.ColdStartLimit == 0 || v.load.Running+v.load.Waiting+len(v.unreported) < v.load.ColdStartLimit
}
