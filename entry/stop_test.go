package entry_test

import (
	"fmt"
	"net/http"
	"strings"
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

// Guards against requests that run when the grace period ends and are cut off without an answer: the caller can't tell what
// became of a call, and the log says that callers left.
func TestStopEndsWhatStillRuns(t *testing.T) {
	c, g := newStopCluster(t)
	c.app.SetScript(func(r *fakes.Request) {
		r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Length: 100\r\n\r\nthe begin")
		r.WaitForClose()
	})
	c.llm.SetScript(func(r *fakes.Request) {
		r.Stream(1, 1, false)
		for i := 2; r.TryChunk(fakes.Event(i)) == nil; i++ {
			time.Sleep(200 * time.Millisecond)
		}
	})
	answers := make(chan string, 3)
	for path, model := range map[string]string{"/once/long": "", "/read/long": "", "/talk/long": "small"} {
		go func() {
			status, body := c.sendRequest(g, path, apiKey, model)
			answers <- fmt.Sprint(status, body)
		}()
	}
	c.waitFor("requests run", func() bool { return len(c.app.Requests()) == 2 && len(c.llm.Requests()) == 1 })
	g.stop()
	stoppedAt := time.Now()
	for range 3 {
		got := <-answers
		assert.Check(t, strings.HasPrefix(got, "502") || got == "0unexpected EOF", got)
	}
	grace := g.settings.Bounds.GracePeriod.Duration()
	took := time.Since(stoppedAt)
	assert.Check(t, took > grace*5/6 && took < grace-100*time.Millisecond, "ended %v after the stop, grace period %v", took, grace)
}
