package rate

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const scheduleLength = 7 * simSecond

// drawInt returns a random number from 0 to n-1.
type drawInt func(n int) int

// maxDriftPPM is the largest deviation of a simulated clock, in parts per million.
const maxDriftPPM = 10_000

// maxSeeds is the number of schedules among which one must exceed the bound when a safeguard
// is off.
const maxSeeds = 150

// schedule is a random run of a small fleet: customers send a multiple of their rate, and
// failures occur at random times.
type schedule struct {
	drift, seed             int
	jitter, callDelay       simTime
	lossRate, duplicateRate float64
	burst                   units.Tokens
	gateways, agents        int
	// gap is the mean time between requests, and cost their largest cost in tokens.
	gap              simTime
	cost             int
	exact            bool    // requests use all tokens that they reserve
	pingDelay        simTime // delay of pings
	requestsPerBurst int     // mean number of requests between pauses
	failures         []failure
}

// failure applies failures[kind] to a target, at a time and for a duration.
type failure struct {
	kind, target int
	at, duration simTime
}

func newSchedule(d drawInt) schedule {
	p := schedule{
		seed:             d(1 << 30),
		drift:            d(2) * maxDriftPPM,
		jitter:           []simTime{0, 2, 20, 300}[d(4)] * simMillisecond,
		callDelay:        []simTime{0, 5, 300, 950}[d(4)] * simMillisecond,
		lossRate:         []float64{0, 0, 0.02, 0.2}[d(4)],
		duplicateRate:    []float64{0, 0, 0.1, 0.3}[d(4)],
		burst:            []units.Tokens{500, 2000, 5000, 4*minSlotBurst + 2000}[d(4)],
		gateways:         2 + d(3),
		agents:           1 + d(3),
		gap:              simTime(4+d(30)) * simMillisecond,
		cost:             1 + d(600),
		exact:            d(3) == 0,
		pingDelay:        []simTime{0, 0, 1000}[d(3)] * simMillisecond,
		requestsPerBurst: []int{6, 40}[d(2)],
	}
	for range d(9) {
		f := failure{kind: d(len(failures)), target: d(100)}
		f.at = simTime(1500+d(4000)) * simMillisecond
		f.duration = simTime(20+d(3000)) * simMillisecond
		p.failures = append(p.failures, f)
	}
	return p
}

// run simulates the schedule and returns the highest excess over a bound, in millionths of a
// token, and the number of started requests.
func (p schedule) run(f faults) (maxExcess int64, served int) {
	s := newSim(uint64(p.seed))
	s.faults, s.drift = f, int64(p.drift)
	s.jitter, s.callDelay, s.lossRate, s.duplicateRate = p.jitter, p.callDelay, p.lossRate, p.duplicateRate
	s.pingInterval, s.pingDelay = 200*simMillisecond, p.pingDelay
	s.limits["court"] = Limit{Rate: max(1000, p.burst/3), Burst: p.burst}
	if p.burst > minSlotBurst {
		// Four slots; the larger cost lets the load reach the bound.
		p.cost *= 240
	}
	s.limits["exam"] = Limit{Rate: 777, Burst: 1501}
	for i := range p.gateways {
		s.addGateway(units.Zone(rune('a'+i%3)), s.randomClockPPM())
	}
	for range p.agents {
		s.addAgent(s.randomClockPPM())
	}
	s.assign(func(*simGateway) bool { return true })
	for _, x := range p.failures {
		s.after(x.at, func() { failures[x.kind](s, x.target, x.duration) })
	}
	s.arrivals("court", p.gap, p.cost, p)
	s.arrivals("exam", 2*p.gap, 1+p.cost/2, p)
	s.run(scheduleLength + 2*simSecond)
	return s.maxExcess(), s.served
}

// randomClockPPM returns the rate of a clock, in millionths of true time.
func (s *sim) randomClockPPM() int64 { return 1_000_000 + s.rnd.Int64N(2*s.drift+1) - s.drift }

