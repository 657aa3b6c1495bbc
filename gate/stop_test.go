package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
)

// Guards against calls that the time limit of a stop cancels and whose callers get no answer, or one by which they take a
// call that may have run for one that has not, and repeat it: that is what status 503 says.
func TestCallsAtTheTimeLimitOfAStop(t *testing.T) {
	running := make(chan struct{}, 1)
	demand := newDemandRecorder()
	o := testOptions(newFakeAgent(t, "a1", func(c *agentCall) { running <- struct{}{}; <-c.streamClosed }))
	withService(&o)
	o.Settings.Limits.StopTimeout, o.Demand = 300, demand
	s, err := gate.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
	answers := make(chan string, 2)
	send := func(name, method, path, body string) {
		w, _ := sendRequest(t, s, method, path, body)
		answers <- name + " " + w.Status + " " + w.Header.Get("X-Run")
	}
	go send("running", "PUT", "/svc/cases/award", "once")
	go send("waiting", "POST", "/v1/chat/completions", `{"model":"absent","messages":[{"role":"user","content":"hello"}]}`)
	<-running
	eventually(t, func() bool { return demand.waitingFor("absent") == 1 })
	cancel()
	got := map[string]bool{<-answers: true, <-answers: true}
	assert.DeepEqual(t, got, map[string]bool{"running 502 Bad Gateway may-have-run": true, "waiting 503 Service Unavailable not-run": true})
	assert.Check(t, errors.Is(<-done, gate.ErrStopTimeout))
}

// Guards against requests that a gateway reads as a whole while it closes its listener and drops without an answer: their
// callers can't tell that they have not run.
func TestLateRequestsAreRefusedDuringAStop(t *testing.T) {
	s, err := gate.New(testOptions())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET /v1/models HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)
	cancel()
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(c, "Host: x\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Check(t, w.StatusCode == http.StatusServiceUnavailable && w.Close, "%v", w)
	w.Body.Close()
	assert.NilError(t, <-done)
}

// stoppable is a running gateway that a test stops.
type stoppable struct {
	*gate.Server
	cancel context.CancelFunc
	done   chan error
}

// startStoppable runs a gateway and returns when it is connected to all agents. The test has to stop it and to read done.
func startStoppable(t *testing.T, o gate.Options) *stoppable {
	t.Helper()
	s, err := gate.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	g := &stoppable{Server: s, cancel: cancel, done: make(chan error, 1)}
	go func() { g.done <- s.Run(ctx) }()
	eventually(t, func() bool { return len(s.ConnectedAgents()) == len(o.Settings.AgentAddresses) })
	return g
}

// dial opens a connection to the gateway. Reading from it fails after 10 s.
func (g *stoppable) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", g.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// Two parts of a request.
const (
	requestLine = "GET /v1/models HTTP/1.1\r\n"
	requestRest = "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n\r\n"
)

// readAnswer reads an answer and drops its body.
func readAnswer(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	w, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, w.Body)
	assert.NilError(t, err)
	w.Body.Close()
	return w
}

// Guards against kept connections that a stopping gateway closes as idle although a part of a request has arrived on them:
// their callers get no answer, and can't tell that the request has not run.
func TestStopAnswersRequestThatHasArrivedInPartOnKeptConnection(t *testing.T) {
	g := startStoppable(t, testOptions())
	c, r := g.dial(t)
	fmt.Fprint(c, requestLine+requestRest)
	w := readAnswer(t, r)
	assert.Check(t, w.StatusCode == http.StatusOK && !w.Close, "%v", w)
	fmt.Fprint(c, requestLine)
	time.Sleep(50 * time.Millisecond)
	g.cancel()
	time.Sleep(300 * time.Millisecond)
	fmt.Fprint(c, requestRest)
	w = readAnswer(t, r)
	assert.Check(t, w.StatusCode == http.StatusServiceUnavailable && w.Close, "%v", w)
	assert.NilError(t, <-g.done)
}

// Guards against idle connections that keep a stop waiting.
func TestStopClosesIdleConnections(t *testing.T) {
	g := startStoppable(t, testOptions())
	c, r := g.dial(t)
	fmt.Fprint(c, requestLine+requestRest)
	readAnswer(t, r)
	began := time.Now()
	g.cancel()
	_, err := r.ReadByte()
	assert.Check(t, errors.Is(err, io.EOF), "%v", err)
	assert.NilError(t, <-g.done)
	assert.Check(t, time.Since(began) < time.Second, "%v", time.Since(began))
}

