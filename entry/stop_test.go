package entry_test

import (
	"bufio"
	"fmt"
	"net"
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

// Guards against refusals of requests whose runs are known to be short, and against requests that were read as a whole and
// dropped, on connections that had carried nothing, or a part of a head, when the stop began.
func TestStopAnswersLateRequestsOnOpenConnections(t *testing.T) {
	c, g := newStopCluster(t)
	for range 30 {
		assert.Equal(t, c.responseStatus(g, "/once/before", apiKey), http.StatusOK)
	}
	header := &strings.Builder{}
	assert.NilError(t, fakes.RequestHeader("late", apiKey, "", longTimeoutMillis).Write(header))
	request := "POST /once/late HTTP/1.1\r\nHost: " + fakes.Host + "\r\nContent-Length: 4\r\n" + header.String() + "\r\nbody"
	conns := [2]net.Conn{}
	begins := [2]int{0, 40}
	for i, n := range begins {
		var err error
		conns[i], err = net.Dial("tcp", g.settings.PublicAddress)
		assert.NilError(t, err)
		defer conns[i].Close()
		fmt.Fprint(conns[i], request[:n])
	}
	g.stop()
	time.Sleep(3300 * time.Millisecond)
	for i, n := range begins {
		fmt.Fprint(conns[i], request[n:])
		res, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		assert.NilError(t, err, "%d bytes sent before the stop", n)
		assert.Check(t, res.StatusCode == http.StatusOK && res.Close, "%v", res)
		res.Body.Close()
	}
}
