package entry

import (
	"cmp"
	"context"
	"slices"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/assign"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/scale"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// scaleInterval is the interval between two decisions about the number of replicas.
	scaleInterval = 500 * clock.Millisecond
	// scaleBoots is the time after an order, in times of a start, after which it is repeated if replicas are missing.
	scaleBoots = 3
)

// scaleOrder orders the number of replicas of a service in a zone.
type scaleOrder struct {
	service  units.ServiceID
	zone     units.Zone
	replicas int
}

func sameScaleOrder(a, b scaleOrder) bool { return a == b }

// subject returns the subject of the order.
func (o scaleOrder) subject() duty.Subject {
	return duty.Subject("scaling " + string(o.service) + " " + string(o.zone))
}

// scaleOrdered is the result of a scaling order.
type scaleOrdered struct {
	call duty.Call[scaleOrder]
	took clock.Span
	err  error
}

// carriedOut is an order that the platform has accepted.
type carriedOut struct {
	scaleOrder
	at clock.Time
}

// scaleManager decides how many replicas services have while this gateway is the leader. Its methods are called from the
// control loop only.
type scaleManager struct {
	*dutyManager
	calls    *duty.Calls[scaleOrder]
	planners map[units.ServiceID]*scale.Planner
	// ordered are the last orders that were carried out under the epoch, invalid the subjects that the platform doesn't know.
	ordered map[duty.Subject]carriedOut
	invalid map[duty.Subject]bool
	epoch   units.Epoch
	// config is the version of the configuration for which invalid holds.
	config    int64
	plannedAt clock.Time
}

func newScaleManager(d *dutyManager, pacer *duty.Pacer) *scaleManager {
	return &scaleManager{
		dutyManager: d, calls: duty.NewCalls(d.holder, pacer, sameScaleOrder), planners: map[units.ServiceID]*scale.Planner{},
		ordered: map[duty.Subject]carriedOut{}, invalid: map[duty.Subject]bool{},
	}
}

// onTick decides, if this gateway is the leader, and sends the order that is due first.
func (s *scaleManager) onTick(now clock.Time) {
	epoch, ok := s.controller.orders.elector.OrderEpoch(now)
	if !ok || s.controller.snapshot.Config == nil {
		return
	}
	if epoch != s.epoch {
		// What was known of the load is old.
		s.epoch = epoch
		clear(s.planners)
		clear(s.ordered)
		clear(s.invalid)
	}
	if v := s.controller.configVersion(); v != s.config {
		s.config = v
		clear(s.invalid)
	}
	if now.Sub(s.plannedAt) >= scaleInterval {
		s.plannedAt = now
		s.plan(now)
	}
	call, ok := s.calls.Next(now)
	if !ok {
		return
	}
	s.gateway.startCall(func(ctx context.Context) {
		begun := s.gateway.clock.Now()
		o := call.Content
		err := s.client.Scale(ctx, call.Proof, o.service, o.zone, o.replicas)
		s.gateway.post(scaleOrdered{call, s.gateway.clock.Now().Sub(begun), err})
	})
}

// plan decides for all services.
func (s *scaleManager) plan(now clock.Time) {
	demand, running, waiting := s.controller.totalDemand(now), s.controller.requestsInFlight(), s.waiting()
	for id, service := range s.controller.snapshot.Config.Services() {
		if service.Scaling == nil {
			continue
		}
		p, ok := s.planners[id]
		if !ok {
			p = scale.NewPlanner()
			s.planners[id] = p
		}
		in := s.input(now, service, demand, running)
		in.Waiting = waiting[id]
		want := p.Plan(now, in)
		for _, z := range in.Zones {
			if n, ok := want[z.Name]; ok {
				s.require(now, scaleOrder{id, z.Name, n}, z, in.Boot)
			}
		}
	}
}

// require makes an order due, unless the zone has the replicas or they were ordered and are still starting.
func (s *scaleManager) require(now clock.Time, o scaleOrder, z scale.Zone, boot clock.Span) {
	subject := o.subject()
	if s.invalid[subject] {
		return
	}
	last := s.ordered[subject]
	missing := z.Present < o.replicas && last.at != 0 && now.Sub(last.at) >= scaleBoots*max(boot, clock.Second)
	if o.replicas == z.Expected() && !missing && !s.calls.Pending(now, subject) {
		s.calls.Withdraw(subject)
		return
	}
	s.calls.Require(subject, o, now)
}

