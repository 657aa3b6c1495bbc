package entry

import (
	"errors"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
)

// dutyManager performs the duties that the leader has at the platform's control API. Its methods are called from the
// control loop only.
type dutyManager struct {
	gateway    *Gateway
	controller *controller
	holder     *duty.Holder
	client     *platform.CloudClient
	// usage is nil if the gateways don't report usage.
	usage *usageManager
	// scale is nil if the gateways don't decide how many replicas services have.
	scale *scaleManager
}

func newDutyManager(g *Gateway, c *controller) *dutyManager {
	d := &dutyManager{gateway: g, controller: c, holder: duty.NewHolder(g.settings.VM, c.orders.elector)}
	cloud := g.settings.Cloud
	d.client = platform.NewCloudClient(cloud.Address, g.holdsDuty)
	pacer := duty.NewPacer(cloud.CallsPerSecond)
	if cloud.ReportsUsage {
		d.usage = newUsageManager(d, pacer)
	}
	if cloud.Scales {
		d.scale = newScaleManager(d, pacer)
	}
	return d
}

// onStoreEra is called when the store may have lost its newest writes, with a number that grows each time. It may be
// called from any goroutine.
func (g *Gateway) onStoreEra(era int64) { g.post(storeEra{era}) }

// holdsDuty reports whether this gateway holds the duty of a proof. It may be called from any goroutine.
func (g *Gateway) holdsDuty(p duty.Proof) bool {
	return g.isLeader() && g.leaderEpoch.Load() == int64(p.Epoch)
}

func (d *dutyManager) onTick(now clock.Time) {
	if d.usage != nil {
		d.usage.onTick(now)
	}
	if d.scale != nil {
		d.scale.onTick(now)
	}
}

// handle handles the messages of duties.
func (d *dutyManager) handle(now clock.Time, m message) {
	switch m := m.(type) {
	case usageReceived:
		d.usage.handleReceived(now, m)
	case storeEra:
		if d.usage != nil {
			d.usage.handleEra(now, m)
		}
	case usageLoaded:
		d.usage.handleLoaded(now, m)
	case usageWritten:
		d.usage.handleWritten(now, m)
	case usageReported:
		d.usage.handleReported(now, m)
	case usageEnds:
		d.usage.handleEnd(now, m)
	case scaleOrdered:
		d.scale.handleOrdered(now, m)
	}
}

// handleItem handles a change of the key with which leaders pass on their decisions about usage.
func (d *dutyManager) handleItem(i platform.Item) {
	if d.usage != nil {
		d.usage.handleItem(i)
	}
}

// handleDigest records what a digest says of its sender's time of day.
func (d *dutyManager) handleDigest(received peers.Digest) {
	if d.usage != nil {
		d.usage.wall.RecordDigest(received)
	}
}

// wallMillis returns the machine's time of day for a digest; 0 if no duty needs it.
func (d *dutyManager) wallMillis(now clock.Time) int64 {
	if d.usage == nil {
		return 0
	}
	return d.usage.wall.Own(now)
}

// recordOutcome counts and logs how a call to the control API ended, and gives up the leadership if it was refused: only
// a later epoch can take the duty.
func (d *dutyManager) recordOutcome(now clock.Time, p duty.Proof, took clock.Span, repeated bool, err error) duty.Outcome {
	o := callOutcome(err)
	stats.Event("duty_calls_" + o.String())
	klog.InfoS("entry: duty call", "subject", p.Subject, "epoch", p.Epoch, "outcome", o, "took", took, "repeated", repeated, "err", err)
	if o == duty.Refused && d.holder.Holds(now, p) {
		d.controller.orders.elector.Lost(now)
	}
	return o
}

// callOutcome maps the result of a call to the control API to an outcome.
func callOutcome(err error) duty.Outcome {
	switch {
	case err == nil:
		return duty.Acknowledged
	case errors.Is(err, platform.ErrHigherEpoch):
		return duty.Refused
	case errors.Is(err, platform.ErrTooManyCalls):
		return duty.Postponed
	case errors.Is(err, platform.ErrInvalidCall):
		return duty.Invalid
	case errors.Is(err, platform.ErrNotLeader), errors.Is(err, platform.ErrUnreachable):
		return duty.NotSent
	}
	return duty.Unanswered
}
