package bench

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
)

// policy decides on loads and unloads.
type policy interface {
	// plan is called once a second.
	plan(s *sim) []place.Command
	// missed is called when no upstream can start the request before its deadline.
	missed(s *sim, q *request) []place.Command
	// refused is told of an order that was not carried out.
	refused(now clock.Time, c place.Command)
}

// span is the state of a target on a replica.
type span uint8

const (
	absent span = iota
	loading
	resident
	unloading
)

// server is a replica. It works on one request after the other at its full speed,
// which gives the throughput of continuous batching but not its latency.
type server struct {
	id     units.UpstreamID
	zone   int
	out    bool
	used   units.Bytes
	states []span
	// used at is the time of the last request of each target.
	touched []clock.Time
	// free is when all accepted requests are done.
	free clock.Time
	// life changes when the replica loses its memory.
	life int
}

// change is the end of a load or an unload.
type change struct {
	at     clock.Time
	server *server
	target int
	to     span
	life   int
}

// sim is one run of a policy.
type sim struct {
	options Options
	policy  policy
	targets []place.Target
	index   map[units.ModelID]int
	base    []int
	servers []*server
	changes []change
	waiting [][]*request
	now     clock.Time
	// tokens are those asked for since the last second, by target.
	tokens []float64
	credit float64
	loads  int
	result Result
}

func newSim(o Options, t *trace, p policy) *sim {
	s := &sim{options: o, policy: p, targets: o.Site.targets(), index: map[units.ModelID]int{}}
	n := len(s.targets)
	for i, v := range s.targets {
		s.index[v.ID] = i
	}
	s.base = make([]int, n)
	for i, v := range s.targets {
		s.base[i] = -1
		if v.Base != "" {
			s.base[i] = s.index[v.Base]
		}
	}
	for i := range o.Site.Replicas {
		id := units.UpstreamID([]byte{'u', byte('0' + i/10), byte('0' + i%10)})
		s.servers = append(s.servers, &server{
			id: id, zone: i % o.Site.Zones, states: make([]span, n), touched: make([]clock.Time, n),
		})
	}
	s.waiting = make([][]*request, n)
	s.tokens = make([]float64, n)
	s.credit = float64(o.Site.Budget.Concurrent)
	s.result.customers = make([]count, len(customerShares))
	for r, list := range initial(s, t.weights) {
		for _, i := range list {
			s.servers[r].states[i] = resident
			s.servers[r].used += s.targets[i].Bytes
		}
	}
	return s
}

// run plays the trace.
func (s *sim) run(t *trace) Result {
	next := clock.Time(0)
	for i := range t.requests {
		q := &t.requests[i]
		for !next.After(q.at) {
			s.advance(next)
			s.tick()
			next += clock.Time(clock.Second)
		}
		s.advance(q.at)
		s.arrive(q)
	}
	s.advance(clock.Time(s.options.Length).Add(normalDeadline))
	for i := range s.waiting {
		s.expire(i)
	}
	s.result.finish(&s.options)
	return s.result
}

// advance carries out the changes up to the time.
func (s *sim) advance(to clock.Time) {
	for len(s.changes) > 0 && !s.changes[0].at.After(to) {
		c := s.changes[0]
		s.changes = s.changes[1:]
		s.now = c.at
		s.finish(c)
	}
	s.now = to
}

func (s *sim) finish(c change) {
	if c.to == resident {
		s.loads--
	}
	if c.life != c.server.life {
		return
	}
	c.server.states[c.target] = c.to
	if c.to == absent {
		c.server.used -= s.targets[c.target].Bytes
		return
	}
	queue := s.waiting[c.target]
	s.waiting[c.target] = nil
	for _, q := range queue {
		s.result.count(&s.options, q, s.serve(q))
	}
}

func (s *sim) later(c change) {
	i, _ := slices.BinarySearchFunc(s.changes, c.at, func(e change, at clock.Time) int {
		if e.at > at {
			return 1
		}
		return -1
	})
	s.changes = slices.Insert(s.changes, i, c)
}

// tick is the end of a second.
func (s *sim) tick() {
	b := s.options.Site.Budget
	s.credit = min(s.credit+b.Rate, float64(b.Concurrent))
	for _, v := range s.servers {
		out := s.options.out(v.zone, s.now)
		if v.out && !out {
			// The machines of a zone that returns are new ones.
			v.used, v.states = 0, make([]span, len(s.targets))
			v.life++
		}
		v.out = out
	}
	for i := range s.waiting {
		s.expire(i)
	}
	s.apply(s.policy.plan(s))
	clear(s.tokens)
}

// expire counts the waiting requests that are too late.
func (s *sim) expire(target int) {
	s.waiting[target] = slices.DeleteFunc(s.waiting[target], func(q *request) bool {
		late := s.now.After(q.deadline)
		if late {
			s.result.count(&s.options, q, false)
		}
		return late
	})
}

func (s *sim) arrive(q *request) {
	s.tokens[q.target] += q.tokens
	holders := false
	for _, v := range s.servers {
		holders = holders || s.serves(v, q.target)
	}
	if holders {
		ok := s.serve(q)
		s.result.count(&s.options, q, ok)
		if !ok {
			s.apply(s.policy.missed(s, q))
		}
		return
	}
	s.waiting[q.target] = append(s.waiting[q.target], q)
	s.apply(s.policy.missed(s, q))
}

func (s *sim) serves(v *server, target int) bool {
	b := s.base[target]
	return !v.out && v.states[target] == resident && (b < 0 || v.states[b] == resident)
}

// serve starts the request on the upstream that is free first, and reports whether
// that is before the deadline. Otherwise the agent refuses it.
func (s *sim) serve(q *request) bool {
	var best *server
	for _, v := range s.servers {
		if s.serves(v, q.target) && (best == nil || v.free < best.free) {
			best = v
		}
	}
	if best == nil {
		return false
	}
	start := max(best.free, s.now.Add(s.options.Site.Delay))
	best.touched[q.target] = s.now
	if b := s.base[q.target]; b >= 0 {
		best.touched[b] = s.now
	}
	if start.After(q.deadline) {
		return false
	}
	best.free = start + clock.Time(q.tokens*1000/float64(replicaSpeed))
	return true
}

// apply carries out orders as an agent and the weight store do: what does not fit or
// exceeds the budget is refused.
func (s *sim) apply(list []place.Command) {
	for _, c := range list {
		if !s.order(c) {
			s.result.Refused++
			s.policy.refused(s.now, c)
		}
	}
}

func (s *sim) order(c place.Command) bool {
	i := s.index[c.Target.ID]
	v := s.servers[slices.IndexFunc(s.servers, func(v *server) bool { return v.id == c.Replica })]
	if c.Op == place.Unload {
		if v.states[i] != resident || s.based(v, i) {
			return false
		}
		v.states[i] = unloading
		s.later(change{s.now.Add(unloadTime), v, i, absent, v.life})
		return true
	}
	t := s.targets[i]
	based := s.base[i] < 0 || v.states[s.base[i]] == resident
	if v.out || v.states[i] != absent || !based || v.used+t.Bytes > replicaBytes {
		return false
	}
	if s.credit < 1 || s.loads >= s.options.Site.Budget.Concurrent {
		return false
	}
	s.credit--
	s.loads++
	s.result.Moves++
	v.states[i] = loading
	v.used += t.Bytes
	s.later(change{s.now.Add(loadTime(t) + s.options.Site.Delay), v, i, resident, v.life})
	return true
}

// based reports whether an adapter on the replica needs the target.
func (s *sim) based(v *server, target int) bool {
	for i, b := range s.base {
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
