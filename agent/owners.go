package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// staleWait gives the table of owners time to arrive before the next try.
	staleWait = 100 * clock.Millisecond
	// ownersRetry is the mean time between two tries to read the table at the start.
	// It bounds the calls when all agents start during an outage of the store.
	ownersRetry = 500 * time.Millisecond
)

// SlotTableReader reads the table of rate slot owners from the store.
type SlotTableReader func(ctx context.Context) (*rate.SlotTable, error)

// StoredSlotTable returns a reader for the platform's key-value service.
func StoredSlotTable(kv store.KV) SlotTableReader {
	return func(ctx context.Context) (*rate.SlotTable, error) {
		e, err := kv.Get(ctx, rate.OwnersKey)
		if err != nil {
			return nil, fmt.Errorf("read owners: %w", err)
		}
		return rate.DecodeTable(e.Value)
	}
}

// readOwners opens the fence with the table of the store. Tables of gateways don't
// open it: a gateway that lags could bring a former owner back into force.
func (s *Server) readOwners(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := s.options.ReadSlotTable(ctx)
		if err == nil {
			s.owner.do(func() { s.state.learn(t, true) })
			return
		}
		klog.V(1).Infof("agent: owners of rate slots are not known yet: %v", err)
		stats.Event("owners_unread")
		select {
		case <-ctx.Done():
		case <-time.After(ownersRetry/2 + rand.N(ownersRetry)):
		}
	}
}

// learn takes over a table of owners and reports whether it is newer than all before.
func (s *state) learn(t *rate.SlotTable, current bool) bool {
	newer := t.Version > s.fence.Version()
	s.fence.UpdateTable(t, current)
	if newer {
		s.table = t
		s.acknowledge()
	}
	return newer
}

// acknowledge tells all gateways the version of the table.
func (s *state) acknowledge() {
	for c := range s.controls {
		c.push(s.versions())
	}
}

// own takes a table from a gateway.
func (s *state) own(c *control, w *wire.Owners) {
	if !s.learn(rate.TableFromWire(w), s.options.ReadSlotTable == nil) {
		c.push(s.versions())
	}
}

// checkPermit decides whether the permit covers the start of the call now.
func (s *state) checkPermit(now clock.Time, c *wire.Call) *refusal {
	if c.Cost == 0 && len(c.Permit.GetPaid()) == 0 && s.free {
		// Such a permit, if any, only limits the time of the start.
		if p := c.Permit; p != nil && p.Expires != 0 && now.After(clock.Time(p.Expires)) {
			return notRun(units.PermitExpired, "permit has expired")
		}
		return nil
	}
	switch code := s.fence.Admit(now, units.AttemptID(c.Attempt), rate.PermitFromWire(c.Permit), units.Tokens(c.Cost)); code {
	case "":
		return nil
	case units.InProgress:
		return &refusal{code: code, ran: true, message: "attempt has been decided before"}
	case units.PermitStale:
		r := notRun(code, "permit is not valid with the known owners of rate slots")
		r.wait = staleWait
		return r
	default:
		return notRun(code, "permit has expired")
	}
}
