package rate

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// StartSeq numbers the points in time at which tokens left a bucket.
type StartSeq uint64

// Bucket is a token bucket with two-phase spending: tokens are reserved by Take, started later
// and settled later still. Its fill is the sum of level (free tokens) and reserved (tokens in
// grants that may still be started). The fill never exceeds the burst, so that starting an old
// grant can't add to a full bucket.
type Bucket struct {
	Share
	level    milliTokens
	reserved milliTokens
	// refilledTo is the time up to which refills are included.
	refilledTo clock.Time
	// usableFrom is the time from which tokens may be taken.
	usableFrom clock.Time
	seq        StartSeq
	peaks      peaks
	faults     faults
}

// NewBucket returns a bucket with the given level, limited to the burst, that can be used from
// usableFrom.
func NewBucket(usableFrom clock.Time, s Share, level units.Tokens) *Bucket {
	return &Bucket{
		Share: s, level: min(toMilliTokens(level), s.burst), refilledTo: usableFrom,
		usableFrom: usableFrom,
	}
}

// SetShare changes rate and burst. What was reserved before the change is not refunded,
// because the room that it would have had below the new burst is not known.
func (b *Bucket) SetShare(now clock.Time, s Share) {
	b.refill(now)
	b.Share = s
	b.refill(now)
	b.seq++
	b.peaks.entries = append(b.peaks.entries[:0], peak{seq: b.seq, fill: b.burst})
}

// fill returns the free and reserved tokens.
func (b *Bucket) fill() milliTokens { return b.level + b.reserved }

// refill adds the tokens since the last refill, up to the burst.
func (b *Bucket) refill(now clock.Time) {
	if elapsed := milliTokens(now.Sub(b.refilledTo)); elapsed > 0 {
		room := b.burst - b.level
		if b.rate > 0 && elapsed > room/b.rate {
			b.level = b.burst
		} else {
			b.level += elapsed * b.rate
		}
		b.refilledTo = now
	}
	maxLevel := b.burst - b.reserved
	if b.faults.ignoreReserved {
		maxLevel = b.burst
	}
	if b.level >= maxLevel {
		b.level = maxLevel
		// The clock is rounded down: the bucket may have become full at any time within this
		// millisecond, so the next refill counts from the end of it.
		b.refilledTo = now + 1
	}
}

// Level returns the free tokens; negative if future refills have been granted.
func (b *Bucket) Level(now clock.Time) units.Tokens {
	b.refill(now)
	return b.level.tokens()
}

// Reserved returns the tokens in grants that may still be started.
func (b *Bucket) Reserved() units.Tokens { return b.reserved.tokens() }

// Take reserves up to n tokens, limited to those that are refilled within MaxRefillWait. It
// returns the tokens reserved and the span until they may be used. If none are reserved, the
// span is the time until some could be; -1 means never.
func (b *Bucket) Take(now clock.Time, n units.Tokens) (units.Tokens, clock.Span) {
	b.refill(now)
	if now.Before(b.usableFrom) {
		return 0, b.usableFrom.Sub(now)
	}
	// Grants of future refills may be started late and all at once. Together with earlier
	// grants they must not exceed the burst.
	room := min(b.level+b.rate*milliTokens(MaxRefillWait), b.burst-b.reserved)
	if b.faults.overdrawBurst || b.faults.ignoreReserved {
		room = b.level + b.rate*milliTokens(MaxRefillWait)
	}
	n = min(n, room.tokens())
	if n <= 0 {
		return 0, b.refillWait(toMilliTokens(1) - b.rate*milliTokens(MaxRefillWait))
	}
	b.level -= toMilliTokens(n)
	b.reserved += toMilliTokens(n)
	return n, b.refillWait(0)
}

// refillWait returns the span until the level reaches the target; -1 means never.
func (b *Bucket) refillWait(target milliTokens) clock.Span {
	shortfall := target - b.level
	if shortfall <= 0 {
		return 0
	}
	if b.rate == 0 {
		return -1
	}
	// One millisecond is added because the clock is rounded down.
	return clock.Span((shortfall+b.rate-1)/b.rate) + 1
}

// Start removes n reserved tokens, because they were started or may have been. The result
// identifies the start for a later Refund.
func (b *Bucket) Start(now clock.Time, n units.Tokens) StartSeq {
	b.refill(now)
	b.seq++
	b.peaks.push(b.seq, b.fill())
	b.reserved -= toMilliTokens(n)
	return b.seq
}

// Return makes n reserved tokens free again, because they were not started.
func (b *Bucket) Return(now clock.Time, n units.Tokens) {
	b.refill(now)
	b.reserved -= toMilliTokens(n)
	b.level += toMilliTokens(n)
}

// Refund credits n tokens that were removed by the start since but not used. The credit is
// limited to what would still be in the bucket if they had never been removed. It returns the
// credit.
func (b *Bucket) Refund(now clock.Time, since StartSeq, n units.Tokens) units.Tokens {
	b.refill(now)
	// One millisecond of refill is subtracted: the time at which the bucket would have been
	// full, and its refill paused, is known to a millisecond only.
	room := b.burst - b.peaks.highest(since, b.fill()) - b.rate
	if b.faults.refundIgnoresPeaks {
		room = b.burst - b.fill()
	}
	credit := min(toMilliTokens(n), max(room, 0))
	b.level += credit
	if !b.faults.keepPeaks {
		b.peaks.raise(since, credit)
	}
	return credit.tokens()
}
