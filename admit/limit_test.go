package admit_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/admit"
)

// flight is one call of an adapter in a simulation, in microseconds.
type flight struct {
	at, latency int64
	ticket      admit.ConcurrencySlot
}

type flights []flight

func (f flights) Len() int           { return len(f) }
func (f flights) Less(i, j int) bool { return f[i].at < f[j].at }
func (f flights) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *flights) Push(x any)        { *f = append(*f, x.(flight)) }
func (f *flights) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

// adapter returns the latency at a concurrency. Up to the knee it rises by rise of
// its least value, beyond the throughput is constant; noise is a share of it.
type adapter struct {
	least, rise, knee, noise float64
}

func (a adapter) latency(n float64) int64 {
	v := a.least * (1 + a.rise*min(n/a.knee, 1))
	v *= max(n/a.knee, 1)
	return int64(1000 * v * (1 + a.noise*(2*rand.Float64()-1)))
}

// saturate runs calls without a pause for the given time and returns the mean and
// the greatest concurrency in its second half.
func saturate(l *admit.ConcurrencyLimit, a adapter, micros int64) (mean float64, highest int) {
	var running flights
	now, sum, count := int64(0), 0, 0
	for now < micros {
		for {
			k, ok := l.Take()
			if !ok {
				break
			}
			d := a.latency(float64(len(running) + 1))
			heap.Push(&running, flight{now + d, d, k})
		}
		if now > micros/2 {
			highest = max(highest, len(running))
			sum += len(running)
			count++
		}
		f := heap.Pop(&running).(flight)
		now = f.at
		l.ReleaseMicros(f.ticket, f.latency, 1)
	}
	return float64(sum) / float64(count), highest
}

// Guards against a limit that lets latencies of adapters grow beyond the knee, or
// that leaves much of the upstream idle, at both sites and for latencies that are
// flat or rise below the knee.
func TestLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		adapter
	}{
		{"captions, flat", adapter{least: 6, rise: 0, knee: 50, noise: 1.0 / 6}},
		{"captions, rising", adapter{least: 5, rise: 0.4, knee: 50, noise: 0.05}},
		{"exams, flat", adapter{least: 7.5, rise: 0, knee: 70, noise: 1.0 / 3}},
		{"exams, rising", adapter{least: 5, rise: 1, knee: 70, noise: 0.05}},
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

// Guards against a limit that stays up after the upstream lost half of its speed.
func TestLimitFollows(t *testing.T) {
	l := admit.NewConcurrencyLimit(512)
	saturate(l, adapter{least: 6, knee: 70, noise: 0.1}, 10e6)
	mean, _ := saturate(l, adapter{least: 6, knee: 35, noise: 0.1}, 20e6)
	assert.Assert(t, mean <= 35, "mean %.1f", mean)
}
