package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// newStopCluster returns a cluster of one gateway whose time limits leave no room for a run within the grace period.
func newStopCluster(t *testing.T) (*cluster, *testGateway) {
	t.Helper()
	t.Parallel()
	c := newCluster(t, 1)
	config := fakes.Config(2, apiKey)
	fakes.SetTimeouts(config, longTimeoutMillis)
	c.store.Put(fakes.ConfigKey, config)
	time.Sleep(700 * time.Millisecond)
	return c, c.gateways[0]
}

// Guards against requests that a stopping gateway passes on although what is left of the grace period may not suffice,
// and that it then cuts off without an answer (SIGTERM at 5.0 s, taken at 5.35 s, cut off at 12.2 s).
func TestStopRefusesWhatMayNotEndInTime(t *testing.T) {
	c, g := newStopCluster(t)
	c.app.SetScript(func(r *fakes.Request) { r.WaitForClose() })
	g.stop()
	time.Sleep(time.Second)
	for _, path := range []string{"/once/late", "/read/late"} {
		status, body := c.sendRequest(g, path, apiKey, "")
		assert.Check(t, status == http.StatusServiceUnavailable, "%s: %d %s", path, status, body)
	}
	assert.Check(t, len(c.app.Requests()) == 0, "passed on: %d", len(c.app.Requests()))
}
