package assign

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Target identifies a model of a service, or an adapter of that model if Adapter is set.
type Target struct {
	Service units.ServiceID
	Model   units.ModelID
	Adapter string
}

// Demand is the demand for a model or adapter.
type Demand struct {
	// WorkRate is the rate of requested work, in prompt tokens/s.
	WorkRate float64
	// Misses counts the recent requests for the target that no upstream could serve.
	Misses int
	// RefusedRate is the part of WorkRate that was refused because no upstream could start it in time.
	RefusedRate float64
	// WaitingWork is the work of the requests that wait for too long, in prompt tokens.
	WaitingWork float64
	// Zones are the parts of WorkRate by the zone of the gateways that were asked.
	Zones []ZoneWork
}

// ZoneWork is the rate of work that is requested in a zone, in prompt tokens/s.
type ZoneWork struct {
	Zone     units.Zone
	WorkRate float64
}

// waitingTime is the time within which work that waits for too long should start. Callers of streams expect the first
// token after about that time.
const waitingTime = clock.Second

// Add returns the sum of the demand and that of a gateway in a zone.
func (d Demand) Add(zone units.Zone, other Demand) Demand {
	d.WorkRate += other.WorkRate
	d.Misses += other.Misses
	d.RefusedRate += other.RefusedRate
	d.WaitingWork += other.WaitingWork
	d.Zones = addZone(d.Zones, zone, other.WorkRate)
	return d
}

// addZone adds work of a zone to the list.
func addZone(zones []ZoneWork, zone units.Zone, workRate float64) []ZoneWork {
	i := slices.IndexFunc(zones, func(z ZoneWork) bool { return z.Zone == zone })
	if i < 0 {
		return append(zones, ZoneWork{zone, workRate})
	}
	zones[i].WorkRate += workRate
	return zones
}

// shortage returns the rate of work, in prompt tokens/s, that the upstreams lack capacity for by what callers see: it is
// refused, or waits for too long.
func (d *Demand) shortage() float64 { return d.RefusedRate + d.WaitingWork/waitingTime.Seconds() }

// requested reports whether there are requests for the target.
func (d *Demand) requested() bool { return d.WorkRate > 1 || d.Misses > 0 || d.RefusedRate > 1 }

// merge adds all parts of another demand for the same model.
func (d *Demand) merge(other *Demand) {
	d.WorkRate += other.WorkRate
	d.Misses += other.Misses
	d.RefusedRate += other.RefusedRate
	d.WaitingWork += other.WaitingWork
	for _, z := range other.Zones {
		d.Zones = addZone(d.Zones, z.Zone, z.WorkRate)
	}
}

// zoneShare returns the part of the work that is requested in the zone.
func (d *Demand) zoneShare(zone units.Zone) float64 {
	total, part := 0.0, 0.0
	for _, z := range d.Zones {
		total += z.WorkRate
		if z.Zone == zone {
			part += z.WorkRate
		}
	}
	if total <= 0 {
		return 0
	}
	return part / total
}
