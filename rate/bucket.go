package rate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// StartSeq orders the moments at which tokens left a bucket.
type StartSeq uint64

// Bucket is a token bucket whose reservations may be started late and settled
// later still. Its fill is level + held: tokens that are free and tokens in
// grants that may still be started. The fill never exceeds the burst, so that a
// grant which is spent late can't add to a full bucket.
type Bucket struct {
	Share
	level milli
	held  milli
	// filled is the time up to which refills have been counted.
	filled clock.Time
	// from is when the bucket may be used.
	from   clock.Time
	mark   StartSeq
	peaks  peaks
	faults faults
}

// NewBucket returns a bucket with the given level, for use from the given time.
func NewBucket(from clock.Time, s Share, level units.Tokens) *Bucket {
	return &Bucket{Share: s, level: min(toMilli(level), s.burst), filled: from, from: from}
}

// SetShare changes rate and burst. Reservations of before are not refunded,
// because their room below the new burst is not known.
func (b *Bucket) SetShare(now clock.Time, s Share) {
	b.refill(now)
	b.Share = s
	b.refill(now)
	b.mark++
	b.peaks.queue = append(b.peaks.queue[:0], peak{mark: b.mark, fill: b.burst})
}

func (b *Bucket) fill() milli { return b.level + b.held }

func (b *Bucket) refill(now clock.Time) {
	if elapsed := milli(now.Sub(b.filled)); elapsed > 0 {
		room := b.burst - b.level
		if b.rate > 0 && elapsed > room/b.rate {
			b.level = b.burst
		} else {
			b.level += elapsed * b.rate
		}
		b.filled = now
	}
	top := b.burst - b.held
	if b.faults.freeHeld {
		top = b.burst
	}
	if b.level >= top {
		b.level = top
		// The clock is rounded down: the bucket may have become full at any moment
		// of this millisecond, so the next refill counts from its end.
		b.filled = now + 1
	}
}

// Level returns the free tokens, negative when coming refills have been granted.
func (b *Bucket) Level(now clock.Time) units.Tokens {
	b.refill(now)
	return b.level.tokens()
}

// Reserved returns the tokens in grants that may still be started.
func (b *Bucket) Reserved() units.Tokens { return b.held.tokens() }

// Take reserves up to n tokens, as many as are refilled within MaxWait, and
// returns the span until they may be used. With none, it returns the span until
// there would be some; -1: never.
func (b *Bucket) Take(now clock.Time, n units.Tokens) (units.Tokens, clock.Span) {
	b.refill(now)
	if now.Before(b.from) {
		return 0, b.from.Sub(now)
	}
	// Grants of coming refills may be started late, all in one moment, so that they
	// must not exceed the burst together with those before.
	room := min(b.level+b.rate*milli(MaxRefillWait), b.burst-b.held)
	if b.faults.debtAboveBurst || b.faults.freeHeld {
		room = b.level + b.rate*milli(MaxRefillWait)
	}
	n = min(n, room.tokens())
	if n <= 0 {
		return 0, b.wait(toMilli(1) - b.rate*milli(MaxRefillWait))
	}
	b.level -= toMilli(n)
	b.held += toMilli(n)
	return n, b.wait(0)
}

// wait returns the span until the level reaches the target.
func (b *Bucket) wait(target milli) clock.Span {
	lack := target - b.level
	if lack <= 0 {
		return 0
	}
	if b.rate == 0 {
		return -1
	}
	// One more millisecond, because the clock is rounded down.
	return clock.Span((lack+b.rate-1)/b.rate) + 1
}

// Start takes n reserved tokens out of the bucket, because they were started or
// may have been. The mark is for a later Refund.
func (b *Bucket) Start(now clock.Time, n units.Tokens) StartSeq {
	b.refill(now)
	b.mark++
	b.peaks.push(b.mark, b.fill())
	b.held -= toMilli(n)
	return b.mark
}

// Return puts n reserved tokens back that were not started.
func (b *Bucket) Return(now clock.Time, n units.Tokens) {
	b.refill(now)
	b.held -= toMilli(n)
	b.level += toMilli(n)
}

// Refund credits n tokens that were taken out at the mark but not used: as many as
// would be in the bucket had they never been taken out. It returns the credit.
func (b *Bucket) Refund(now clock.Time, since StartSeq, n units.Tokens) units.Tokens {
	b.refill(now)
	// One millisecond of refill less: when the bucket would have become full is
	// known to a millisecond only, and its refill would have paused there.
	room := b.burst - b.peaks.highest(since, b.fill()) - b.rate
	if b.faults.plainRefund {
		room = b.burst - b.fill()
	}
	credit := min(toMilli(n), max(room, 0))
	b.level += credit
	if !b.faults.noRaise {
		b.peaks.raise(since, credit)
	}
	return credit.tokens()
}
