package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
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
