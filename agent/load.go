package agent

import (
	"github.com/magnolialever/magnolialever/wire"
)

// loadReport returns the current load of the upstream with the next sequence number.
func (s *state) loadReport() *wire.Load {
	s.sequence++
	l := &wire.Load{
		Upstream:    s.options.Node.ID,
		Zone:        s.options.Node.Zone,
		Sequence:    s.sequence,
		Running:     uint32(s.runningJobs),
		Waiting:     uint32(s.queue.Waiting()),
		Backlog:     s.backlog(),
		Speed:       int64(s.queue.Throughput()),
		Cold:        s.engineCold,
		Allowance:   uint32(s.coldStartLimit.Limit()),
		MemoryFree:  int64(s.ledger.Free()),
		MemoryTotal: int64(s.ledger.Total()),
		Leaving:     s.draining,
		Incarnation: s.attempts.current.incarnation,
		Quarantine:  s.exclusiveJob != nil,
	}
	ready, pending := s.ledger.Targets()
	if s.unreachable {
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

// backlog returns the number of tokens that are reserved and not yet generated.
func (s *state) backlog() int64 {
	sum := int64(s.queue.Backlog())
	for _, j := range s.jobs {
		if j.running {
			sum += max(j.call.Cost-j.promptTokens-j.sentEvents.Load(), 0)
		}
	}
	return sum
}

func (s *state) loadFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Load{Load: s.loadReport()}}
}

// pushLoad pushes the load report to all gateways.
func (s *state) pushLoad() {
	s.loadChanged = false
	for c := range s.controlStreams {
		c.push(s.loadFrame())
	}
}
