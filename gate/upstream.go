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
	errSilent = errors.New("peer does not answer pings")
)

const (
	pingInterval = 250 * time.Millisecond
	// silentSpan is the age of the last Pong at which an agent gets no new requests.
	silentSpan = 1500 * clock.Millisecond
	// lostSpan is the age of the last Pong at which the session is closed.
	lostSpan = 5 * clock.Second
)

// report is a load report with the time when it arrived.
type report struct {
	load  *wire.Load
	heard clock.Time
	// resident and services are the targets of the report as sets.
	resident set
	services set
}

type set map[string]struct{}

// setOf returns the names as a set, which is that of the last report when the names
// are the same.
func setOf(names, lastNames []string, last set) set {
	if last != nil && slices.Equal(names, lastNames) {
		return last
	}
	s := make(set, len(names))
	for _, n := range names {
		s[n] = struct{}{}
	}
	return s
}

// newReport returns the report that follows the last one, if any.
func newReport(l *wire.Load, heard clock.Time, last *report) *report {
	if last == nil {
		last = &report{}
	}
	return &report{
		load:     l,
		heard:    heard,
		resident: setOf(l.Resident, last.load.GetResident(), last.resident),
		services: setOf(l.Service, last.load.GetService(), last.services),
	}
}

// stamp is a reading of the agent's clock with the time when it arrived.
type stamp struct {
	agent rate.ClockSample
	heard clock.Time
}

// ping is the last Ping sent.
type ping struct {
	id   uint64
	sent clock.Time
}

// upstream is a connected agent, or another gateway. It lives as long as the
// session.
type upstream struct {
	id          units.UpstreamID
	zone        units.Zone
	session     *wire.Session
	control     *wire.Stream
	server      *Server
	clock       clock.Clock
	report      atomic.Pointer[report]
	stamp       atomic.Pointer[stamp]
	pinged      atomic.Pointer[ping]
	outstanding atomic.Int64
	leaving     atomic.Bool
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

func (u *upstream) close(l *links) {
	l.disconnected(u)
	u.server.options.Peers.Disconnected(u.session.Peer(), u)
	_ = u.session.Close()
}

// run serves the control stream until the session ends.
func (u *upstream) run(ctx context.Context, l *links) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closing the session also ends the pending Recv.
	stop := context.AfterFunc(ctx, func() { _ = u.session.Close() })
	defer stop()
	pinger := make(chan error, 1)
	go func() { pinger <- u.ping(ctx) }()
	err := u.receive(l)
	cancel()
	if pingErr := <-pinger; pingErr != nil {
		return pingErr
	}
	return err
}

func (u *upstream) ping(ctx context.Context) error {
	started := u.clock.Now()
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for id := uint64(1); ; id++ {
		u.pinged.Store(&ping{id: id, sent: u.clock.Now()})
		if err := u.control.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: id}}}); err != nil {
			_ = u.session.Close()
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		heard := started
		if s := u.stamp.Load(); s != nil {
			heard = s.heard
		}
		if u.clock.Now().Sub(heard) > lostSpan {
			stats.Event("link_silent")
			_ = u.session.Close()
			return errSilent
		}
	}
}

func (u *upstream) receive(l *links) error {
	listed := false
	for {
		f, err := u.control.Recv()
		if err != nil {
			return fmt.Errorf("control stream: %w", err)
		}
		u.handle(f)
		if !listed && u.known(l.role) {
			listed = true
			l.connected(u)
			u.server.options.Peers.Connected(u.session.Peer(), u)
		}
	}
}

// known reports whether enough has arrived to use the process.
func (u *upstream) known(r wire.Role) bool {
	return u.stamp.Load() != nil && (r == wire.Gateway || u.report.Load() != nil)
}

func (u *upstream) handle(f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Pong:
		u.ponged(b.Pong)
	case *wire.Frame_Load:
		u.loaded(b.Load)
	case *wire.Frame_Leave:
		u.leaving.Store(true)
	default:
		u.server.control(u.session.Peer(), f, u.control.Send)
	}
}

// ponged records the peer's clock. A Pong that is not for the last Ping is older than
// the one for it and tells nothing more.
func (u *upstream) ponged(p *wire.Pong) {
	last := u.pinged.Load()
	if last == nil || p.Id != last.id {
		return
	}
	now := u.clock.Now()
	u.stamp.Store(&stamp{agent: rate.NewClockSample(now, clock.Time(p.Now)), heard: now})
	u.server.options.Peers.Answered(u.session.Peer(), last.sent)
}

// loaded keeps the report unless a newer one has arrived: reports come on the
// control stream and on each request's stream.
func (u *upstream) loaded(l *wire.Load) {
	if l == nil {
		return
	}
	now := u.clock.Now()
	for {
		old := u.report.Load()
		if old != nil && old.load.Sequence > l.Sequence {
			return
		}
		if u.report.CompareAndSwap(old, newReport(l, now, old)) {
			if old == nil || offersMore(old.load, l) {
				u.server.changed.announce()
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
	return !u.leaving.Load() && now.Sub(u.stamp.Load().heard) <= silentSpan && !u.report.Load().load.Leaving
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

// permit translates the permit to the agent's clock.
func (u *upstream) permit(p Permit) *wire.Permit {
	return &wire.Permit{Expires: int64(u.stamp.Load().agent.AgentExpiry(p.Expires)), Paid: p.Paid}
}
