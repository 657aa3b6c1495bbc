package entry_test

import (
	"bufio"
	"fmt"
	"io"
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

// lateRequest is a request of which a part was sent on an open connection before a stop.
type lateRequest struct {
	conn net.Conn
	rest string
}

// beginLate opens a connection for a request to the path and sends its first n bytes.
func beginLate(t *testing.T, g *testGateway, path, model string, timeoutMillis, n int) lateRequest {
	t.Helper()
	header := &strings.Builder{}
	assert.NilError(t, fakes.RequestHeader("late", apiKey, model, timeoutMillis).Write(header))
	request := "POST " + path + " HTTP/1.1\r\nHost: " + fakes.Host + "\r\nContent-Length: 4\r\n" + header.String() + "\r\nbody"
	conn, err := net.Dial("tcp", g.settings.PublicAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprint(conn, request[:n])
	return lateRequest{conn, request[n:]}
}

// finish sends the rest of the request and returns the answer, with the error that ended its body.
func (l lateRequest) finish(t *testing.T) (*http.Response, error) {
	t.Helper()
	fmt.Fprint(l.conn, l.rest)
	res, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	_, err = io.ReadAll(res.Body)
	return res, err
}

// Guards against requests of which a part has arrived on a kept connection when a stopping gateway closes idle ones: their
// callers get a closed connection.
func TestStopAnswersRequestThatHasArrivedInPartOnKeptConnection(t *testing.T) {
	_, g := newStopCluster(t)
	l := beginLate(t, g, "/once/late", "", longTimeoutMillis, 0)
	res, err := l.finish(t)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	const part = 40
	fmt.Fprint(l.conn, l.rest[:part])
	g.stop()
	time.Sleep(routingEnded)
	res, err = lateRequest{l.conn, l.rest[part:]}.finish(t)
	assert.NilError(t, err)
	assert.Check(t, res.StatusCode == http.StatusServiceUnavailable && res.Close, "%v", res)
}

// routingEnded is longer than the platform routes callers to a gateway that stops.
const routingEnded = 3 * time.Second

// Guards against requests that were read as a whole and dropped, on connections that had carried nothing, or a part of a
// head, when the stop began, and against refusals of those whose own time limit ends before the stop.
func TestStopAnswersLateRequestsOnOpenConnections(t *testing.T) {
	c, g := newStopCluster(t)
	for range 30 {
		assert.Equal(t, c.responseStatus(g, "/once/before", apiKey), http.StatusOK)
	}
	for timeoutMillis, status := range map[int]int{1000: http.StatusOK, longTimeoutMillis: http.StatusServiceUnavailable} {
		for _, n := range []int{0, 40} {
			l := beginLate(t, g, "/once/late", "", timeoutMillis, n)
			defer func() {
				res, err := l.finish(t)
				assert.NilError(t, err)
				assert.Check(t, res.StatusCode == status && res.Close, "%d bytes sent before the stop, time limit %d ms: %v", n, timeoutMillis, res)
			}()
		}
	}
	g.stop()
	time.Sleep(routingEnded)
}

// Guards against streams that come after the platform has stopped routing to a stopping gateway, are passed on because
// others were short, and are cut by the end of the stop as their upstream is silent for a while (LOST on most-praha and
// lsatcc-magnolia-grown).
func TestStopCutsNoStreamThatCameAfterRouting(t *testing.T) {
	for _, path := range []string{"/stream/late", "/talk/late"} {
		t.Run(path, func(t *testing.T) {
			c, g := newStopCluster(t)
			c.llm.SetScript(func(r *fakes.Request) { r.Stream(1, 3, true) })
			const runs = 30
			for range runs {
				status, body := c.sendRequest(g, path, apiKey, "small")
				assert.Equal(t, status, http.StatusOK, body)
			}
			c.llm.SetScript(func(r *fakes.Request) {
				r.Stream(1, 1, false)
				r.WaitForClose()
			})
			l := beginLate(t, g, path, "small", longTimeoutMillis, 0)
			g.stop()
			time.Sleep(routingEnded)
			res, err := l.finish(t)
			assert.NilError(t, err)
			assert.Check(t, res.StatusCode == http.StatusServiceUnavailable && res.Close, "%v", res)
			assert.Equal(t, len(c.llm.Requests()), runs)
		})
	}
}
