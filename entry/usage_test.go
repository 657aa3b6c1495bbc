package entry_test

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/wire"
)

// meteredWindow is the length of the windows of usage in tests.
const meteredWindow = clock.Second

// newMeteredCluster starts a cluster that reports usage to the control API.
func newMeteredCluster(t *testing.T, gateways int) (*cluster, *fakes.Cloud) {
	t.Helper()
	cloud := fakes.NewCloud()
	t.Cleanup(cloud.Close)
	return newClusterWith(t, gateways, func(s *platform.Settings) {
		s.Cloud = platform.Cloud{Address: cloud.Addr(), CallsPerSecond: 20, ReportsUsage: true}
		s.Bounds.UsageWindow, s.Bounds.UsageDelay = meteredWindow, 3*clock.Second
	}), cloud
}

// sumReports returns the requests in all reports, and fails the test if two of a window differ.
func sumReports(t *testing.T, cloud *fakes.Cloud) int64 {
	t.Helper()
	seen, sum := map[int64]int64{}, int64(0)
	for _, r := range cloud.UsageReports() {
		n := r.Counts["court"]
		if before, ok := seen[r.Window]; ok {
			assert.Equal(t, n, before, "two reports of window %d differ", r.Window)
			continue
		}
		seen[r.Window] = n
		sum += n
	}
	return sum
}

// Guards against requests that no report or several reports count, at whichever gateway they arrive.
func TestUsageIsReportedOnce(t *testing.T) {
	c, cloud := newMeteredCluster(t, 3)
	sent := int64(0)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, path := range []string{"/read/a", "/stream/a", "/once/a"} {
			model := map[string]string{"/stream/a": "small"}[path]
			if status, _ := c.sendRequest(c.gateways[i], path, apiKey, model); status == http.StatusOK {
				sent++
			}
		}
	}
	assert.Assert(t, sent > 100, "%d requests", sent)
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
}

// sendSome sends n requests in turn to all gateways and returns how many were served.
func (c *cluster) sendSome(n int) int64 {
	served := int64(0)
	for i := range n {
		if status, _ := c.sendRequest(c.gateways[i%len(c.gateways)], "/read/a", apiKey, ""); status == http.StatusOK {
			served++
		}
	}
	return served
}

// failFirst makes the control API answer the first n calls with the status, after a delay; 0 is no answer.
func failFirst(cloud *fakes.Cloud, n int64, status int, delay time.Duration) {
	var calls atomic.Int64
	cloud.SetAnswer(func(fakes.CloudCall) int {
		if calls.Add(1) > n {
			return http.StatusOK
		}
		time.Sleep(delay)
		return status
	})
}

// Guards against a report that is lost, or another one that is sent first, when the control API gives no answer.
func TestUnansweredUsageReportIsRepeated(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	failFirst(cloud, 3, 0, 0)
	sent := c.sendSome(20)
	c.waitFor("all requests are reported", func() bool { return len(cloud.Calls()) > 5 && sumReports(t, cloud) == sent })
	calls := cloud.Calls()
	for _, call := range calls[1:4] {
		assert.Equal(t, call.Body, calls[0].Body)
	}
	assert.Assert(t, calls[4].Body != calls[0].Body)
}

// Guards against reports that are lost when there are too many calls, and against more calls as an answer to that.
func TestPostponedUsageReportIsRetriedLater(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	failFirst(cloud, 3, http.StatusTooManyRequests, 0)
	sent := c.sendSome(20)
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
	calls := cloud.Calls()
	for i := 1; i < 4; i++ {
		assert.Assert(t, calls[i].At.Sub(calls[i-1].At) >= 100*time.Millisecond)
	}
}

// Guards against a second report beside one whose answer takes long.
func TestSlowControlAPIGetsOneCallAtATime(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	var inFlight, most atomic.Int64
	cloud.SetAnswer(func(fakes.CloudCall) int {
		most.Store(max(most.Load(), inFlight.Add(1)))
		time.Sleep(1200 * time.Millisecond)
		inFlight.Add(-1)
		return http.StatusOK
	})
	sent := c.sendSome(20)
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
	assert.Equal(t, most.Load(), int64(1))
}

// Guards against a refused call that is repeated under its epoch, and against reports that are never made as the
// leadership was given up.
func TestRefusedUsageReportNeedsALaterEpoch(t *testing.T) {
	c, cloud := newMeteredCluster(t, 2)
	var first atomic.Int64
	cloud.SetAnswer(func(call fakes.CloudCall) int {
		if first.CompareAndSwap(0, call.Epoch); call.Epoch == first.Load() {
			return http.StatusConflict
		}
		return http.StatusOK
	})
	sent := c.sendSome(20)
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
	calls := cloud.Calls()
	for _, call := range calls[1:] {
		assert.Assert(t, call.Epoch > first.Load(), "refused, and called again under epoch %d", call.Epoch)
	}
	bodies := map[int64]string{}
	for _, call := range calls {
		var r fakes.UsageReport
		assert.NilError(t, json.Unmarshal([]byte(call.Body), &r))
		if before, ok := bodies[r.Window]; ok {
			assert.Equal(t, call.Body, before)
		}
		bodies[r.Window] = call.Body
	}
}

