package bench

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// policy decides which targets to load and unload.
type policy interface {
	// plan is called once per simulated second.
	plan(s *simulation) []place.Command
	// onMiss is called when no replica can start the request before its deadline, or none holds its target.
	onMiss(s *simulation, q *request) []place.Command
	// onRefusal is called for a command that was refused.
	onRefusal(now clock.Time, c place.Command)
}

// residency is the state of a target in a replica's memory.
type residency uint8

const (
	absent residency = iota
	loading
	resident
	unloading
)

// replica simulates an upstream. It processes requests one at a time at full speed, which reproduces
// the throughput of continuous batching but not its latency.
type replica struct {
	id        units.UpstreamID
	zone      int
	down      bool
	usedBytes units.Bytes
	states    []residency
	// lastRequest is the time of the last request for each target.
	lastRequest []clock.Time
	// freeAt is the time at which all accepted requests are finished.
	freeAt clock.Time
	// incarnation increments when the replica loses its memory, which voids pending transitions.
	incarnation int
}

// transition is the completion of a load or unload at a future time.
type transition struct {
	at          clock.Time
	replica     *replica
	target      int
	state       residency
	incarnation int
}

// simulation runs one policy on a trace. Slices other than replicas and transitions are indexed by
// target; baseIndex is -1 for a model. waiting holds requests that no replica can serve yet.
type simulation struct {
	options     Options
	policy      policy
	targets     []place.Target
	targetIndex map[units.ModelID]int
	baseIndex   []int
	replicas    []*replica
	transitions []transition
	waiting     [][]*request
	now         clock.Time
	// requestedTokens are the tokens requested since the last call of plan, by target.
	requestedTokens []float64
	loadCredit      float64
	loadsInProgress int
	result          Result
}

// newSimulation returns a simulation in which the replicas hold the initial placement.
func newSimulation(o Options, t *trace, p policy) *simulation {
	s := &simulation{options: o, policy: p, targets: o.Site.targets(), targetIndex: map[units.ModelID]int{}}
	n := len(s.targets)
	for i, v := range s.targets {
		s.targetIndex[v.ID] = i
	}
	s.baseIndex = make([]int, n)
	for i, v := range s.targets {
		s.baseIndex[i] = -1
		if v.Base != "" {
			s.baseIndex[i] = s.targetIndex[v.Base]
		}
	}
	for i := range o.Site.Replicas {
		id := units.UpstreamID([]byte{'u', byte('0' + i/10), byte('0' + i%10)})
		s.replicas = append(s.replicas, &replica{
			id: id, zone: i % o.Site.Zones, states: make([]residency, n), lastRequest: make([]clock.Time, n),
		})
	}
	s.waiting = make([][]*request, n)
	s.requestedTokens = make([]float64, n)
	s.loadCredit = float64(o.Site.Budget.Concurrent)
	s.result.customers = make([]requestCount, len(customerShares))
	for r, list := range initialPlacement(s, t.baseDemand) {
		for _, i := range list {
			s.replicas[r].states[i] = resident
			s.replicas[r].usedBytes += s.targets[i].Bytes
		}
	}
	return s
}

// run simulates the trace and returns the policy's result.
func (s *simulation) run(t *trace) Result {
	next := clock.Time(0)
	for i := range t.requests {
		q := &t.requests[i]
		for !next.After(q.arrival) {
			s.advance(next)
			s.endSecond()
			next += clock.Time(clock.Second)
		}
		s.advance(q.arrival)
		s.handleArrival(q)
	}
	s.advance(clock.Time(s.options.Length).Add(normalDeadline))
	for i := range s.waiting {
		s.dropExpired(i)
	}
	s.result.computeRates(&s.options)
	return s.result
}

// advance completes transitions that are due and sets the clock to the given time.
func (s *simulation) advance(to clock.Time) {
	for len(s.transitions) > 0 && !s.transitions[0].at.After(to) {
		c := s.transitions[0]
		s.transitions = s.transitions[1:]
		s.now = c.at
		s.completeTransition(c)
	}
	s.now = to
}

// completeTransition applies a transition. After a load it starts the requests that waited for the target.
func (s *simulation) completeTransition(c transition) {
	if c.state == resident {
		s.loadsInProgress--
	}
	if c.incarnation != c.replica.incarnation {
		return
	}
	c.replica.states[c.target] = c.state
	if c.state == absent {
		c.replica.usedBytes -= s.targets[c.target].Bytes
		return
	}
	queue := s.waiting[c.target]
	s.waiting[c.target] = nil
	for _, q := range queue {
		s.result.record(&s.options, q, s.startRequest(q))
	}
}

// schedule inserts a transition; transitions are sorted by time.
func (s *simulation) schedule(c transition) {
	i, _ := slices.BinarySearchFunc(s.transitions, c.at, func(e transition, at clock.Time) int {
		if e.at > at {
			return 1
		}
		return -1
	})
	s.transitions = slices.Insert(s.transitions, i, c)
}

