// Package scale decides how many replicas a service needs in each availability zone. It performs no I/O.
//
// It handles a jump of the load, a slow rise, a zone that leaves and returns, replicas that are taken away at short notice,
// replicas that start and are cold, and demand that moves between models. More replicas are wanted at once; fewer only
// after the load of a long time allows it, one after the other, and only if those left hold the load and the models.
package scale

import (
	"math"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// upUse is the use of the replicas, as a part of what they can do, above which more are wanted. What is left takes the
	// load of the time in which a replica starts. downUse is the use that those left may have after one is taken away; the
	// gap between both keeps the number from swinging.
	upUse   = 0.75
	downUse = 0.55
	// loadWindow and trendWindow are the time constants of the averages whose difference is the trend.
	loadWindow  = 3 * clock.Second
	trendWindow = 30 * clock.Second
	// maxTrendShare bounds what the trend adds to the load.
	maxTrendShare = 0.5
	// loadTolerance is the part of a replica by which the load may exceed a step without another replica.
	loadTolerance = 0.15
	// maxWait is how long requests may wait before the replicas count as weaker than their nominal capacity. waitPerReplica is
	// the number of waiting requests a replica from which on they wait for replicas and not for each other.
	maxWait        = 1500 * clock.Millisecond
	waitPerReplica = 0.5
	// maxStep is the part by which waiting requests raise the number of replicas at a time.
	maxStep = 0.5
	// minLowerDelay is the least time for which the load has to allow fewer replicas, lowerDelayBoots the same as a multiple of
	// the time that a replica takes to start.
	// downInterval is the least time between two replicas that are taken away.
	minLowerDelay   = 30 * clock.Second
	lowerDelayBoots = 3
	downInterval    = 5 * clock.Second
	// memoryShare is the part of the memory of the replicas left that models may take when one is taken away.
	memoryShare = 0.85
	// minStrength bounds the estimated strength of a replica, as a part of its nominal capacity.
	minStrength = 0.25
	// strengthWindow is the time constant with which the estimated strength returns to the nominal capacity.
	strengthWindow = 2 * clock.Minute
	// historyStep is the resolution of the highest loads of the past.
	historyStep = clock.Second
)

// Limits are those of one service.
type Limits struct {
	// Min and Max are the least and the largest number of replicas in a zone.
	Min, Max int
	// Boot is how long a replica takes to start.
	Boot clock.Span
}

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name units.Zone
	// Excluded zones get no requests.
	Excluded bool
	// Present replicas are described and don't leave; Cold ones of them take little load yet. Leaving ones finish their
	// requests.
	Present, Cold, Leaving int
	// Ordered is the number of replicas that was ordered last; 0 if that is not known.
	Ordered int
}

// Input is the state of a service.
type Input struct {
	Limits
	Zones []Zone
	// Load is the work that callers ask for, served or not, in replicas of nominal capacity.
	Load float64
	// Waiting is the number of requests that wait for a replica which holds what they ask for.
	Waiting int
	// ModelMegabytes is the size of all models that are loaded, each counted once, ReplicaMegabytes the memory of a
	// replica; 0 for services without models.
	ModelMegabytes, ReplicaMegabytes float64
}

// Planner decides for one service. It is not safe for concurrent use.
type Planner struct {
	// load and trend are averages of the load, as of updatedAt; 0 is never.
	load, trend float64
	updatedAt   clock.Time
	// strength is what a replica can do, as a part of its nominal capacity.
	strength float64
	// waitingSince is when requests began to wait; 0 if none do.
	waitingSince clock.Time
	// peaks are the highest needs of the last steps of time, oldest first.
	peaks []peak
	// total is the number of replicas that was wanted last; 0 before the first plan. loweredAt is when it fell last.
	total     int
	loweredAt clock.Time
}

// peak is the highest number of replicas that was needed in a step of time, for taking one away.
type peak struct {
	at   clock.Time
	need int
}

// NewPlanner returns a Planner that knows nothing of the past.
func NewPlanner() *Planner { return &Planner{strength: 1} }

// Plan returns the number of replicas that each zone should have. Zones may be missing if there is no reason to change
// what they have.
func (p *Planner) Plan(now clock.Time, in Input) map[units.Zone]int {
	usable := usableZones(in.Zones)
	if len(usable) == 0 {
		return nil
	}
	p.observe(now, &in, usable)
	if p.total == 0 {
		p.total = ordered(usable)
	}
	least, most := in.Min*len(usable), max(in.Max, in.Min)*len(usable)
	up, down := p.need(&in, upUse), p.need(&in, downUse)
	p.recordPeak(now, down, p.lowerDelay(&in))
	switch {
	case up > p.total:
		p.total = up
	case p.mayLower(now, &in):
		p.total--
		p.loweredAt = now
	}
	p.total = min(max(p.total, least), most)
	return spread(p.total, &in, usable)
}

// usableZones returns the zones that get requests.
func usableZones(zones []Zone) []Zone {
	return slices.DeleteFunc(slices.Clone(zones), func(z Zone) bool { return z.Excluded })
}

