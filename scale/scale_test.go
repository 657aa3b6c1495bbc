package scale_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/scale"
	"github.com/magnolialever/magnolialever/units"
)

const (
	boot     = 8 * clock.Second
	coldTime = 4 * clock.Second
	// coldPart is what a cold replica can do.
	coldPart = 0.3
	// drainTime is how long a replica that is taken away still runs.
	drainTime = 5 * clock.Second
	tick      = 500 * clock.Millisecond
	// requestWork is the work of one request, in seconds of a replica.
	requestWork = 0.1
	// patience is how long callers wait, in seconds.
	patience = 2.0
)

// replica is a replica of the simulated service.
type replica struct {
	readyAt, leavesAt, goneAt clock.Time
}

// service is a simulated service.
type service struct {
	now      clock.Time
	planner  *scale.Planner
	zones    []units.Zone
	excluded map[units.Zone]bool
	replicas map[units.Zone][]*replica
	ordered  map[units.Zone]int
	// strength is what a replica can really do. hidden is the part of the load for models that are not loaded anywhere.
	strength, hidden float64
	models           float64
	// backlog is the work that waits, lost what callers gave up, asked all work, used the time of all replicas, in seconds.
	backlog, lost, asked, used float64
	// turns is how often the number of replicas went from rising to falling or back; last is the direction.
	turns, last, total int
}

func newService(perZone int, zones ...units.Zone) *service {
	s := &service{
		now: 1000, planner: scale.NewPlanner(), zones: zones, excluded: map[units.Zone]bool{}, replicas: map[units.Zone][]*replica{},
		ordered: map[units.Zone]int{}, strength: 1,
	}
	for _, z := range zones {
		for range perZone {
			s.replicas[z] = append(s.replicas[z], &replica{})
		}
		s.ordered[z] = perZone
	}
	return s
}

// serve passes one tick with the load.
func (s *service) serve(load float64) {
	s.now = s.now.Add(tick)
	capacity := 0.0
	for z, all := range s.replicas {
		var left []*replica
		for _, r := range all {
			if r.goneAt != 0 && !s.now.Before(r.goneAt) {
				continue
			}
			left = append(left, r)
			s.used += tick.Seconds()
			if s.excluded[z] || r.leavesAt != 0 || s.now.Before(r.readyAt) {
				continue
			}
			part := s.strength
			if s.now.Before(r.readyAt.Add(coldTime)) && r.readyAt != 0 {
				part *= coldPart
			}
			capacity += part
		}
		s.replicas[z] = left
	}
	s.asked += load * tick.Seconds()
	s.backlog = max(s.backlog+(load*(1-s.hidden)-capacity)*tick.Seconds(), 0)
	if given := s.backlog - capacity*patience; given > 0 {
		s.lost += given
		s.backlog -= given
	}
}

// input returns what the leader knows.
func (s *service) input(load float64) scale.Input {
	in := scale.Input{Limits: scale.Limits{Min: 1, Max: 12, Boot: boot}, Load: load, Waiting: int(s.backlog / requestWork), ModelMegabytes: s.models}
	if s.models > 0 {
		in.ReplicaMegabytes = 100
	}
	for _, name := range s.zones {
		z := scale.Zone{Name: name, Excluded: s.excluded[name], Ordered: s.ordered[name]}
		for _, r := range s.replicas[name] {
			switch {
			case s.now.Before(r.readyAt):
			case r.leavesAt != 0:
				z.Leaving++
			default:
				z.Present++
				if r.readyAt != 0 && s.now.Before(r.readyAt.Add(coldTime)) {
					z.Cold++
				}
			}
		}
		in.Zones = append(in.Zones, z)
	}
	return in
}

// order starts replicas or takes them away, the newest first.
func (s *service) order(want map[units.Zone]int) {
	total := 0
	for z, n := range want {
		s.ordered[z] = n
		total += n
		running := 0
		for _, r := range s.replicas[z] {
			if r.leavesAt == 0 {
				running++
			}
		}
		for ; running < n; running++ {
			s.replicas[z] = append(s.replicas[z], &replica{readyAt: s.now.Add(boot)})
		}
		for i := len(s.replicas[z]) - 1; i >= 0 && running > n; i-- {
			if r := s.replicas[z][i]; r.leavesAt == 0 {
				r.leavesAt, r.goneAt = s.now, s.now.Add(drainTime)
				running--
			}
		}
	}
	direction := total - s.total
	if s.total != 0 && direction != 0 {
		if s.last != 0 && (direction > 0) != (s.last > 0) {
			s.turns++
		}
		s.last = direction
	}
	s.total = total
}

// run plays a load for a time in seconds.
func (s *service) run(seconds float64, load func(t float64) float64) {
	begin := s.now
	for t := 0.0; t < seconds; t = s.now.Sub(begin).Seconds() {
		v := load(t)
		s.serve(v)
		s.order(s.planner.Plan(s.now, s.input(v)))
	}
}

