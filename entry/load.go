package entry

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/gauge"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// hashUpstream returns the hash that stands for an upstream in digests.
func hashUpstream(id units.UpstreamID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) & math.MaxUint32)
}

// encodeLoad encodes a load for a digest.
func encodeLoad(l sched.Load) *wire.UpstreamShare {
	return &wire.UpstreamShare{
		Upstream: hashUpstream(l.Upstream), Running: int32(l.Running), Tokens: int64(l.Tokens), Backlog: int64(l.Backlog),
		Wanted:  int32(l.WantedRate),
		Stretch: hundredfold(l.Stretch.Ratio), Observations: hundredfold(l.Stretch.Weight),
	}
}

// decodeLoad decodes a load of another gateway's digest, without the upstream.
func decodeLoad(u *wire.UpstreamShare) sched.Load {
	return sched.Load{
		Running: int(u.GetRunning()), Tokens: units.Tokens(u.GetTokens()), Backlog: units.Tokens(u.GetBacklog()),
		Gateways: min(int(u.GetRunning()), 1), WantedRate: float64(u.GetWanted()),
		Stretch: gauge.Stretch{Ratio: hundredth(u.GetStretch()), Weight: hundredth(u.GetObservations())},
	}
}

// digestScale is what small figures are multiplied by in digests.
const digestScale = 100

func hundredfold(v float64) int32 { return int32(min(v*digestScale, math.MaxInt32)) }

func hundredth(v int32) float64 { return float64(max(v, 0)) / digestScale }