// arrivals adds random requests of a customer to the simulation.
func (s *sim) arrivals(c units.CustomerID, gap simTime, cost int, p schedule) {
	at := 1500*simMillisecond + simTime(s.rnd.Int64N(int64(3*simSecond)))
	for at < scheduleLength {
		n := 1 + s.rnd.IntN(cost)
		x := &call{
			customer: c, cost: units.Tokens(n), used: units.Tokens(s.rnd.IntN(n + 1)),
			duration: simTime(s.rnd.Int64N(int64(3 * simSecond))),
		}
		if p.exact || s.rnd.IntN(4) == 0 {
			x.used = x.cost
		}
		s.at(at, func() {
			g := s.gateways[s.rnd.IntN(len(s.gateways))]
			g.do(func() {
				x.deadline = g.clock().Add(clock.Second)
				g.request(x)
			})
		})
		at += simTime(s.rnd.Int64N(int64(2 * gap)))
		if s.rnd.IntN(p.requestsPerBurst) == 0 {
			// A pause lets the buckets fill up.
			at += simSecond/2 + simTime(s.rnd.Int64N(int64(simSecond)))
		}
	}
}

// Indices in failures.
const (
	failStoreAccess = 6
	failAgent       = 7
)

var failures = []func(s *sim, target int, d simTime){
	// A gateway freezes, for some durations past the expiry of its grants.
	func(s *sim, target int, d simTime) { s.pick(target).freeze(d) },
	// A frozen gateway is taken for dead, and its slots move.
	func(s *sim, target int, d simTime) {
		g := s.pick(target)
		g.freeze(d)
		s.after(d/4, func() { s.assign(func(o *simGateway) bool { return o != g }) })
	},
	// A gateway dies, which is detected later.
	func(s *sim, target int, d simTime) {
		if len(s.gateways) < 2 {
			return
		}
		g := s.pick(target)
		g.dead = true
		s.after(d/3, func() { s.assign(func(o *simGateway) bool { return o != g }) })
		s.after(d/2, func() { g.unlisted = true })
	},
	// A gateway joins.
	func(s *sim, target int, _ simTime) {
		s.addGateway(units.Zone(rune('a'+target%3)), s.randomClockPPM())
		s.assign(func(o *simGateway) bool { return !o.dead })
	},
	// A planned change of owner, with bucket transfers.
	func(s *sim, target int, _ simTime) {
		g := s.pick(target)
		s.assign(func(o *simGateway) bool { return o != g && !o.dead })
	},
	// A gateway is partitioned from all others.
	func(s *sim, target int, d simTime) {
		g := s.pick(target)
		g.partitioned = true
		s.after(d, func() { g.partitioned = false })
		s.after(d/2, func() { s.assign(func(o *simGateway) bool { return o != g }) })
	},
	// A gateway reaches the agents but not the store, and continues as the old owner.
	func(s *sim, target int, d simTime) {
		g := s.pick(target)
		g.storeUnreachable = true
		s.after(d, func() { g.storeUnreachable = false })
		s.assign(func(o *simGateway) bool { return o != g && !o.dead })
	},
	// An agent freezes or is partitioned.
	func(s *sim, target int, d simTime) {
		a := s.agents[target%len(s.agents)]
		if target%2 == 0 {
			a.freeze(d)
			return
		}
		a.partitioned = true
		s.after(d, func() { a.partitioned = false })
	},
	// An agent restarts.
	func(s *sim, target int, _ simTime) { s.agents[target%len(s.agents)].restart() },
	// The store is unavailable.
	func(s *sim, _ int, d simTime) {
		s.storeDown = true
		s.after(2*d, func() { s.storeDown = false })
	},
	// Limits are lowered, which removes slots, and raised again.
	func(s *sim, target int, d simTime) {
		l := s.limits["court"]
		for i, g := range s.gateways {
			spread := simTime(target*(i+1)%100) * 20 * simMillisecond
			g.doAfter(spread, func() { g.setLimit("court", Limit{Rate: l.Rate / 2, Burst: l.Burst / 2}) })
			g.doAfter(d+2*simSecond+spread, func() { g.setLimit("court", l) })
		}
	},
	// Slots move back to all live gateways.
	func(s *sim, _ int, _ simTime) { s.assign(func(o *simGateway) bool { return !o.dead }) },
}

