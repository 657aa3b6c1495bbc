package peers

import (
	"net/netip"
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// measureInterval is the time after which the difference to another gateway's clock is measured
	// again, measureRetry the time after which an unanswered request is repeated.
	measureInterval = 10 * clock.Second
	measureRetry    = 200 * clock.Millisecond
	// maxMeasureAge is the age at which a measurement is discarded.
	maxMeasureAge = clock.Minute
	// driftDivisor bounds how far two clocks drift apart: by the elapsed time divided by it.
	driftDivisor = 1000
)

// Clocks converts times of other gateways' clocks to this gateway's clock. The time at which a message
// is read says nothing about when it was sent: it may have waited on the way, or in the socket's
// buffer while this process was paused. Clocks therefore asks the sender for its clock. The answer was
// made after the question, so that a time t of the sender's clock is not earlier than
// asked + t - answered on this clock, however long the question and the answer took. It is safe for
// concurrent use.
type Clocks struct {
	clock clock.Clock
	// life identifies this incarnation.
	life uint64

	mu sync.Mutex // guards remotes
	// remotes holds what is known of other gateways' clocks, by incarnation.
	remotes map[uint64]*remoteClock
}

// remoteClock is what is known of the clock of one incarnation of another gateway.
type remoteClock struct {
	// offset is at most the difference from its clock to this one; it is valid if measuredAt is not 0.
	offset     clock.Span
	measuredAt clock.Time
	// askedAt is when the last request was sent.
	askedAt clock.Time
}

func newClocks(c clock.Clock, life uint64) *Clocks {
	return &Clocks{clock: c, life: life, remotes: map[uint64]*remoteClock{}}
}

// local returns a time on this clock that is not later than the sender's time, and whether it is known.
// It also reports whether the sender has to be asked for its clock.
func (c *Clocks) local(life uint64, sent clock.Time) (at clock.Time, known, ask bool) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.remotes[life]
	if !ok {
		c.removeOld(now)
		r = &remoteClock{}
		c.remotes[life] = r
	}
	known = r.measuredAt != 0 && now.Sub(r.measuredAt) < maxMeasureAge
	if known {
		at = min(sent.Add(r.offset-drift(now.Sub(r.measuredAt))), now)
	}
	due := r.measuredAt == 0 || now.Sub(r.measuredAt) >= measureInterval
	if due && (r.askedAt == 0 || now.Sub(r.askedAt) >= measureRetry) {
		r.askedAt, ask = now, true
	}
	return at, known, ask
}

// drift returns how far two clocks drift apart in a span at most.
func drift(s clock.Span) clock.Span { return s/driftDivisor + clock.Millisecond }

// removeOld removes incarnations that were not asked for some time. c.mu must be held.
func (c *Clocks) removeOld(now clock.Time) {
	for life, r := range c.remotes {
		if now.Sub(r.askedAt) >= maxMeasureAge {
			delete(c.remotes, life)
		}
	}
}

// request returns a request for a gateway's clock.
func (c *Clocks) request() *wire.Datagram {
	return &wire.Datagram{Body: &wire.Datagram_ClockRequest{ClockRequest: &wire.ClockRequest{
		Life: c.life, AskedMs: int64(c.clock.Now()),
	}}}
}

// answer returns the answer to a request that was just received.
func (c *Clocks) answer(r *wire.ClockRequest) *wire.Datagram {
	return &wire.Datagram{Body: &wire.Datagram_ClockAnswer{ClockAnswer: &wire.ClockAnswer{
		AskerLife: r.GetLife(), AskedMs: r.GetAskedMs(), Life: c.life, ClockMs: int64(c.clock.Now()),
	}}}
}

// recordAnswer records an answer. Answers to an earlier process on this VM are ignored, and so are those
// that took so long that an earlier one says more.
func (c *Clocks) recordAnswer(a *wire.ClockAnswer) {
	now, asked := c.clock.Now(), clock.Time(a.GetAskedMs())
	if a.GetAskerLife() != c.life || asked.After(now) {
		stats.Event("clock_answers_ignored")
		return
	}
	offset := asked.Sub(clock.Time(a.GetClockMs()))
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.remotes[a.GetLife()]
	if !ok {
		return
	}
	if r.measuredAt != 0 {
		offset = max(offset, r.offset-drift(now.Sub(r.measuredAt)))
	}
	r.offset, r.measuredAt = offset, now
}

// SentAt returns a time on this gateway's clock that is not later than a time of the sender's clock, and
// whether it is known. sent is the sender's clock when it made a message, 0 if it didn't say, and from
// the address from which the message came. If the sender's clock isn't known well, it is asked for.
func (p *Transport) SentAt(from netip.AddrPort, life uint64, sent clock.Time) (clock.Time, bool) {
	if sent == 0 {
		return 0, false
	}
	at, known, ask := p.clocks.local(life, sent)
	if ask {
		p.Reply(p.clocks.request(), from)
	}
	return at, known
}
