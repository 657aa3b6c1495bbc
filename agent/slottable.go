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
	// staleRetryAfter is the suggested retry delay for a stale permit. It leaves time for
	// the newer slot table to arrive.
	staleRetryAfter = 100 * clock.Millisecond
	// slotTableRetryDelay is the mean delay between attempts to read the slot table at
	// startup; the delay is random from half to one and a half of it. It limits the load on
	// the store when all agents start during an outage.
	slotTableRetryDelay = 500 * time.Millisecond
)

// SlotTableReader reads the current slot table (owner and epoch of each rate slot) from the
// store.
type SlotTableReader func(ctx context.Context) (*rate.SlotTable, error)

// StoredSlotTable returns a reader of the slot table in the platform's key-value store. The
// reader fails when the store does or when the value is malformed.
func StoredSlotTable(kv store.KV) SlotTableReader {
	return func(ctx context.Context) (*rate.SlotTable, error) {
		e, err := kv.Get(ctx, rate.OwnersKey)
		if err != nil {
			return nil, fmt.Errorf("read slot table: %w", err)
		}
		return rate.DecodeTable(e.Value)
	}
}

// readSlotTable reads the slot table from the store, with retries, and marks it as current,
// which lets the permit fence admit permits. Slot tables from gateways don't: an outdated
// one could make permits of a former owner valid again.
func (s *Server) readSlotTable(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := s.options.ReadSlotTable(ctx)
		if err == nil {
			s.loop.do(func() { s.state.updateTable(t, true) })
			return
		}
		klog.V(1).Infof("agent: read slot table, will retry: %v", err)
		stats.Event("owners_unread")
		select {
		case <-ctx.Done():
		case <-time.After(slotTableRetryDelay/2 + rand.N(slotTableRetryDelay)):
		}
	}
}

// updateTable applies a slot table and reports whether it is newer than all before.
// current means that the table is known to be up to date, as one read from the store.
func (s *state) updateTable(t *rate.SlotTable, current bool) bool {
	newer := t.Version > s.permitFence.Version()
	s.permitFence.UpdateTable(t, current)
	if newer {
		s.slotTable = t
		s.pushVersions()
	}
	return newer
}

// pushVersions pushes the version of the slot table to all gateways.
func (s *state) pushVersions() {
	for c := range s.controlStreams {
		c.push(s.versionsFrame())
	}
}

// handleSlotTable applies a slot table from a gateway and acknowledges it.
func (s *state) handleSlotTable(c *controlStream, w *wire.Owners) {
	if !s.updateTable(rate.TableFromWire(w), s.options.ReadSlotTable == nil) {
		c.push(s.versionsFrame())
	}
}

// checkPermit returns a refusal unless the permit is valid now and covers the call's cost.
func (s *state) checkPermit(now clock.Time, c *wire.Call) *refusal {
	if c.Cost == 0 && len(c.Permit.GetPaid()) == 0 && s.allowFree {
		// The permit of a free call is optional and only limits when the call may start.
		if p := c.Permit; p != nil && p.Expires != 0 && now.After(clock.Time(p.Expires)) {
			return notRun(units.PermitExpired, "permit has expired")
		}
		return nil
	}
	switch code := s.permitFence.Admit(now, units.AttemptID(c.Attempt), rate.PermitFromWire(c.Permit), units.Tokens(c.Cost)); code {
	case "":
		return nil
	case units.InProgress:
		return &refusal{code: code, mayHaveRun: true, message: "permit check of the attempt was done before"}
	case units.PermitStale:
		r := notRun(code, "permit is not valid under the agent's slot table")
		r.retryAfter = staleRetryAfter
		return r
	default:
		return notRun(code, "permit has expired")
	}
}
