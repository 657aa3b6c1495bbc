// Package bench measures placement policies in simulated time. It models request arrivals, replica
// throughput and load times; the network is a fixed delay.
package bench

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// Site is an installation of the system at its present size. Replicas, Models and Adapters are totals.
type Site struct {
	Name     string
	Zones    int
	Replicas int
	Models   int
	Adapters int
	Budget   place.Budget
	// Delay is the one-way network delay between a gateway and an agent in another zone.
	Delay clock.Span
}

// The two sites that the design covers.
var (
	SoudniMost = Site{
		Name: "Soudni Most", Zones: 3, Replicas: 9, Models: 20, Adapters: 40,
		Budget: place.Budget{Rate: 1.6, Concurrent: 6}, Delay: 2,
	}
	Council = Site{
		Name: "Council", Zones: 3, Replicas: 12, Models: 25, Adapters: 65,
		Budget: place.Budget{Rate: 1.8, Concurrent: 9}, Delay: 2,
	}
)

const (
	gigabyte = units.Bytes(1 << 30)
	// replicaBytes holds three or four models. Two of three zones have just enough memory for one copy
	// of each model and adapter.
	replicaBytes = 56 * gigabyte
	adapterBytes = gigabyte
	// replicaSpeed is in tokens per second.
	replicaSpeed = units.Tokens(2000)
	// acceleratorsPerReplica is the ratio expected of the fleet in two years: 5,200 accelerators
	// for 650 replicas.
	acceleratorsPerReplica = 8
	// modelLoad and adapterLoad are load times; unloadTime includes the drain.
	modelLoad   = 4 * clock.Second
	adapterLoad = clock.Second
	unloadTime  = 500 * clock.Millisecond
)

// targets returns the site's models, of 8 to 20 GiB each, followed by its adapters.
func (s *Site) targets() []place.Target {
	list := make([]place.Target, 0, s.Models+s.Adapters)
	for i := range s.Models {
		list = append(list, place.Target{ID: units.ModelID(fmt.Sprintf("m%02d", i)), Bytes: gigabyte * units.Bytes(8+4*(i%4))})
	}
	for i := range s.Adapters {
		base := units.ModelID(fmt.Sprintf("m%02d", i*7%s.Models))
		list = append(list, place.Target{ID: units.ModelID(fmt.Sprintf("x%02d", i)), Base: base, Bytes: adapterBytes})
	}
	return list
}

// MinLength is the shortest run whose zone outage is longer than the loads that it causes.
const MinLength = 5 * clock.Minute

// Options configures a run.
type Options struct {
	Site Site
	Seed uint64
	// Length is the simulated time. Surges, the flood and the zone outage scale with it.
	Length clock.Span
}

// outage returns the start and end of the outage of zone 0.
func (o *Options) outage() (from, to clock.Time) {
	return clock.Time(o.Length / 2), clock.Time(o.Length * 2 / 3)
}

// zoneDown reports whether the zone is down at the given time.
func (o *Options) zoneDown(zone int, at clock.Time) bool {
	from, to := o.outage()
	return zone == 0 && !at.Before(from) && at.Before(to)
}
