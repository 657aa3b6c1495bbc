// Package bench measures the decisions on placement in simulated time: arrivals, the
// capacity of upstreams and the time of loads, without a network beyond a fixed delay.
package bench

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// Site is a place where the system runs, in today's size.
type Site struct {
	Name     string
	Zones    int
	Replicas int
	Models   int
	Adapters int
	Budget   place.Budget
	// Delay is the time from a gateway to an agent in another zone.
	Delay clock.Span
}

// The two sites of the design page.
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
	// replicaBytes holds three or four models. The models and adapters fit once into
	// two of three zones, with little to spare.
	replicaBytes = 56 * gigabyte
	adapterBytes = gigabyte
	// replicaSpeed is in tokens a second.
	replicaSpeed = units.Tokens(2000)
	// acceleratorsPerReplica is that of the fleet in two years: 5,200 for 650.
	acceleratorsPerReplica = 8
	// modelLoad and adapterLoad are the times of a load; unloadTime covers the drain.
	modelLoad   = 4 * clock.Second
	adapterLoad = clock.Second
	unloadTime  = 500 * clock.Millisecond
)

// targets returns the models, of 8 to 20 GB, and adapters of the site.
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

// MinLength is the shortest run in which the absence of a zone is longer than the
// loads that it causes.
const MinLength = 5 * clock.Minute

// Options configure a run.
type Options struct {
	Site Site
	Seed uint64
	// Length is the simulated time; the events below scale with it.
	Length clock.Span
}

// absence returns when the first zone is out.
func (o *Options) absence() (from, to clock.Time) {
	return clock.Time(o.Length / 2), clock.Time(o.Length * 2 / 3)
}

// out reports whether the zone is out at the time.
func (o *Options) out(zone int, at clock.Time) bool {
	from, to := o.absence()
	return zone == 0 && !at.Before(from) && at.Before(to)
}