// Expected returns how many replicas a zone has or will have without another order.
func (z *Zone) Expected() int {
	if z.Ordered > 0 {
		return z.Ordered
	}
	return z.Present
}

func ordered(zones []Zone) int {
	n := 0
	for _, z := range zones {
		n += z.Expected()
	}
	return n
}

// observe updates the averages and the strength of the replicas.
func (p *Planner) observe(now clock.Time, in *Input, usable []Zone) {
	span := float64(0)
	if p.updatedAt == 0 {
		p.load, p.trend = in.Load, in.Load
	} else {
		span = float64(now.Sub(p.updatedAt))
	}
	p.updatedAt = now
	p.load += (in.Load - p.load) * (1 - math.Exp(-span/float64(loadWindow)))
	p.trend += (in.Load - p.trend) * (1 - math.Exp(-span/float64(trendWindow)))
	p.strength += (1 - p.strength) * (1 - math.Exp(-span/float64(strengthWindow)))
	present, cold := 0, 0
	for _, z := range usable {
		present += z.Present
		cold += z.Cold
	}
	if present == 0 || float64(in.Waiting) < max(1, waitPerReplica*float64(present)) {
		p.waitingSince = 0
		return
	}
	if p.waitingSince == 0 {
		p.waitingSince = now
	}
	coming := cold > 0 || p.total > present
	if now.Sub(p.waitingSince) < maxWait || coming {
		return
	}
	// All replicas work and requests wait: they can do no more than this. The load includes what waits, so that the step
	// is bounded.
	step := min(float64(in.Waiting)/float64(present), maxStep) + 1
	p.strength = max(min(p.strength, p.load/(upUse*float64(present)*step)), minStrength)
	p.waitingSince = now
}

// need returns the number of replicas of which the load that is expected when another one has started uses the part use.
func (p *Planner) need(in *Input, use float64) int {
	load := max(p.load, in.Load*0.5)
	if rise := p.load - p.trend; rise > p.trend*loadTolerance {
		perMs := rise / float64(trendWindow-loadWindow)
		load += min(perMs*float64(in.Boot), load*maxTrendShare)
	}
	return max(int(math.Ceil(load/(use*p.strength)-loadTolerance)), 1)
}

// lowerDelay returns the time for which the load has to allow fewer replicas.
func (p *Planner) lowerDelay(in *Input) clock.Span {
	return max(minLowerDelay, lowerDelayBoots*in.Boot)
}

// recordPeak records the number of replicas that is needed now.
func (p *Planner) recordPeak(now clock.Time, need int, keep clock.Span) {
	p.peaks = slices.DeleteFunc(p.peaks, func(k peak) bool { return now.Sub(k.at) > keep })
	if n := len(p.peaks); n > 0 && now.Sub(p.peaks[n-1].at) < historyStep {
		p.peaks[n-1].need = max(p.peaks[n-1].need, need)
		return
	}
	p.peaks = append(p.peaks, peak{now, need})
}

// mayLower reports whether one replica less can take the highest load within lowerDelay, and has memory for the models.
func (p *Planner) mayLower(now clock.Time, in *Input) bool {
	delay := p.lowerDelay(in)
	if len(p.peaks) == 0 || now.Sub(p.peaks[0].at) < delay-historyStep || in.Waiting > 0 {
		return false
	}
	if p.loweredAt != 0 && now.Sub(p.loweredAt) < downInterval {
		return false
	}
	left := p.total - 1
	if slices.ContainsFunc(p.peaks, func(k peak) bool { return k.need > left }) {
		return false
	}
	return in.ReplicaMegabytes <= 0 || in.ModelMegabytes <= float64(left)*in.ReplicaMegabytes*memoryShare
}

// spread divides the replicas among the zones: evenly, the remainder where there are most now, so that none moves without
// need. Replicas that leave without having been ordered to are replaced while they still run. Zones that get no requests
// keep the least number.
func spread(total int, in *Input, usable []Zone) map[units.Zone]int {
	out := map[units.Zone]int{}
	for _, z := range in.Zones {
		out[z.Name] = in.Min
	}
	left := total - in.Min*len(usable)
	order := slices.Clone(usable)
	slices.SortStableFunc(order, func(a, b Zone) int { return b.Expected() - a.Expected() })
	for left > 0 {
		given := false
		for _, z := range order {
			if left > 0 && out[z.Name] < max(in.Max, in.Min) {
				out[z.Name]++
				left--
				given = true
			}
		}
		if !given {
			break
		}
	}
	starting := slices.ContainsFunc(usable, func(z Zone) bool { return z.Present-z.Cold < out[z.Name] })
	for _, z := range usable {
		n := out[z.Name] + z.withdrawn()
		if starting {
			// Replicas move to another zone once those there can take the load.
			n = max(n, z.Expected())
		}
		out[z.Name] = min(n, max(in.Max, in.Min))
	}
	return out
}

// withdrawn returns how many of the leaving replicas the platform has taken away without an order for fewer.
func (z *Zone) withdrawn() int {
	if z.Ordered == 0 {
		return z.Leaving
	}
	return min(max(z.Leaving-max(z.Present+z.Leaving-z.Ordered, 0), 0), z.Leaving)
}
