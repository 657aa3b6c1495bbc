package gate

import (
	"context"
	"fmt"
	"slices"
	"sync"
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
	errNoPong = errors.New("peer does not respond to pings")
)

const (
	pingInterval = 250 * time.Millisecond
	// maxAnsweredPingAge is the age of the last answered Ping above which an agent gets no new
	// requests. The age counts from the sending of the Ping, so that it bounds the delay of Pongs too.
	maxAnsweredPingAge = 1500 * clock.Millisecond
	// sessionTimeout is the age of the last answered Ping above which the session is closed.
	sessionTimeout = 5 * clock.Second
)

// receivedReport is a load report with the local time at which it arrived.
type receivedReport struct {
	load       *wire.Load
	receivedAt clock.Time
	// resident and services are the target lists of the report as sets.
	resident nameSet
	services nameSet
}

// nameSet is a set of target names.
type nameSet map[string]struct{}

// newNameSet returns the names as a set. It reuses the last set when the names have not changed.
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

// newReceivedReport returns the report that follows the last one, which may be nil.
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

// clockReading is a reading of the peer's clock with the local time at which the Ping was sent that
// it answers.
type clockReading struct {
	sample     rate.ClockSample
	pingSentAt clock.Time
}

// sentPing is a Ping that was sent.
type sentPing struct {
	id     uint64
	sentAt clock.Time
}

// sentPings holds the Pings since the last answered one, in the order of their IDs. The session
// ends after sessionTimeout without a Pong, which bounds their number.
type sentPings struct {
	mu   sync.Mutex
	list []sentPing
}

func (s *sentPings) add(p sentPing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, p)
}

// answered returns when the Ping was sent, and removes it and all earlier ones. ok is false if it
// was removed before, or never sent.
func (s *sentPings) answered(id uint64) (sentAt clock.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.list, func(p sentPing) bool { return p.id == id })
	if i < 0 {
		return 0, false
	}
	sentAt = s.list[i].sentAt
	s.list = slices.Delete(s.list, 0, i+1)
	return sentAt, true
}

// upstream is a connected agent or, in the set of gateways, another gateway. It exists as long as
// the session.
type upstream struct {
	id           units.UpstreamID
	zone         units.Zone
	session      *wire.Session
	control      *wire.Stream
	server       *Server
	clock        clock.Clock
	report       atomic.Pointer[receivedReport]
	clockReading atomic.Pointer[clockReading]
	pings        sentPings
	outstanding  atomic.Int64
	draining     atomic.Bool
}

// newUpstream opens the control stream of the session.
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

// close removes the process from l and closes the session.
func (u *upstream) close(l *linkSet) {
	l.removeUpstream(u)
	u.server.options.Peers.Disconnected(u.session.Peer(), u)
	_ = u.session.Close()
}

// run serves the control stream until the session ends. It returns why it ended.
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

// sendPings sends a Ping every pingInterval. It closes the session when Pongs stop arriving.
func (u *upstream) sendPings(ctx context.Context) error {
	started := u.clock.Now()
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for id := uint64(1); ; id++ {
		u.pings.add(sentPing{id: id, sentAt: u.clock.Now()})
		if err := u.control.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: id}}}); err != nil {
			_ = u.session.Close()
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		lastAnswered := started
		if r := u.clockReading.Load(); r != nil {
			lastAnswered = r.pingSentAt
		}
		if u.clock.Now().Sub(lastAnswered) > sessionTimeout {
			stats.Event("link_silent")
			_ = u.session.Close()
			return errNoPong
		}
	}
}

// receive handles control frames until the session ends. It adds the process to l once it is ready.
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

// ready reports whether the messages have arrived that are needed to use the process: a Pong and,
// from an agent, a load report.
func (u *upstream) ready(r wire.Role) bool {
	return u.clockReading.Load() != nil && (r == wire.Gateway || u.report.Load() != nil)
}

// handle processes a control frame.
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

// handlePong records the peer's clock. A Pong may arrive after further Pings have been sent; one for
// an earlier Ping than the last answered one is ignored, because its reading is older.
func (u *upstream) handlePong(p *wire.Pong) {
	sentAt, ok := u.pings.answered(p.Id)
	if !ok {
		return
	}
	sample := rate.NewClockSample(u.clock.Now(), clock.Time(p.Now))
	u.clockReading.Store(&clockReading{sample: sample, pingSentAt: sentAt})
	u.server.options.Peers.Answered(u.session.Peer(), sentAt, clock.Time(p.Now), p.Versions)
}

// updateLoad stores the load report unless a newer one has arrived already: reports come both on
// the control stream and on the streams of requests.
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

// offersMore reports whether the upstream may accept requests with the new load that it did not
// accept with the old one.
func offersMore(old, l *wire.Load) bool {
	return old.Leaving && !l.Leaving || !slices.Equal(old.Resident, l.Resident) || old.Allowance != l.Allowance
}

// usable reports whether the agent may get new requests: it is not draining and answers pings.
func (u *upstream) usable(now clock.Time) bool {
	return !u.leaving() && u.answersPings(now)
}

// leaving reports whether the agent has announced its stop, or its upstream leaves.
func (u *upstream) leaving() bool { return u.draining.Load() || u.report.Load().load.Leaving }

// answersPings reports whether the process has answered a recent Ping.
func (u *upstream) answersPings(now clock.Time) bool {
	return now.Sub(u.clockReading.Load().pingSentAt) <= maxAnsweredPingAge
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

// agentPermit converts the expiry of the permit to the agent's clock.
func (u *upstream) agentPermit(p Permit) *wire.Permit {
	return &wire.Permit{Expires: int64(u.clockReading.Load().sample.AgentExpiry(p.Expires)), Paid: p.Paid}
}
