package rate

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// entry is one reservation of a test bucket.
type entry struct {
	taken, started clock.Time
	tokens, used   units.Tokens
	seq            StartSeq
}

var bucketLimit = Limit{Rate: 1000, Burst: 200}.slotShare(0, 1)

// exercise drives a bucket at random. It returns the bucket, the started reservations and the
// time of the end. Entries that were settled hold the tokens used, others those reserved.
func exercise(d drawInt, f faults) (*Bucket, []*entry, clock.Time) {
	now := clock.Time(1000)
	b := NewBucket(now, bucketLimit, 0)
	b.faults = f
	var reserved, running, log []*entry
	for range 10 + d(200) {
		now = now.Add(clock.Span(d(40)))
		switch op := d(5); {
		case op < 2:
			e := &entry{taken: now}
			// Only free tokens, so that the start may follow at once.
			e.tokens = min(units.Tokens(1+d(150)), b.Level(now))
			if e.tokens > 0 {
				e.tokens, _ = b.Take(now, e.tokens)
				reserved = append(reserved, e)
			}
		case op < 4 && len(reserved) > 0 && (op == 2 || len(running) < 4):
			e := reserved[0]
			reserved = reserved[1:]
			e.started, e.used = now, e.tokens
			e.seq = b.Start(now, e.tokens)
			running = append(running, e)
			log = append(log, e)
		case op > 2 && len(running) > 3:
			i := d(len(running))
			e := running[i]
			running = append(running[:i], running[i+1:]...)
			e.used = units.Tokens(d(int(e.tokens) + 1))
			b.Refund(now, e.seq, e.tokens-e.used)
		}
	}
	for _, e := range reserved {
		b.Return(now, e.tokens)
	}
	return b, log, now
}

// referenceLevel returns the level of a bucket from which only used tokens were taken.
func referenceLevel(log []*entry, now clock.Time) units.Tokens {
	b := NewBucket(1000, bucketLimit, 0)
	for _, e := range log {
		b.refill(e.started)
		b.level -= toMilliTokens(e.used)
	}
	return b.Level(now)
}

// Guards against refunds that are too high (excess) or too low (lost tokens). A settled bucket
// must equal one from which the unused tokens were never taken, except for the millisecond of
// refill that each refund below a full bucket costs.
func TestRefundIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, log, now := exercise(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, faults{})
		shortfall := referenceLevel(log, now) - b.Level(now)
		assert.Assert(t, shortfall >= 0 && shortfall <= units.Tokens(len(log)+1), "the bucket has %d tokens less than the reference", shortfall)
	})
}

// Guards against refund rules without effect: with one of them off, a customer that uses all
// tokens in the bucket exceeds the bound, and with all on it does not.
func TestRefundSafeguards(t *testing.T) {
	spend := func(seed uint64, f faults) int64 {
		b, log, now := exercise(rand.New(rand.NewPCG(seed, 3)).IntN, f)
		starts := make([]startedRequest, 0, len(log)+1)
		for _, e := range append(log, &entry{started: now, used: max(b.Level(now), 0)}) {
			starts = append(starts, startedRequest{at: simTime(e.started) * simMillisecond, used: e.used})
		}
		return excess(starts, Limit{Rate: 1000, Burst: 200}, 1_000_000)
	}
	for name, f := range map[string]faults{"highest fill": {refundIgnoresPeaks: true}, "raised peaks": {keepPeaks: true}} {
		seed, found := uint64(0), int64(0)
		for ; seed < 2000 && found <= 0; seed++ {
			found = spend(seed, f)
			assert.Assert(t, spend(seed, faults{}) <= 0, "seed %d", seed)
		}
		assert.Assert(t, found > 0, name)
		t.Logf("without %s, seed %d: excess of %d tokens", name, seed-1, found/1e6)
	}
}

// Guards the memory of a bucket: merged peaks stay in order and only lower refunds.
func TestPeaksAreBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var p peaks
	fills := make([]milliTokens, 0, 5000)
	for m := range StartSeq(5000) {
		fills = append(fills, milliTokens(1_000_000-int(m)*100+r.IntN(20_000)))
		p.push(m+1, fills[m])
	}
	assert.Assert(t, len(p.entries) <= maxPeaks)
	for m := range StartSeq(5000) {
		var exact milliTokens
		for _, f := range fills[m:] {
			exact = max(exact, f)
		}
		assert.Assert(t, p.highest(m, 0) >= exact)
	}
}
