package admit_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/admit"
)

// call is one call of an adapter in a simulation; endsAt is in microseconds.
type call struct {
	endsAt, latencyMicros int64
	slot                  admit.ConcurrencySlot
}

type callHeap []call

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(call)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// adapter models the latency of an adapter over the concurrency. Up to the knee, it rises from
// baseMillis by the factor 1 + relativeRise; above, the throughput is constant. noise is the
// maximum relative deviation.
type adapter struct {
	baseMillis, relativeRise, knee, noise float64
}

func (a adapter) latencyMicros(concurrency float64) int64 {
	millis := a.baseMillis * (1 + a.relativeRise*min(concurrency/a.knee, 1))
	millis *= max(concurrency/a.knee, 1)
	return int64(1000 * millis * (1 + a.noise*(2*rand.Float64()-1)))
}

// saturate runs calls at the limit for the given time, and returns the mean and the highest
// concurrency in the second half of that time.
func saturate(l *admit.ConcurrencyLimit, a adapter, durationMicros int64) (mean float64, highest int) {
	var running callHeap
	now, sum, count := int64(0), 0, 0
	for now < durationMicros {
		for {
			slot, ok := l.Take()
			if !ok {
				break
			}
			latency := a.latencyMicros(float64(len(running) + 1))
			heap.Push(&running, call{now + latency, latency, slot})
		}
		if now > durationMicros/2 {
			highest = max(highest, len(running))
			sum += len(running)
			count++
		}
		ended := heap.Pop(&running).(call)
		now = ended.endsAt
		l.ReleaseMicros(ended.slot, ended.latencyMicros, 1)
	}
	return float64(sum) / float64(count), highest
}

// Guards against a limit above the knee, where the latency grows without more throughput, and
// against one that leaves the upstream partly idle. The knees and noise are those of the adapters
// of both sites, with a latency that is flat or rises below the knee.
func TestConcurrencyLimitStaysBelowKnee(t *testing.T) {
	for _, c := range []struct {
		name string
		adapter
	}{
		{"captions, flat", adapter{baseMillis: 6, relativeRise: 0, knee: 50, noise: 1.0 / 6}},
		{"captions, rising", adapter{baseMillis: 5, relativeRise: 0.4, knee: 50, noise: 0.05}},
		{"exams, flat", adapter{baseMillis: 7.5, relativeRise: 0, knee: 70, noise: 1.0 / 3}},
		{"exams, rising", adapter{baseMillis: 5, relativeRise: 1, knee: 70, noise: 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := admit.NewConcurrencyLimit(512)
			mean, highest := saturate(l, c.adapter, 20e6)
			t.Logf("mean %.1f, highest %d", mean, highest)
			assert.Assert(t, mean <= c.knee, "mean %.1f", mean)
			assert.Assert(t, mean >= 0.75*c.knee, "mean %.1f", mean)
			assert.Assert(t, float64(highest) <= 1.25*c.knee, "highest %d", highest)
		})
	}
}

// Guards against a limit that doesn't fall after the upstream has lost half of its capacity.
func TestConcurrencyLimitFollowsCapacityLoss(t *testing.T) {
	l := admit.NewConcurrencyLimit(512)
	saturate(l, adapter{baseMillis: 6, knee: 70, noise: 0.1}, 10e6)
	mean, _ := saturate(l, adapter{baseMillis: 6, knee: 35, noise: 0.1}, 20e6)
	assert.Assert(t, mean <= 35, "mean %.1f", mean)
}
