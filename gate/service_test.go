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

// withCases adds a service with an open, an idempotent and a plain route.
func withCases(o *gate.Options) {
	d := directory()
	d.Services = map[units.ServiceID]func(method, path string) gate.Route{
		"cases": func(method, path string) gate.Route {
			return gate.Route{Unauthenticated: strings.HasPrefix(path, "/open/"), Idempotent: method == "GET"}
		},
	}
	o.Directory = d
}

// Guards against keys that reach an upstream, against paths that are changed, and
// against open routes that open more than themselves.
func TestService(t *testing.T) {
	calls := make(chan *agentCall, 1)
	a := newStandIn(t, "a1", func(c *agentCall) {
		calls <- c
		_ = c.head(203, "text/plain")
		_ = c.part(0, "status")
		c.done()
	})
	s := start(t, withCases, a)
	w, body := send(t, s, "PUT", "/svc/cases/a/b%20c?x=1&y=2", "payload", "api-key", key, "Cookie", "c=1",
		"Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "X-Mine", "key="+key, "Content-Type", "text/plain")
	assert.Equal(t, w.StatusCode, 203)
	assert.Equal(t, body, "status")
	c := <-calls
	assert.Equal(t, c.Method+" "+c.Path+" "+string(c.Body), "PUT /a/b%20c?x=1&y=2 payload")
	assert.Equal(t, c.Customer, "court")
	kept := false
	for _, h := range c.Header {
		kept = kept || h.Name == "X-Kept"
		assert.Assert(t, !strings.Contains(h.Value, key), "%s", h.Name)
		for _, name := range []string{"Authorization", "Api-Key", "Cookie", "Connection", "X-Hop", "Transfer-Encoding"} {
			assert.Assert(t, h.Name != name, "%s", name)
		}
	}
	assert.Assert(t, kept)

	w, _ = send(t, s, "GET", "/svc/cases/open/1", "", "Authorization", "")
	assert.Equal(t, w.StatusCode, 203)
	assert.Equal(t, (<-calls).Customer, "")
	for path, status := range map[string]int{
		"/svc/cases/closed":            401,
		"/svc/cases/open/../closed":    400,
		"/svc/cases/open/%2e%2e/close": 400,
		"/svc/cases//open/1":           400,
	} {
		w, _ = send(t, s, "GET", path, "", "Authorization", "")
		assert.Equal(t, w.StatusCode, status, path)
	}
}

// Guards against calls that run twice although they must not be repeated.
func TestOnce(t *testing.T) {
	var runs atomic.Int64
	var behaviour atomic.Pointer[script]
	set := func(f script) { behaviour.Store(&f) }
	book := func(c *agentCall) {
		_ = c.head(201, "text/plain")
		_ = c.part(0, "booking "+strconv.FormatInt(runs.Add(1), 10))
		c.done()
	}
	crash := func(c *agentCall) {
		runs.Add(1)
		c.stream.Close()
	}
	run := func(c *agentCall) { (*behaviour.Load())(c) }
	s := start(t, func(o *gate.Options) {
		withCases(o)
		o.Once = &gate.MemoryOnce{}
	}, newStandIn(t, "a1", run), newStandIn(t, "a2", run))
	post := func(key, body string) (int, string) {
		w, got := send(t, s, "POST", "/svc/cases/book", body, "Idempotency-Key", key)
		return w.StatusCode, got
	}
	set(book)
	for range 2 {
		status, body := post("k1", "interpreter")
		assert.Equal(t, status, 201)
		assert.Equal(t, body, "booking 1")
	}
	status, body := post("k1", "another interpreter")
	assert.Equal(t, status, 400, body)

	// The answer is kept for a caller that has gone before it came.
	arrived, release := make(chan struct{}), make(chan struct{})
	set(func(c *agentCall) {
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
	r.Header.Set("Authorization", "Bearer "+key)
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
	set(func(c *agentCall) { c.refuse("queue_full", false, 0) })
	status, _ = post("k2", "interpreter")
	assert.Equal(t, status, 503)
	set(book)
	_, body = post("k2", "interpreter")
	assert.Equal(t, body, "booking 3")

	// An attempt that broke is not repeated, with and without a key.
	set(crash)
	for i, key := range []string{"k3", ""} {
		status, _ = post(key, "interpreter")
		assert.Equal(t, status, 502)
		assert.Equal(t, runs.Load(), int64(4+i))
	}
	status, body = post("k3", "interpreter")
	assert.Equal(t, status, 409)
	assert.Assert(t, strings.Contains(body, "outcome_unknown"))
}

// jobs is a Work that runs each job as soon as it is asked for.
type jobs struct {
	server *gate.Server
	job    gate.Job
}

func (j *jobs) Submit(_ context.Context, job gate.Job) (string, error) {
	job.Body = []byte(string(job.Body))
	j.job = job
	return "d1", nil
}

func (j *jobs) Get(ctx context.Context, _ units.CustomerID, _ string) (*gate.StoredResponse, error) {
	return j.server.Execute(ctx, j.job)
}

// Guards against deferred work whose answer differs from that of a direct request.
func TestDeferred(t *testing.T) {
	work := &jobs{}
	s := start(t, func(o *gate.Options) { o.Jobs = work }, newStandIn(t, "a1", answerTokens(0)))
	work.server = s
	w, body := send(t, s, "POST", "/v1/chat/completions", `{"model":"small"}`, "X-Class", "night", "Prefer", "respond-async")
	assert.Equal(t, w.StatusCode, 202)
	assert.Equal(t, body, `{"id":"d1","object":"deferred","status":"queued"}`)
	w, body = send(t, s, "GET", w.Header.Get("Location"), "")
	assert.Equal(t, w.StatusCode, 200)
	assert.Equal(t, body, plain)
}
