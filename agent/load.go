package agent

import (
	"github.com/magnolialever/magnolialever/wire"
)

// load describes the upstream as it is now.
func (s *state) load() *wire.Load {
	s.sequence++
	l := &wire.Load{
		Upstream:    s.options.Node.ID,
		Zone:        s.options.Node.Zone,
		Sequence:    s.sequence,
		Running:     uint32(s.running),
		Waiting:     uint32(s.queue.Waiting()),
		Backlog:     s.backlog(),
		Speed:       int64(s.queue.Throughput()),
		Cold:        s.cold,
		Allowance:   uint32(s.allowance.Limit()),
		MemoryFree:  int64(s.ledger.Free()),
		MemoryTotal: int64(s.ledger.Total()),
		Leaving:     s.leaving,
		Incarnation: s.outcomes.now.incarnation,
		Quarantine:  s.alone != nil,
	}
	ready, pending := s.ledger.Targets()
	if s.silent {
		ready = nil
	}
	for _, id := range ready {
		l.Resident = append(l.Resident, string(id))
	}
	for _, id := range pending {
		l.Loading = append(l.Loading, string(id))
	}
	for _, id := range s.options.Upstream.Services {
		l.Service = append(l.Service, string(id))
	}
	return l
}

// backlog returns the tokens that are reserved and not yet generated.
func (s *state) backlog() int64 {
	sum := int64(s.queue.Backlog())
	for _, j := range s.jobs {
		if j.running {
			sum += max(j.call.Cost-j.prompt-j.sent.Load(), 0)
		}
	}
	return sum
}

func (s *state) loadFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: s.load()}}
}

// pushLoad sends the load to all gateways.
func (s *state) pushLoad() {
	s.changed = false
	for c := range s.controls {
		c.push(s.loadFrame())
	}
}
