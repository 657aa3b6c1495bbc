package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against a request that crashes each upstream that runs it: it comes again every
// 0.3 s at one of four gateways, among requests that run beside it. It may crash two, plus
// those that it reaches before the gateways can know of a crash.
func TestCrashingRequestIsStopped(t *testing.T) {
	const (
		upstreams = 12
		neighbors = 20
		// notice is how long after a crash the store drops the description.
		notice = 2 * clock.Second
		// spread is how often gateways tell each other.
		spread = 200 * clock.Millisecond
		// contact is how long after the third crash the request may still be sent.
		contact = 3 * clock.Second
	)
	r := rand.New(rand.NewPCG(7, 7))
	poison := retry.FingerprintOf("court", "/caption", []byte("poison"))
	gates := []*retry.CrashDetector{retry.NewCrashDetector(), retry.NewCrashDetector(), retry.NewCrashDetector(), retry.NewCrashDetector()}
	born := make([]int64, upstreams)
	dead := make([]clock.Time, upstreams)
	var third clock.Time
	crashes, late, wrong, next := 0, 0, 0, 0
	for now := clock.Time(0); now < 60_000; now += 100 {
		for _, g := range gates {
			g.CheckProcesses(now, func(u units.UpstreamID, b int64) bool {
				var i int
				fmt.Sscanf(string(u), "u%d", &i)
				return born[i] != b || dead[i] > 0 && now.Sub(dead[i]) > notice
			})
		}
		if now%clock.Time(spread) == 0 {
			exchange(now, gates)
		}
		for i := range dead {
			if dead[i] > 0 && now.Sub(dead[i]) > 4*clock.Second {
				dead[i] = 0
				born[i]++
			}
		}
		if now%300 != 0 {
			continue
		}
		g, i := gates[r.IntN(len(gates))], r.IntN(upstreams)
		if dead[i] > 0 || g.Rejects(now, poison) {
			continue
		}
		crashes++
		if crashes == 3 {
			third = now
		}
		if crashes > 3 && now.Sub(third) > contact {
			late++
		}
		dead[i] = max(now, 1)
		g.RecordBrokenResponse(now, poison, units.UpstreamID(fmt.Sprint("u", i)), born[i])
		for range neighbors {
			next++
			f := retry.FingerprintOf("exam", "/assist", fmt.Append(nil, next))
			h := gates[r.IntN(len(gates))]
			h.RecordBrokenResponse(now, f, units.UpstreamID(fmt.Sprint("u", i)), born[i])
			if h.Rejects(now, f) {
				wrong++
			}
		}
	}
	assert.Assert(t, crashes >= 2)
	assert.Equal(t, late, 0)
	assert.Equal(t, wrong, 0)
	for n := 1; n <= next; n++ {
		for _, g := range gates {
			assert.Assert(t, !g.Rejects(60_000, retry.FingerprintOf("exam", "/assist", fmt.Append(nil, n))))
		}
	}
}

func exchange(now clock.Time, gates []*retry.CrashDetector) {
	for _, from := range gates {
		for _, s := range from.List(now, 32) {
			for _, to := range gates {
				to.Merge(now, s)
			}
		}
	}
}

// Guards against blame for answers that broke off while their upstream went on.
func TestBrokenAnswerIsNoCrash(t *testing.T) {
	c := retry.NewCrashDetector()
	f := retry.FingerprintOf("court", "/caption", []byte("body"))
	for i := range clock.Time(10) {
		c.RecordBrokenResponse(i*100, f, "u1", 1)
		assert.Equal(t, c.CheckProcesses(i*100, func(units.UpstreamID, int64) bool { return false }), 0)
	}
	assert.Assert(t, !c.Rejects(1000, f))
	// The end of the process long after says nothing about the request.
	assert.Equal(t, c.CheckProcesses(10_000, func(units.UpstreamID, int64) bool { return true }), 0)
	assert.Equal(t, c.RecordProcessEnd(10_000, "u1"), 0)
}