func steady(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// checkLost fails the test if callers gave up more than a part of all work.
func (s *service) checkLost(t *testing.T, part float64) {
	t.Helper()
	assert.Assert(t, s.lost <= part*s.asked, "%.1f of %.1f lost", s.lost, s.asked)
}

// Guards against replicas that come and go under a load that only varies around its mean.
func TestSteadyLoadChangesNothing(t *testing.T) {
	s := newService(2, "a", "b", "c")
	s.run(300, func(t float64) float64 { return 4 + 0.4*math.Sin(t) + 0.3*math.Sin(t*2.7) })
	s.checkLost(t, 0)
	assert.Assert(t, s.turns == 0, "%d turns", s.turns)
	assert.Assert(t, s.total >= 5 && s.total <= 7, "%d replicas", s.total)
}

// Load: a jump to three times within a second. Guards against replicas that come late or one by one, and against those
// that stay when it is over.
func TestJump(t *testing.T) {
	s := newService(2, "a", "b", "c")
	s.run(30, steady(3))
	begin := s.used
	s.run(60, steady(9))
	// During the start of replicas nothing can be done about 4 of 9 parts.
	assert.Assert(t, s.lost < 9*(boot+coldTime).Seconds()*0.6, "%.1f lost", s.lost)
	assert.Assert(t, s.used-begin < 60*9/0.75*1.3, "%.0f replica-seconds", s.used-begin)
	lost := s.lost
	s.run(60, steady(9))
	assert.Equal(t, s.lost, lost)
	s.run(240, steady(3))
	assert.Assert(t, s.total <= 6, "%d replicas", s.total)
	assert.Equal(t, s.turns, 1)
	assert.Equal(t, s.lost, lost)
}

// Load: a slow rise by one replica in 20 s. Guards against replicas that start only when callers wait already.
func TestSlowRise(t *testing.T) {
	s := newService(1, "a", "b", "c")
	s.run(200, func(t float64) float64 { return 1.5 + t/20 })
	s.checkLost(t, 0)
	assert.Equal(t, s.turns, 0)
	assert.Assert(t, s.used < s.asked/0.75*1.4, "%.0f replica-seconds for %.0f", s.used, s.asked)
}

// Load: a zone leaves and returns. Guards against others that don't take over, and against replicas that move back before
// those in the zone have started.
func TestZoneLeavesAndReturns(t *testing.T) {
	s := newService(3, "a", "b", "c")
	s.run(30, steady(6))
	s.excluded["b"] = true
	s.run(20, steady(6))
	s.run(60, steady(6))
	assert.Assert(t, s.ordered["a"]+s.ordered["c"] >= 8, "%v", s.ordered)
	lost := s.lost
	assert.Assert(t, lost < 6*boot.Seconds(), "%.1f lost", lost)
	s.excluded["b"] = false
	s.run(200, steady(6))
	assert.Equal(t, s.lost, lost, "lost as the zone returned")
	assert.Assert(t, s.ordered["b"] >= 2, "%v", s.ordered)
}

// Load: replicas are taken away at short notice. Guards against replacements that are ordered only when they are gone.
func TestReplicasTakenAwayAreReplaced(t *testing.T) {
	s := newService(3, "a", "b", "c")
	s.run(60, steady(6))
	for _, z := range []units.Zone{"a", "b"} {
		s.replicas[z][0].leavesAt, s.replicas[z][0].goneAt = s.now, s.now.Add(15*clock.Second)
	}
	s.run(1, steady(6))
	assert.Equal(t, s.ordered["a"], 4)
	assert.Equal(t, s.ordered["b"], 4)
	s.run(60, steady(6))
	s.checkLost(t, 0)
	assert.Equal(t, s.total, 9)
}

// Load: replicas that start and are cold, and do less than they should. Guards against ever more orders while some are
// still starting, and against waiting that never ends as replicas are weaker than thought.
func TestColdAndWeakReplicas(t *testing.T) {
	s := newService(2, "a", "b", "c")
	s.strength = 0.5
	s.run(120, steady(4))
	lost := s.lost
	s.run(60, steady(4))
	assert.Equal(t, s.lost, lost, "still lost after two minutes with %d replicas", s.total)
	assert.Assert(t, s.total <= 14, "%d replicas for 8", s.total)
}

// Load: demand that moves between models. Guards against replicas for requests that only wait for a load of their model,
// and against taking away replicas whose memory the models need.
func TestDemandMovesBetweenModels(t *testing.T) {
	s := newService(2, "a", "b", "c")
	s.models = 480
	s.run(60, steady(3))
	s.hidden = 0.5
	s.run(20, steady(3))
	s.hidden = 0
	s.run(200, steady(1))
	assert.Equal(t, s.total, 6, "480 MB of models need six replicas of 100 MB")
	s.models = 200
	s.run(120, steady(1))
	assert.Equal(t, s.total, 3)
	assert.Assert(t, s.turns <= 1)
}

// Guards against numbers outside the limits of the configuration.
func TestLimits(t *testing.T) {
	s := newService(1, "a", "b")
	s.run(60, steady(200))
	assert.Equal(t, s.total, 24)
	assert.Equal(t, len(scale.NewPlanner().Plan(1000, scale.Input{})), 0)
	s.excluded["a"], s.excluded["b"] = true, true
	assert.Equal(t, len(s.planner.Plan(s.now, s.input(1))), 0)
}
