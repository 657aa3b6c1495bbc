package gate

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
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
}

// stamp is a reading of the agent's clock with the time when it arrived.
type stamp struct {
	agent clock.Time
	heard clock.Time
}

// upstream is a connected agent. It lives as long as the session.
type upstream struct {
	id          units.UpstreamID
	zone        units.Zone
	session     *wire.Session
	clock       clock.Clock
	report      atomic.Pointer[report]
	stamp       atomic.Pointer[stamp]
	outstanding atomic.Int64
	leaving     atomic.Bool
}

func newUpstream(s *wire.Session, c clock.Clock) *upstream {
	p := s.Peer()
	return &upstream{id: units.UpstreamID(p.ID), zone: units.Zone(p.Zone), session: s, clock: c}
}

func (u *upstream) close(l *links) {
	l.disconnected(u)
	_ = u.session.Close()
}

// control runs the control stream until the session ends.
func (u *upstream) control(ctx context.Context, l *links) error {
	st, err := u.session.Open()
	if err != nil {
		return err
	}
	defer st.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closing the session also ends the pending Recv.
	stop := context.AfterFunc(ctx, func() { _ = u.session.Close() })
	defer stop()
	pinger := make(chan error, 1)
	go func() { pinger <- u.ping(ctx, st) }()
	err = u.receive(st, l)
	cancel()
	if pingErr := <-pinger; pingErr != nil {
		return pingErr
	}
	return err
}

func (u *upstream) ping(ctx context.Context, st *wire.Stream) error {
	started := u.clock.Now()
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for id := uint64(1); ; id++ {
		if err := st.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: id}}}); err != nil {
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
			stats.Event("agent_silent")
			_ = u.session.Close()
			return errSilent
		}
	}
}

func (u *upstream) receive(st *wire.Stream, l *links) error {
	listed := false
	for {
		f, err := st.Recv()
		if err != nil {
			return fmt.Errorf("control stream: %w", err)
		}
		u.handle(f)
		if !listed && u.stamp.Load() != nil && u.report.Load() != nil {
			listed = true
			l.connected(u)
		}
	}
}

func (u *upstream) handle(f *wire.Frame) {
	switch b := f.Body.(type) {
	case *wire.Frame_Pong:
		u.stamp.Store(&stamp{agent: clock.Time(b.Pong.Now), heard: u.clock.Now()})
	case *wire.Frame_Load:
		u.loaded(b.Load)
	case *wire.Frame_Leave:
		u.leaving.Store(true)
	default:
		stats.Event("control_frame_unknown")
	}
}

// loaded keeps the report unless a newer one has arrived: reports come on the
// control stream and on each request's stream.
func (u *upstream) loaded(l *wire.Load) {
	if l == nil {
		return
	}
	next := &report{load: l, heard: u.clock.Now()}
	for {
		old := u.report.Load()
		if old != nil && old.load.Sequence > l.Sequence {
			return
		}
		if u.report.CompareAndSwap(old, next) {
			return
		}
	}
}

// usable reports whether the agent may get new requests.
func (u *upstream) usable(now clock.Time) bool {
	return !u.leaving.Load() && now.Sub(u.stamp.Load().heard) <= silentSpan && !u.report.Load().load.Leaving
}

// offers reports whether the upstream serves the target.
func (u *upstream) offers(kind, target string) bool {
	l := u.report.Load().load
	if kind == kindService {
		return slices.Contains(l.Service, target)
	}
	return slices.Contains(l.Resident, target)
}

// permit translates the permit to the agent's clock. The last stamp is older than
// now, so the result can only be too early.
func (u *upstream) permit(p Permit, now clock.Time) *wire.Permit {
	last := u.stamp.Load()
	return &wire.Permit{
		Expires: int64(last.agent.Add(p.Expires.Sub(now))),
		Paid:    p.Paid,
	}
}
