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

// Guards against a request that crashes one upstream after another. It is sent every 0.3 s to one
// of four gateways and runs beside other requests. It may crash two upstreams, plus those that it
// reaches before the gateways detect the crashes; the other requests must not be rejected.
func TestCrashingRequestIsStopped(t *testing.T) {
	const (
		upstreams = 12
		neighbors = 20
		// detectionDelay is the time from a crash until the store drops the upstream's
		// description.
		detectionDelay = 2 * clock.Second
		// exchangeInterval is the interval at which gateways exchange suspects.
		exchangeInterval = 200 * clock.Millisecond
		// propagationTime is the time after the third crash during which the request may still
		// run.
		propagationTime = 3 * clock.Second
	)
	random := rand.New(rand.NewPCG(7, 7))
	crashing := retry.FingerprintOf("court", "/caption", []byte("poison"))
	detectors := []*retry.CrashDetector{retry.NewCrashDetector(), retry.NewCrashDetector(), retry.NewCrashDetector(), retry.NewCrashDetector()}
	processStart := make([]int64, upstreams)
	crashedAt := make([]clock.Time, upstreams)
	var thirdCrash clock.Time
	crashes, lateCrashes, falseRejections, neighborRequests := 0, 0, 0, 0
	for now := clock.Time(0); now < 60_000; now += 100 {
		for _, d := range detectors {
			d.CheckProcesses(now, func(u units.UpstreamID, start int64) bool {
				var i int
				fmt.Sscanf(string(u), "u%d", &i)
				return processStart[i] != start || crashedAt[i] > 0 && now.Sub(crashedAt[i]) > detectionDelay
			})
		}
		if now%clock.Time(exchangeInterval) == 0 {
			exchangeSuspects(now, detectors)
		}
		for i := range crashedAt {
			if crashedAt[i] > 0 && now.Sub(crashedAt[i]) > 4*clock.Second {
				crashedAt[i] = 0
				processStart[i]++
			}
		}
		if now%300 != 0 {
			continue
		}
		d, i := detectors[random.IntN(len(detectors))], random.IntN(upstreams)
		if crashedAt[i] > 0 || d.Rejects(now, crashing) {
			continue
		}
		crashes++
		if crashes == 3 {
			thirdCrash = now
		}
		if crashes > 3 && now.Sub(thirdCrash) > propagationTime {
			lateCrashes++
		}
		crashedAt[i] = max(now, 1)
		d.RecordBrokenResponse(now, crashing, units.UpstreamID(fmt.Sprint("u", i)), processStart[i])
		for range neighbors {
			neighborRequests++
			f := retry.FingerprintOf("exam", "/assist", fmt.Append(nil, neighborRequests))
			other := detectors[random.IntN(len(detectors))]
			other.RecordBrokenResponse(now, f, units.UpstreamID(fmt.Sprint("u", i)), processStart[i])
			if other.Rejects(now, f) {
				falseRejections++
			}
		}
	}
	assert.Assert(t, crashes >= 2)
	assert.Equal(t, lateCrashes, 0)
	assert.Equal(t, falseRejections, 0)
	for n := 1; n <= neighborRequests; n++ {
		for _, d := range detectors {
			assert.Assert(t, !d.Rejects(60_000, retry.FingerprintOf("exam", "/assist", fmt.Append(nil, n))))
		}
	}
}

// exchangeSuspects sends the suspects of each gateway to all gateways.
func exchangeSuspects(now clock.Time, detectors []*retry.CrashDetector) {
	for _, from := range detectors {
		for _, s := range from.List(now, 32) {
			for _, to := range detectors {
				to.Merge(now, s)
			}
		}
	}
}

// Guards against suspecting a request whose responses broke off while the upstream's process
// lived on.
func TestBrokenResponseWithoutProcessEndIsNoCrash(t *testing.T) {
	c := retry.NewCrashDetector()
	f := retry.FingerprintOf("court", "/caption", []byte("body"))
	for i := range clock.Time(10) {
		c.RecordBrokenResponse(i*100, f, "u1", 1)
		assert.Equal(t, c.CheckProcesses(i*100, func(units.UpstreamID, int64) bool { return false }), 0)
	}
	assert.Assert(t, !c.Rejects(1000, f))
	// The process ends later than crashWindow after the last broken response.
	assert.Equal(t, c.CheckProcesses(10_000, func(units.UpstreamID, int64) bool { return true }), 0)
	assert.Equal(t, c.RecordProcessEnd(10_000, "u1"), 0)
}