// waiting returns the requests that wait at all gateways, by service.
func (s *scaleManager) waiting() map[units.ServiceID]int {
	sum := s.gateway.relay.Waiting()
	for _, d := range s.gateway.peers.FreshDigests() {
		for _, w := range d.GetWaits() {
			sum[units.ServiceID(w.GetService())] += int(w.GetRequests())
		}
	}
	return sum
}

// input returns the state of a service. The work that callers ask for counts, or the requests that run if these fill the
// replicas more.
func (s *scaleManager) input(
	now clock.Time, service *fleet.Service, demand map[assign.Target]assign.Demand, running map[units.UpstreamID]int,
) scale.Input {
	in := scale.Input{Limits: scale.Limits{Min: service.Scaling.Min, Max: service.Scaling.Max, Boot: service.Scaling.Boot}}
	zones := map[units.Zone]*scale.Zone{}
	models := map[units.ModelID]bool{}
	filled, work := 0.0, 0.0
	for id, e := range s.controller.snapshot.Upstreams {
		if e.Service != service.Name || e.IsGone(now) {
			continue
		}
		z, ok := zones[e.Zone]
		if !ok {
			z = &scale.Zone{Name: e.Zone, Excluded: s.controller.snapshot.ExcludedZones[e.Zone]}
			zones[e.Zone] = z
		}
		filled += float64(running[id]) / float64(max(e.Slots, 1))
		if e.Draining || s.gateway.relay.Leaving(e.Upstream) {
			z.Leaving++
			continue
		}
		z.Present++
		if e.IsCold(now) {
			z.Cold++
		}
		for _, m := range e.Models {
			models[m.Model] = true
		}
	}
	for t, n := range demand {
		if t.Service == service.Name {
			work += n.WorkRate / assign.EngineCapacity
		}
	}
	in.Load = max(filled, work)
	if service.Engine != nil {
		in.ReplicaMegabytes = service.Engine.MemoryMegabytes
		for name := range models {
			m, _ := service.Engine.Model(name)
			in.ModelMegabytes += m.WeightMegabytes
		}
	}
	for _, last := range s.ordered {
		// A zone whose first replicas are starting has none that are described.
		if last.service == service.Name && zones[last.zone] == nil && now.Sub(last.at) < scaleBoots*max(in.Boot, clock.Second) {
			zones[last.zone] = &scale.Zone{Name: last.zone, Excluded: s.controller.snapshot.ExcludedZones[last.zone]}
		}
	}
	for _, z := range zones {
		z.Ordered = s.ordered[scaleOrder{service: service.Name, zone: z.Name}.subject()].replicas
		in.Zones = append(in.Zones, *z)
	}
	slices.SortFunc(in.Zones, func(a, b scale.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return in
}

// handleOrdered records how an order ended.
func (s *scaleManager) handleOrdered(now clock.Time, m scaleOrdered) {
	o := s.recordOutcome(now, m.call.Proof, m.took, m.call.Repeated, m.err)
	klog.InfoS("entry: replicas", "service", m.call.Content.service, "zone", m.call.Content.zone, "replicas", m.call.Content.replicas,
		"epoch", m.call.Epoch, "outcome", o)
	switch {
	case m.call.Epoch != s.epoch:
		// Another leader may have ordered something else since.
	case o == duty.Acknowledged:
		s.ordered[m.call.Subject] = carriedOut{m.call.Content, now}
	case o == duty.Invalid:
		s.invalid[m.call.Subject] = true
	}
	s.calls.Record(now, m.call, o)
}

// encodeWaits returns the requests that wait at this gateway, for the digest to the leader; nil if it doesn't need them.
func (d *dutyManager) encodeWaits() []*wire.ServiceWait {
	if d.scale == nil {
		return nil
	}
	var out []*wire.ServiceWait
	for id, n := range d.gateway.relay.Waiting() {
		out = append(out, &wire.ServiceWait{Service: string(id), Requests: int32(n)})
	}
	return out
}
