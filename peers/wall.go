package peers

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// stepSize is the difference from which on a clock was stepped: what daemons correct gradually stays below it.
	stepSize = 200 * clock.Millisecond
	// maxStepDelay is the longest time after which a stepped clock is used again. It is not used before it has shown its
	// new time for as long as it had shown the one before.
	maxStepDelay = 10 * clock.Minute
	// maxWallAge is the age from which on the time of day of another gateway's last digest no longer counts.
	maxWallAge = 30 * clock.Second
	// wallSettleTime is the time from the start after which the time of day is used although less than half of the
	// gateways have sent theirs.
	wallSettleTime = 3 * clock.Second
	// minWallAge is the least time from the start until the time of day is used.
	minWallAge = 300 * clock.Millisecond
	// wallDriftDivisor bounds the drift of two monotonic clocks: the elapsed time divided by it.
	wallDriftDivisor = 5_000
)

// steadyClock follows the difference between one machine's time of day and its monotonic clock. It passes over steps
// that are taken back.
type steadyClock struct {
	known bool
	// offset is the difference, believed since the time.
	offset clock.Span
	since  clock.Time
	// stepped is the difference after a step at steppedAt; steppedAt is 0 if there was none.
	stepped   clock.Span
	steppedAt clock.Time
}

// record records the difference at a time.
func (s *steadyClock) record(now clock.Time, offset clock.Span) {
	switch {
	case !s.known:
		*s = steadyClock{known: true, offset: offset, since: now}
	case near(offset, s.offset):
		s.offset, s.steppedAt = offset, 0
	case s.steppedAt == 0 || !near(offset, s.stepped):
		s.stepped, s.steppedAt = offset, now
	case now.Sub(s.steppedAt) >= min(s.steppedAt.Sub(s.since), maxStepDelay):
		*s = steadyClock{known: true, offset: offset, since: s.steppedAt}
	default:
		s.stepped = offset
	}
}

// near reports whether there is no step between two differences.
func near(a, b clock.Span) bool { return max(a-b, b-a) < stepSize }

// Wall estimates the time of day from the clocks of all gateways: it takes the middle one, so that clocks of fewer than
// half of the machines may be wrong by any amount. Each gateway passes on its own clock as steadyClock sees it. Times of
// other gateways are related to the local clock by the fastest of their messages. Wall is not safe for concurrent use.
type Wall struct {
	startedAt clock.Time
	own       steadyClock
	remotes   map[units.VMID]*remoteWall
	// offset is the last estimate, valid once known is set.
	offset clock.Span
	known  bool
	// clocks is the number of clocks that the estimate was made from.
	clocks int
}

// remoteWall is what is known of the time of day of one incarnation of another gateway.
type remoteWall struct {
	incarnation uint64
	// ahead is how far the local clock is ahead of the gateway's, plus the delay of the fastest message, in milliseconds.
	// Between two messages it grows by less than one.
	ahead      float64
	measuredAt clock.Time
	// offset is the difference from the gateway's clock to its time of day.
	offset clock.Span
}

// NewWall returns a Wall of a gateway that was started at a time.
func NewWall(startedAt clock.Time) *Wall {
	return &Wall{startedAt: startedAt, remotes: map[units.VMID]*remoteWall{}}
}

// RecordOwn records the machine's time of day at a time.
func (w *Wall) RecordOwn(now clock.Time, wall int64) { w.own.record(now, clock.Span(wall-int64(now))) }

// Own returns the machine's time of day at a time, steps left out; 0 if it was not recorded.
func (w *Wall) Own(now clock.Time) int64 {
	if !w.own.known {
		return 0
	}
	return int64(now.Add(w.own.offset))
}

// RecordDigest records what a digest says of its sender's time of day.
func (w *Wall) RecordDigest(d Digest) {
	if d.GetWallMs() == 0 {
		return
	}
	vm, ahead := units.VMID(d.GetVm()), float64(int64(d.ReceivedAt)-d.GetSentMs())
	r, ok := w.remotes[vm]
	if !ok || r.incarnation != d.GetLife() {
		r = &remoteWall{incarnation: d.GetLife(), ahead: ahead}
		w.remotes[vm] = r
	}
	r.ahead = min(r.ahead+float64(d.ReceivedAt.Sub(max(r.measuredAt, w.startedAt)))/wallDriftDivisor, ahead)
	r.measuredAt, r.offset = d.ReceivedAt, clock.Span(d.GetWallMs()-d.GetSentMs())
}

// Offset returns the difference from the local clock to the time of day, and whether it is known, given the number of
// gateways. Between two middle clocks it stays where it was.
func (w *Wall) Offset(now clock.Time, gateways int) (clock.Span, bool) {
	if !w.own.known {
		return 0, false
	}
	offsets := []clock.Span{w.own.offset}
	for vm, r := range w.remotes {
		if now.Sub(r.measuredAt) >= maxWallAge {
			delete(w.remotes, vm)
			continue
		}
		offsets = append(offsets, r.offset-clock.Span(math.Round(r.ahead)))
	}
	if !w.known {
		age := now.Sub(w.startedAt)
		if age < minWallAge || (2*len(offsets) <= gateways && age < wallSettleTime) {
			return 0, false
		}
	}
	w.clocks = len(offsets)
	slices.SortFunc(offsets, cmp.Compare[clock.Span])
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if w.known {
		w.offset = min(max(w.offset, low), high)
	} else {
		w.offset, w.known = low+(high-low)/2, true
	}
	return w.offset, true
}

// HasMajority reports whether more than half of the gateways' clocks are known, or there are no more than two. A lone gateway
// with a wrong clock must not decide for all.
func (w *Wall) HasMajority(gateways int) bool { return gateways <= 2 || 2*w.clocks > gateways }

// ReadWall returns the machine's time of day in milliseconds since 1970 at the returned time of the clock.
func ReadWall(c clock.Clock) (clock.Time, int64) {
	var at clock.Time
	var wall int64
	for range maxWallReads {
		before := c.Now()
		wall = time.Now().UnixMilli()
		if at = c.Now(); at.Sub(before) <= clock.Millisecond {
			break
		}
	}
	return at, wall
}

// maxWallReads is how often both clocks are read until they are read without a pause between them.
const maxWallReads = 5