// endSecond refills the load budget, updates zone outages, expires requests and runs the policy.
func (s *simulation) endSecond() {
	b := s.options.Site.Budget
	s.loadCredit = min(s.loadCredit+b.Rate, float64(b.Concurrent))
	for _, v := range s.replicas {
		out := s.options.zoneDown(v.zone, s.now)
		if v.down && !out {
			// The VMs of a restored zone are new and have nothing in memory.
			v.usedBytes, v.states = 0, make([]residency, len(s.targets))
			v.incarnation++
		}
		v.down = out
	}
	for i := range s.waiting {
		s.dropExpired(i)
	}
	s.apply(s.policy.plan(s))
	clear(s.requestedTokens)
}

// dropExpired removes waiting requests whose deadline has passed and counts them as late.
func (s *simulation) dropExpired(target int) {
	s.waiting[target] = slices.DeleteFunc(s.waiting[target], func(q *request) bool {
		late := s.now.After(q.deadline)
		if late {
			s.result.record(&s.options, q, false)
		}
		return late
	})
}

// handleArrival starts the request, or queues it until its target is loaded, and reports a miss to
// the policy if it cannot start now.
func (s *simulation) handleArrival(q *request) {
	s.requestedTokens[q.target] += q.tokens
	available := false
	for _, v := range s.replicas {
		available = available || s.canServe(v, q.target)
	}
	if available {
		ok := s.startRequest(q)
		s.result.record(&s.options, q, ok)
		if !ok {
			s.apply(s.policy.onMiss(s, q))
		}
		return
	}
	s.waiting[q.target] = append(s.waiting[q.target], q)
	s.apply(s.policy.onMiss(s, q))
}

// canServe reports whether a replica is up and has the target, and the base model of an adapter, in
// memory.
func (s *simulation) canServe(v *replica, target int) bool {
	b := s.baseIndex[target]
	return !v.down && v.states[target] == resident && (b < 0 || v.states[b] == resident)
}

// startRequest assigns the request to the replica that is free first. It returns false, as an agent
// refuses the request, if processing cannot start before the deadline.
func (s *simulation) startRequest(q *request) bool {
	var best *replica
	for _, v := range s.replicas {
		if s.canServe(v, q.target) && (best == nil || v.freeAt < best.freeAt) {
			best = v
		}
	}
	if best == nil {
		return false
	}
	start := max(best.freeAt, s.now.Add(s.options.Site.Delay))
	best.lastRequest[q.target] = s.now
	if b := s.baseIndex[q.target]; b >= 0 {
		best.lastRequest[b] = s.now
	}
	if start.After(q.deadline) {
		return false
	}
	best.freeAt = start + clock.Time(q.tokens*1000/float64(replicaSpeed))
	return true
}

// apply executes commands. Like an agent and the weight store, it refuses those that exceed a replica's
// memory or the load budget.
func (s *simulation) apply(list []place.Command) {
	for _, c := range list {
		if !s.execute(c) {
			s.result.Refused++
			s.policy.onRefusal(s.now, c)
		}
	}
}

// execute starts a load or unload. It returns false if the command is refused.
func (s *simulation) execute(c place.Command) bool {
	i := s.targetIndex[c.Target.ID]
	v := s.replicas[slices.IndexFunc(s.replicas, func(v *replica) bool { return v.id == c.Replica })]
	if c.Op == place.Unload {
		if v.states[i] != resident || s.hasAdapter(v, i) {
			return false
		}
		v.states[i] = unloading
		s.schedule(transition{s.now.Add(unloadTime), v, i, absent, v.incarnation})
		return true
	}
	t := s.targets[i]
	baseReady := s.baseIndex[i] < 0 || v.states[s.baseIndex[i]] == resident
	if v.down || v.states[i] != absent || !baseReady || v.usedBytes+t.Bytes > replicaBytes {
		return false
	}
	if s.loadCredit < 1 || s.loadsInProgress >= s.options.Site.Budget.Concurrent {
		return false
	}
	s.loadCredit--
	s.loadsInProgress++
	s.result.Moves++
	v.states[i] = loading
	v.usedBytes += t.Bytes
	s.schedule(transition{s.now.Add(loadTime(t) + s.options.Site.Delay), v, i, resident, v.incarnation})
	return true
}

// hasAdapter reports whether the replica has an adapter of the target that is not yet unloaded.
func (s *simulation) hasAdapter(v *replica, target int) bool {
	for i, b := range s.baseIndex {
		if b == target && v.states[i] != absent {
			return true
		}
	}
	return false
}

func loadTime(t place.Target) clock.Span {
	if t.Base != "" {
		return adapterLoad
	}
	return modelLoad
}