// Guards against two different reports of a window when the leader stops after it has written and sent one that nobody
// answered, and against requests that its stop loses.
func TestNextLeaderReportsTheSame(t *testing.T) {
	c, cloud := newMeteredCluster(t, 2)
	var leader atomic.Value
	cloud.SetAnswer(func(call fakes.CloudCall) int {
		leader.CompareAndSwap(nil, call.Holder)
		if call.Holder == leader.Load() {
			return 0
		}
		return http.StatusOK
	})
	sent := c.sendSome(30)
	c.waitFor("a report is sent", func() bool { return leader.Load() != nil })
	sent += c.sendSome(30)
	for _, g := range c.gateways {
		if string(g.settings.VM) == leader.Load() {
			g.stop()
		}
	}
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
	holders, bodies := map[string]bool{}, map[string]bool{}
	for _, call := range cloud.Calls() {
		holders[call.Holder] = true
		bodies[call.Body] = true
	}
	assert.Equal(t, len(holders), 2)
	windows := map[int64]bool{}
	for _, r := range cloud.UsageReports() {
		windows[r.Window] = true
	}
	assert.Equal(t, len(bodies), len(windows), "two reports of a window differ")
}

// Guards against counts that are lost, or counted twice, when the only gateway stops and is started again.
func TestUsageOutlivesAllGateways(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	c.waitFor("windows are reported", func() bool { return len(cloud.UsageReports()) > 0 })
	sent := c.sendSome(20)
	g := c.gateways[0]
	g.stop()
	assert.NilError(t, <-g.runErr)
	again := c.startGateway("gate-0")
	c.gateways[0] = again
	c.waitFor("gateway is ready", func() bool { return c.readyStatus(again) == http.StatusOK })
	sent += c.sendSome(20)
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
}

// Guards against counters, clocks and datagrams where the settings name no duty.
func TestNoUsageWithoutTheDuty(t *testing.T) {
	cloud := fakes.NewCloud()
	defer cloud.Close()
	c := newClusterWith(t, 2, func(s *platform.Settings) {
		s.Cloud = platform.Cloud{Address: cloud.Addr()}
		s.Bounds.UsageWindow, s.Bounds.UsageDelay = meteredWindow, clock.Second
	})
	c.sendSome(20)
	time.Sleep(2500 * time.Millisecond)
	assert.Equal(t, len(cloud.Calls()), 0)
	assert.Equal(t, len(c.store.Keys("duties/usage")), 0)
}

// Guards against the loss of what a gateway counts that reaches the store, but neither the leader nor the standby.
func TestCutOffGatewayLeavesItsTotalsInTheStore(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	c.waitFor("windows are reported", func() bool { return len(cloud.UsageReports()) > 0 })
	// Another gateway takes the lead and can't be reached.
	address := "127.0.0.1:9"
	c.store.Put("gateways/ghost", map[string]any{"vm": "ghost", "address": address, "zone": "zone-b", "cores": 8})
	c.store.Delete("duties/orders")
	c.store.PutBytes("duties/orders", []byte("ghost"))
	time.Sleep(500 * time.Millisecond)
	sent := c.sendSome(20)
	c.waitFor("totals are stored", func() bool { return len(c.store.Value("duties/usage/gate-0")) > 0 })
	c.store.Delete("gateways/ghost")
	c.store.Delete("duties/orders")
	c.waitFor("all requests are reported", func() bool { return sumReports(t, cloud) == sent })
	c.waitFor("the totals are removed", func() bool { return len(c.store.Keys("duties/usage/")) == 0 })
}

// Guards against totals of other gateways that stay in the store for good after a failed write of the leader that would
// have removed them.
func TestStoredTotalsAreRemovedAfterAFailedWrite(t *testing.T) {
	c, cloud := newMeteredCluster(t, 1)
	c.waitFor("windows are reported", func() bool { return len(cloud.UsageReports()) > 0 })
	const key = "duties/usage/ghost"
	c.store.FailRemovals(key, 1)
	value, err := proto.Marshal(&wire.UsageTotals{Vm: "ghost", Life: 1, Final: true})
	assert.NilError(t, err)
	c.store.PutBytes(key, value)
	c.waitFor("a write fails", func() bool { return c.store.RemovalsToFail() == 0 })
	c.waitFor("the totals are removed", func() bool { return len(c.store.Keys(key)) == 0 })
}
