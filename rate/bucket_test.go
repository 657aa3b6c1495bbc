package rate

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// entry is one reservation in the log of a bucket.
type entry struct {
	taken, started clock.Time
	tokens, used   units.Tokens
	mark           StartSeq
}

var bucketLimit = Limit{Rate: 1000, Burst: 200}.part(0, 1)

// exercise drives a bucket at random and returns it with the log of what was
// started. Settled entries hold what they used, others what they reserved.
func exercise(d draw, f faults) (*Bucket, []*entry, clock.Time) {
	now := clock.Time(1000)
	b := NewBucket(now, bucketLimit, 0)
	b.faults = f
	var held, running, log []*entry
	for range 10 + d(200) {
		now = now.Add(clock.Span(d(40)))
		switch op := d(5); {
		case op < 2:
			e := &entry{taken: now}
			// Only free tokens, so that a start may follow at once.
			e.tokens = min(units.Tokens(1+d(150)), b.Level(now))
			if e.tokens > 0 {
				e.tokens, _ = b.Take(now, e.tokens)
				held = append(held, e)
			}
		case op < 4 && len(held) > 0 && (op == 2 || len(running) < 4):
			e := held[0]
			held = held[1:]
			e.started, e.used = now, e.tokens
			e.mark = b.Start(now, e.tokens)
			running = append(running, e)
			log = append(log, e)
		case op > 2 && len(running) > 3:
			i := d(len(running))
			e := running[i]
			running = append(running[:i], running[i+1:]...)
			e.used = units.Tokens(d(int(e.tokens) + 1))
			b.Refund(now, e.mark, e.tokens-e.used)
		}
	}
	for _, e := range held {
		b.Return(now, e.tokens)
	}
	return b, log, now
}

// ideal returns the fill of a bucket from which only used tokens were taken.
func ideal(log []*entry, now clock.Time) units.Tokens {
	b := NewBucket(1000, bucketLimit, 0)
	for _, e := range log {
		b.refill(e.started)
		b.level -= toMilli(e.used)
	}
	return b.Level(now)
}

// Guards against refunds that are too high (excess) or too low (tokens lost): a
// settled bucket equals one from which the unused tokens were never taken, up to
// the millisecond of refill that each refund below a full bucket costs.
func TestRefundIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, log, now := exercise(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, faults{})
		lack := ideal(log, now) - b.Level(now)
		assert.Assert(t, lack >= 0 && lack <= units.Tokens(len(log)+1), "lack of %d tokens", lack)
	})
}

// Guards against refund rules that have no effect: without them, a customer that
// takes what is in the bucket exceeds the bound, and with them it does not.
func TestRefundProtections(t *testing.T) {
	spend := func(seed uint64, f faults) int64 {
		b, log, now := exercise(rand.New(rand.NewPCG(seed, 3)).IntN, f)
		starts := make([]start, 0, len(log)+1)
		for _, e := range append(log, &entry{started: now, used: max(b.Level(now), 0)}) {
			starts = append(starts, start{at: micro(e.started) * microMilli, used: e.used})
		}
		return excess(starts, Limit{Rate: 1000, Burst: 200}, 1_000_000)
	}
	for name, f := range map[string]faults{"highest fill": {plainRefund: true}, "raised peaks": {noRaise: true}} {
		seed, found := uint64(0), int64(0)
		for ; seed < 2000 && found <= 0; seed++ {
			found = spend(seed, f)
			assert.Assert(t, spend(seed, faults{}) <= 0, "seed %d", seed)
		}
		assert.Assert(t, found > 0, name)
		t.Logf("without %s, seed %d: excess of %d tokens", name, seed-1, found/1e6)
	}
}

// Guards the bound on memory: merged peaks stay in order and only lower refunds.
func TestPeaksAreBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var p peaks
	fills := make([]milli, 0, 5000)
	for m := range StartSeq(5000) {
		fills = append(fills, milli(1_000_000-int(m)*100+r.IntN(20_000)))
		p.push(m+1, fills[m])
	}
	assert.Assert(t, len(p.queue) <= peaksMax)
	for m := range StartSeq(5000) {
		var exact milli
		for _, f := range fills[m:] {
			exact = max(exact, f)
		}
		assert.Assert(t, p.highest(m, 0) >= exact)
	}
}
