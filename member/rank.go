package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// Rank returns the gateways in the order of their weighted rendezvous hash for the key, best first.
// Gateways that know of the same others agree on the order, and a gateway that joins or leaves moves
// no other one. The weight is the processor share, so that small VMs rarely come first.
func Rank(gateways []Gateway, key string) []Gateway {
	scores := make(map[units.VMID]float64, len(gateways))
	for _, g := range gateways {
		scores[g.VM] = rendezvousScore(key, g)
	}
	out := slices.Clone(gateways)
	slices.SortFunc(out, func(a, b Gateway) int {
		return cmp.Or(cmp.Compare(scores[b.VM], scores[a.VM]), cmp.Compare(a.VM, b.VM))
	})
	return out
}

// Place returns how many of the gateways come before the one on the VM in the order of Rank for the
// key.
func Place(gateways []Gateway, vm units.VMID, key string) int {
	i := slices.IndexFunc(gateways, func(g Gateway) bool { return g.VM == vm })
	if i < 0 {
		return len(gateways)
	}
	own, n := rendezvousScore(key, gateways[i]), 0
	for _, g := range gateways {
		if score := rendezvousScore(key, g); score > own || (score == own && g.VM < vm) {
			n++
		}
	}
	return n
}

// minWeight is the weight of a gateway whose registration states no processor share.
const minWeight = 0.05

// rendezvousScore is the score of a gateway in weighted rendezvous hashing; the highest one wins.
func rendezvousScore(key string, g Gateway) float64 {
	h := xxhash.Sum64String(key + "\x00" + string(g.VM))
	// The hash as a number above 0 and below 1.
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -max(g.Cores, minWeight) / math.Log(uniform)
}

// RankStrongest is Rank for a task that needs processor time: gateways with less of it come after all
// that have more.
func RankStrongest(gateways []Gateway, key string) []Gateway {
	out := Rank(gateways, key)
	slices.SortStableFunc(out, func(a, b Gateway) int { return cmp.Compare(b.Cores, a.Cores) })
	return out
}

// Strongest returns the gateways with at least half of the processor share of the strongest one, or
// all if these are fewer than n.
func Strongest(gateways []Gateway, n int) []Gateway {
	most := 0.0
	for _, g := range gateways {
		most = max(most, g.Cores)
	}
	var out []Gateway
	for _, g := range gateways {
		if g.Cores >= most*strongShare {
			out = append(out, g)
		}
	}
	if len(out) < n {
		return gateways
	}
	return out
}

// strongShare is the part of the strongest gateway's processor share from which on a gateway counts as
// strong.
const strongShare = 0.5

// SpreadOverZones reorders ranked gateways so that the best ones of all availability zones come
// first, then the second ones, and so on. Within a zone the order is kept.
func SpreadOverZones(ranked []Gateway) []Gateway {
	turn := map[units.Zone]int{}
	turns := make(map[units.VMID]int, len(ranked))
	for _, g := range ranked {
		turns[g.VM] = turn[g.Zone]
		turn[g.Zone]++
	}
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b Gateway) int { return cmp.Compare(turns[a.VM], turns[b.VM]) })
	return out
}
