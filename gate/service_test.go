package gate_test

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// withService adds a service with an unauthenticated route, and with idempotent GET calls.
func withService(o *gate.Options) {
	d := testDirectory()
	d.Services = map[units.ServiceID]func(method, path string) gate.Route{
		"cases": func(method, path string) gate.Route {
			return gate.Route{Unauthenticated: strings.HasPrefix(path, "/open/"), Idempotent: method == "GET"}
		},
	}
	o.Directory = d
}

// Guards against forwarding API keys to an upstream, against changed paths, and against
// unauthenticated routes that give access to others.
func TestServiceForwarding(t *testing.T) {
	calls := make(chan *agentCall, 1)
	a := newFakeAgent(t, "a1", func(c *agentCall) {
		calls <- c
		_ = c.sendHead(203, "text/plain")
		_ = c.sendPart(0, "status")
		c.sendDone()
	})
	s := startGateway(t, withService, a)
	w, body := sendRequest(t, s, "PUT", "/svc/cases/a/b%20c?x=1&y=2", "payload", "api-key", testKey, "Cookie", "c=1",
		"Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "X-Mine", "key="+testKey, "Content-Type", "text/plain")
	assert.Equal(t, w.StatusCode, 203)
	assert.Equal(t, body, "status")
	c := <-calls
	assert.Equal(t, c.Method+" "+c.Path+" "+string(c.Body), "PUT /a/b%20c?x=1&y=2 payload")
	assert.Equal(t, c.Customer, "court")
	kept := false
	for _, h := range c.Header {
		kept = kept || h.Name == "X-Kept"
		assert.Assert(t, !strings.Contains(h.Value, testKey), "%s", h.Name)
		for _, name := range []string{"Authorization", "Api-Key", "Cookie", "Connection", "X-Hop", "Transfer-Encoding"} {
			assert.Assert(t, h.Name != name, "%s", name)
		}
	}
	assert.Assert(t, kept)

	w, _ = sendRequest(t, s, "GET", "/svc/cases/open/1", "", "Authorization", "")
	assert.Equal(t, w.StatusCode, 203)
	assert.Equal(t, (<-calls).Customer, "")
	for path, status := range map[string]int{
		"/svc/cases/closed":            401,
		"/svc/cases/open/../closed":    400,
		"/svc/cases/open/%2e%2e/close": 400,
		"/svc/cases//open/1":           400,
	} {
		w, _ = sendRequest(t, s, "GET", path, "", "Authorization", "")
		assert.Equal(t, w.StatusCode, status, path)
	}
}

// Guards against calls with an Idempotency-Key that run twice.
func TestIdempotencyKey(t *testing.T) {
	var runs atomic.Int64
	var handler atomic.Pointer[callHandler]
	setHandler := func(f callHandler) { handler.Store(&f) }
	book := func(c *agentCall) {
		_ = c.sendHead(201, "text/plain")
		_ = c.sendPart(0, "booking "+strconv.FormatInt(runs.Add(1), 10))
		c.sendDone()
	}
	crash := func(c *agentCall) {
		runs.Add(1)
		c.stream.Close()
	}
	run := func(c *agentCall) { (*handler.Load())(c) }
	s := startGateway(t, func(o *gate.Options) {
		withService(o)
		o.Once = &gate.MemoryOnce{}
	}, newFakeAgent(t, "a1", run), newFakeAgent(t, "a2", run))
	post := func(key, body string) (int, string) {
		w, got := sendRequest(t, s, "POST", "/svc/cases/book", body, "Idempotency-Key", key)
		return w.StatusCode, got
	}
	setHandler(book)
	for range 2 {
		status, body := post("k1", "interpreter")
		assert.Equal(t, status, 201)
		assert.Equal(t, body, "booking 1")
	}
	status, body := post("k1", "another interpreter")
	assert.Equal(t, status, 400, body)

	// The response is stored even if the caller has disconnected before it arrived.
	arrived, release := make(chan struct{}), make(chan struct{})
	setHandler(func(c *agentCall) {
		close(arrived)
		<-release
		book(c)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr().String()+"/svc/cases/book", nil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Idempotency-Key", "k0")
	_, err := http.DefaultClient.Do(r)
	assert.Assert(t, errors.Is(err, context.Canceled))
	status, body = post("k0", "")
	assert.Equal(t, status, 409, body)
	close(release)
	eventually(t, func() bool {
		status, body = post("k0", "")
		return status == 201 && body == "booking 2"
	})

	// An attempt that did not run leaves no record.
	setHandler(func(c *agentCall) { c.sendRefuse("queue_full", false, 0) })
	status, _ = post("k2", "interpreter")
	assert.Equal(t, status, 503)
	setHandler(book)
	_, body = post("k2", "interpreter")
	assert.Equal(t, body, "booking 3")

	// A broken attempt is not repeated, with or without a key.
	setHandler(crash)
	for i, key := range []string{"k3", ""} {
		status, _ = post(key, "interpreter")
		assert.Equal(t, status, 502)
		assert.Equal(t, runs.Load(), int64(4+i))
	}
	status, body = post("k3", "interpreter")
	assert.Equal(t, status, 409)
	assert.Assert(t, strings.Contains(body, "outcome_unknown"))
}

// immediateJobs is a JobStore that runs its only job when the response is requested.
type immediateJobs struct {
	server *gate.Server
	job    gate.Job
}

func (j *immediateJobs) Submit(_ context.Context, job gate.Job) (string, error) {
	job.Body = []byte(string(job.Body))
	j.job = job
	return "d1", nil
}

func (j *immediateJobs) Get(ctx context.Context, _ units.CustomerID, _ string) (*gate.StoredResponse, error) {
	return j.server.Execute(ctx, j.job)
}

// Guards against deferred jobs whose response differs from that of a direct request.
func TestDeferredJob(t *testing.T) {
	jobs := &immediateJobs{}
	s := startGateway(t, func(o *gate.Options) { o.Jobs = jobs }, newFakeAgent(t, "a1", respondTokens(0)))
	jobs.server = s
	w, body := sendRequest(t, s, "POST", "/v1/chat/completions", `{"model":"small"}`, "X-Class", "night", "Prefer", "respond-async")
	assert.Equal(t, w.StatusCode, 202)
	assert.Equal(t, body, `{"id":"d1","object":"deferred","status":"queued"}`)
	w, body = sendRequest(t, s, "GET", w.Header.Get("Location"), "")
	assert.Equal(t, w.StatusCode, 200)
	assert.Equal(t, body, plainResponse)
}