// Guards against callers whose connection waits for a place during a stop, and is reset when the listener closes: they
// can't tell that their request has not run.
func TestStopAnswersConnectionsBeyondTheLimit(t *testing.T) {
	running, release := make(chan struct{}, 1), make(chan struct{})
	for name, busy := range map[string]bool{"while requests go on": true, "right before the listener closes": false} {
		t.Run(name, func(t *testing.T) {
			o := testOptions(newFakeAgent(t, "a1", func(c *agentCall) {
				running <- struct{}{}
				<-release
				respondTokens(0)(c)
			}))
			o.Settings.Limits.MaxConnections = 1
			g := startStoppable(t, o)
			first, firstAnswer := g.dial(t)
			if busy {
				const body = `{"model":"small","messages":[]}`
				fmt.Fprintf(first, "POST /v1/chat/completions HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+requestRest+body, len(body))
				<-running
			} else {
				fmt.Fprint(first, requestLine+requestRest)
				readAnswer(t, firstAnswer)
			}
			second, secondAnswer := g.dial(t)
			fmt.Fprint(second, requestLine+requestRest)
			time.Sleep(50 * time.Millisecond)
			g.cancel()
			w := readAnswer(t, secondAnswer)
			assert.Check(t, w.StatusCode == http.StatusServiceUnavailable && w.Close, "%v", w)
			if busy {
				close(release)
				assert.Equal(t, readAnswer(t, firstAnswer).StatusCode, http.StatusOK)
			}
			assert.NilError(t, <-g.done)
		})
	}
}

// Guards against callers that keep a connection on which a stopping gateway has answered, and lose their next request with
// it: an answer that begins during the stop has to say that its connection closes, also if the request came before.
func TestAnswersDuringAStopCloseTheirConnections(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	g := startStoppable(t, testOptions(newFakeAgent(t, "a1", func(c *agentCall) {
		running <- struct{}{}
		<-release
		respondTokens(3)(c)
	})))
	answers := map[string]*bufio.Reader{}
	for _, body := range []string{`{"model":"small","messages":[]}`, `{"model":"small","messages":[],"stream":true}`} {
		c, r := g.dial(t)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"+requestRest+body, len(body))
		answers[body] = r
		<-running
	}
	g.cancel()
	eventually(t, g.Draining)
	close(release)
	for body, r := range answers {
		w := readAnswer(t, r)
		assert.Check(t, w.StatusCode == http.StatusOK && w.Close, "%s: %v", body, w)
	}
	assert.NilError(t, <-g.done)
}

// Guards against requests that wait during a stop, start late and are cut by its time limit: a refusal while they wait says
// that they have not run, and another gateway serves them.
func TestStopStartsNoRequestThatWaits(t *testing.T) {
	for _, reason := range []string{"for a model that is loaded", "for an upstream in cold start"} {
		t.Run(reason, func(t *testing.T) {
			var stopping atomic.Bool
			var runs atomic.Int64
			a := newFakeAgent(t, "a1", func(c *agentCall) {
				if !stopping.Load() {
					c.sendRefuse("cold_limit", false, 0)
					return
				}
				runs.Add(1)
				<-c.streamClosed
			})
			demand := newDemandRecorder()
			o := testOptions(a)
			o.Settings.Limits.StopTimeout, o.Demand = 2000, demand
			model := "small"
			if reason == "for a model that is loaded" {
				model = "absent"
			}
			g := startStoppable(t, o)
			answer := make(chan string, 1)
			go func() {
				w, _ := sendRequest(t, g.Server, "POST", "/v1/chat/completions", `{"model":"`+model+`","messages":[]}`)
				answer <- w.Status + " " + w.Header.Get("X-Run")
			}()
			eventually(t, func() bool { return a.calls.Load() > 0 || demand.waitingFor("absent") == 1 })
			g.cancel()
			got := ""
			select {
			case got = <-answer:
			case <-time.After(1300 * time.Millisecond):
			}
			stopping.Store(true)
			if model == "absent" {
				loaded := newFakeAgent(t, "a2", a.handler)
				loaded.resident = []string{"absent"}
				g.SetAgents([]string{a.listener.Addr().String(), loaded.listener.Addr().String()})
			}
			if got == "" {
				got = <-answer
			}
			assert.Equal(t, got, "503 Service Unavailable not-run")
			assert.Equal(t, runs.Load(), int64(0))
			assert.NilError(t, <-g.done)
		})
	}
}

// Guards against refusing requests that came before a stop and only wait a moment for a place.
func TestStopServesRequestThatWaitsAMoment(t *testing.T) {
	var stopping atomic.Bool
	a := newFakeAgent(t, "a1", func(c *agentCall) {
		if !stopping.Load() {
			c.sendRefuse("cold_limit", false, 0)
			return
		}
		respondTokens(0)(c)
	})
	g := startStoppable(t, testOptions(a))
	answer := make(chan int, 1)
	go func() {
		w, _ := sendRequest(t, g.Server, "POST", "/v1/chat/completions", `{"model":"small","messages":[]}`)
		answer <- w.StatusCode
	}()
	eventually(t, func() bool { return a.calls.Load() > 0 })
	g.cancel()
	time.Sleep(200 * time.Millisecond)
	stopping.Store(true)
	assert.Equal(t, <-answer, http.StatusOK)
	assert.NilError(t, <-g.done)
}

// Guards against streams that break during a stop and do not go on elsewhere: their callers have a part of the answer, so
// that a refusal would cut it.
func TestStreamThatBreaksDuringAStopGoesOn(t *testing.T) {
	began, broken := make(chan struct{}, 1), make(chan struct{})
	var first atomic.Bool
	serve := func(c *agentCall) {
		if first.Swap(true) {
			respondTokens(5)(c)
			return
		}
		_ = c.sendHead(200, eventStream)
		_ = c.sendPart(0, tokenEvent(0))
		began <- struct{}{}
		<-broken
		c.sendRefuse("upstream_failed", true, 0)
	}
	g := startStoppable(t, testOptions(newFakeAgent(t, "a1", serve), newFakeAgent(t, "a2", serve)))
	go func() {
		<-began
		g.cancel()
		time.Sleep(200 * time.Millisecond)
		close(broken)
	}()
	assert.Equal(t, readStream(t, g.Server), tokenText(5))
	assert.NilError(t, <-g.done)
}