func (s *sim) pick(target int) *simGateway { return s.gateways[target%len(s.gateways)] }

// maxExcess returns the highest excess of a customer over its bound. Rates are measured by the
// clocks of the owners, which may be fast by the drift.
func (s *sim) maxExcess() int64 {
	return max(s.excess("court", 1_000_000+s.drift), s.excess("exam", 1_000_000+s.drift))
}

// Guards the bound of each customer in every window, with lost, late and duplicate messages
// and with processes that die, freeze or are partitioned.
func TestBound(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		p := newSchedule(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		maxExcess, n := p.run(faults{})
		served += n
		assert.Assert(t, maxExcess <= 0, "excess of %d millionths of a token", maxExcess)
	})
	assert.Assert(t, served > 1000, "the schedules started too few requests to test the bound: %d", served)
}

// callDelay delays calls by up to 950 ms and lets requests use all tokens that they reserve,
// without other failures.
func callDelay(p *schedule) {
	*p = schedule{
		seed: p.seed, gateways: 2, agents: 2, burst: 500, gap: 8 * simMillisecond, cost: 200,
		exact: true, requestsPerBurst: 40, jitter: simMillisecond,
		callDelay: 950 * simMillisecond,
	}
}

// agentPauses freezes the only agent, which then receives all delayed calls at once.
func agentPauses(p *schedule) {
	callDelay(p)
	p.callDelay, p.agents = 0, 1
	for i := range 4 {
		p.failures = append(p.failures, failure{
			kind: failAgent, at: simTime(2000+1300*i) * simMillisecond,
			duration: simTime(300+p.seed*37%1500) * simMillisecond,
		})
	}
}

// ownerChanges makes owners without access to the store lose their slots.
func ownerChanges(p *schedule) {
	callDelay(p)
	p.callDelay, p.gateways = 0, 3
	for i := range 3 {
		p.failures = append(p.failures, failure{
			kind: failStoreAccess, target: p.seed + i, at: simTime(2500+900*i) * simMillisecond,
			duration: 2 * simSecond,
		})
	}
}

// Guards against safeguards without effect: with one of them off, some schedule must exceed
// the bound, and with it on, the same schedule must not.
func TestSafeguards(t *testing.T) {
	for _, x := range []struct {
		name     string
		fault    faults
		scenario func(*schedule)
	}{
		{"reserved tokens occupy burst", faults{ignoreReserved: true}, callDelay},
		{"future refills stay below the burst", faults{overdrawBurst: true}, agentPauses},
		{"starts are reported after the start", faults{reportStartAtIssue: true}, callDelay},
		{"agents check expiry", faults{ignoreExpiry: true}, agentPauses},
		{"requests wait until their tokens are refilled", faults{ignoreRefillWait: true}, func(p *schedule) { callDelay(p); p.callDelay = 0 }},
		{"agents check epochs", faults{ignoreEpoch: true}, ownerChanges},
		{"a new owner waits", faults{activateEarly: true}, func(p *schedule) { ownerChanges(p); p.pingDelay = simSecond }},
		{"a new owner starts with an empty bucket", faults{startFull: true}, ownerChanges},
		{"an attempt is admitted once", faults{acceptReplay: true}, func(p *schedule) { callDelay(p); p.duplicateRate = 0.3 }},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			for seed := range maxSeeds {
				p := schedule{seed: seed}
				x.scenario(&p)
				if maxExcess, _ := p.run(x.fault); maxExcess > 0 {
					t.Logf("seed %d: excess of %.3f tokens", seed, float64(maxExcess)/1e6)
					maxExcess, _ = p.run(faults{})
					assert.Assert(t, maxExcess <= 0)
					return
				}
			}
			t.Fatal("no schedule exceeds the bound without this safeguard")
		})
	}
}
