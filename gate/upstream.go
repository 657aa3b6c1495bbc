package gate

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

var (
	errRole   = errors.New("peer has the wrong role")
	errNoPong = errors.New("peer does not answer pings")
)

const (
	pingInterval = 250 * time.Millisecond
	// maxPongAge is the age of the last Pong at which an agent gets no new requests.
	maxPongAge = 1500 * clock.Millisecond
	// sessionTimeout is the age of the last Pong at which the session is closed.
	sessionTimeout = 5 * clock.Second
)

// receivedReport is a load report with the time when it arrived.
type receivedReport struct {
	load       *wire.Load
	receivedAt clock.Time
	// resident and services are the targets of the report as sets.
	resident nameSet
	services nameSet
}

type nameSet map[string]struct{}

// newNameSet returns the names as a set, which is that of the last report when the names
// are the same.
func newNameSet(names, lastNames []string, last nameSet) nameSet {
	if last != nil && slices.Equal(names, lastNames) {
		return last
	}
	s := make(nameSet, len(names))
	for _, n := range names {
		s[n] = struct{}{}
	}
	return s
}

// newReceivedReport returns the report that follows the last one, if any.
func newReceivedReport(l *wire.Load, receivedAt clock.Time, last *receivedReport) *receivedReport {
	if last == nil {
		last = &receivedReport{}
	}
	return &receivedReport{
		load:       l,
		receivedAt: receivedAt,
		resident:   newNameSet(l.Resident, last.load.GetResident(), last.resident),
		services:   newNameSet(l.Service, last.load.GetService(), last.services),
	}
}

// clockReading is a reading of the agent's clock with the time when it arrived.
type clockReading struct {
	sample     rate.ClockSample
	receivedAt clock.Time
}

// sentPing is the last Ping sent.
type sentPing struct {
	id     uint64
	sentAt clock.Time
}

// upstream is a connected agent, or another gateway. It lives as long as the
// session.
type upstream struct {
	id           units.UpstreamID
	zone         units.Zone
	session      *wire.Session
	control      *wire.Stream
	server       *Server
	clock        clock.Clock
	report       atomic.Pointer[receivedReport]
	clockReading atomic.Pointer[clockReading]
	lastPing     atomic.Pointer[sentPing]
	outstanding  atomic.Int64
	draining     atomic.Bool
}

func newUpstream(s *wire.Session, server *Server) (*upstream, error) {
	st, err := s.Open()
	if err != nil {
		return nil, err
	}
	p := s.Peer()
	return &upstream{
		id:      units.UpstreamID(p.ID),
		zone:    units.Zone(p.Zone),
		session: s,
		control: st,
		server:  server,
		clock:   server.clock,
	}, nil
}

func (u *upstream) close(l *linkSet) {
	l.removeUpstream(u)
	u.server.options.Peers.Disconnected(u.session.Peer(), u)
	_ = u.session.Close()
}

// run serves the control stream until the session ends.
func (u *upstream) run(ctx context.Context, l *linkSet) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closing the session also ends the pending Recv.
	stop := context.AfterFunc(ctx, func() { _ = u.session.Close() })
	defer stop()
	pinger := make(chan error, 1)
	go func() { pinger <- u.sendPings(ctx) }()
	err := u.receive(l)
	cancel()
	if pingErr := <-pinger; pingErr != nil {
		return pingErr
	}
	return err
}

func (u *upstream) sendPings(ctx context.Context) error {
	started := u.clock.Now()
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for id := uint64(1); ; id++ {
		u.lastPing.Store(&sentPing{id: id, sentAt: u.clock.Now()})
		if err := u.control.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: id}}}); err != nil {
			_ = u.session.Close()
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		lastPong := started
		if s := u.clockReading.Load(); s != nil {
			lastPong = s.receivedAt
		}
		if u.clock.Now().Sub(lastPong) > sessionTimeout {
			stats.Event("link_silent")
			_ = u.session.Close()
			return errNoPong
		}
	}
}

func (u *upstream) receive(l *linkSet) error {
	added := false
	for {
		f, err := u.control.Recv()
		if err != nil {
			return fmt.Errorf("control stream: %w", err)
		}
		u.handle(f)
		if !added && u.ready(l.role) {
			added = true
			l.addUpstream(u)
			u.server.options.Peers.Connected(u.session.Peer(), u)
		}
	}
}

// ready reports whether enough has arrived to use the process.
func (u *upstream) ready(r wire.Role) bool {
	return u.clockReading.Load() != nil && (r == wire.Gateway || u.report.Load() != nil)
}

func (u *upstream) handle(f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Pong:
		u.handlePong(b.Pong)
	case *wire.Frame_Load:
		u.updateLoad(b.Load)
	case *wire.Frame_Leave:
		u.draining.Store(true)
	default:
		u.server.handleControl(u.session.Peer(), f, u.control.Send)
	}
}

// handlePong records the peer's clock. A Pong that is not for the last Ping is older than
// the one for it and tells nothing more.
func (u *upstream) handlePong(p *wire.Pong) {
	last := u.lastPing.Load()
	if last == nil || p.Id != last.id {
		return
	}
	now := u.clock.Now()
	u.clockReading.Store(&clockReading{sample: rate.NewClockSample(now, clock.Time(p.Now)), receivedAt: now})
	u.server.options.Peers.Answered(u.session.Peer(), last.sentAt)
}

// updateLoad keeps the report unless a newer one has arrived: reports come on the
// control stream and on each request's stream.
func (u *upstream) updateLoad(l *wire.Load) {
	if l == nil {
		return
	}
	now := u.clock.Now()
	for {
		old := u.report.Load()
		if old != nil && old.load.Sequence > l.Sequence {
			return
		}
		if u.report.CompareAndSwap(old, newReceivedReport(l, now, old)) {
			if old == nil || offersMore(old.load, l) {
				u.server.capacityChanged.notify()
			}
			return
		}
	}
}

// offersMore reports whether the later load may let requests run that the earlier
// one did not.
func offersMore(old, l *wire.Load) bool {
	return old.Leaving && !l.Leaving || !slices.Equal(old.Resident, l.Resident) || old.Allowance != l.Allowance
}

// usable reports whether the agent may get new requests.
func (u *upstream) usable(now clock.Time) bool {
	return !u.draining.Load() && now.Sub(u.clockReading.Load().receivedAt) <= maxPongAge && !u.report.Load().load.Leaving
}

// offers reports whether the upstream serves the target.
func (u *upstream) offers(kind, target string) bool {
	r := u.report.Load()
	targets := r.resident
	if kind == kindService {
		targets = r.services
	}
	_, ok := targets[target]
	return ok
}

// agentPermit translates the permit to the agent's clock.
func (u *upstream) agentPermit(p Permit) *wire.Permit {
	return &wire.Permit{Expires: int64(u.clockReading.Load().sample.AgentExpiry(p.Expires)), Paid: p.Paid}
}
