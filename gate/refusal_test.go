package gate_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// rateExceededLimiter is a Limiter that refuses all requests.
type rateExceededLimiter struct{}

func (rateExceededLimiter) Reserve(context.Context, *gate.RequestInfo) (gate.Reservation, error) {
	return nil, &gate.Problem{Code: units.RateExceeded, Message: "rate exceeded", RetryAfter: 1200}
}

func apiErrorOf(t *testing.T, err error) *openai.Error {
	t.Helper()
	var e *openai.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// Guards against error responses that the client library does not understand, or that report
// wrongly whether the request may have run.
func TestRefusals(t *testing.T) {
	limited := func(o *gate.Options) { o.Settings.Limits.MaxBodyBytes = 200 }
	tests := []struct {
		name, key, model string
		change           func(o *gate.Options)
		handler          callHandler
		status           int
		code             units.Code
		run, retryAfter  string
	}{
		{name: "wrong key", key: "sk-wrong", model: "small", status: 401, code: units.InvalidKey, run: "not-run"},
		{name: "unknown model", key: testKey, model: "other", status: 404, code: units.ModelNotFound, run: "not-run"},
		{name: "no upstream", key: testKey, model: "absent", status: 503, code: units.NoUpstream, run: "not-run"},
		{name: "body too large", key: testKey, model: strings.Repeat("m", 200), change: limited,
			status: 413, code: units.BodyTooLarge, run: "not-run"},
		{name: "rate exceeded", key: testKey, model: "small", change: func(o *gate.Options) { o.Limiter = rateExceededLimiter{} },
			status: 429, code: units.RateExceeded, run: "not-run", retryAfter: "2"},
		{name: "refused by agent", key: testKey, model: "small", status: 503, code: units.ColdLimit, run: "not-run", retryAfter: "1",
			handler: func(c *agentCall) { c.sendRefuse("cold_limit", false, 300) }},
		{name: "failed while running", key: testKey, model: "small", status: 502, code: units.UpstreamFailed, run: "may-have-run",
			handler: func(c *agentCall) { c.sendRefuse("upstream_failed", true, 0) }},
		{name: "internal code", key: testKey, model: "small", status: 503, code: units.NoUpstream, run: "not-run",
			handler: func(c *agentCall) { c.sendRefuse("not_loaded", false, 0) }},
		{name: "unresponsive agent", key: testKey, model: "small", status: 504, code: units.UpstreamTimeout, run: "may-have-run",
			change:  func(o *gate.Options) { o.Settings.Limits.NormalDeadline = 1 },
			handler: func(c *agentCall) { <-c.streamClosed }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.handler == nil {
				tt.handler = respondTokens(1)
			}
			s := startGateway(t, tt.change, newFakeAgent(t, "a1", tt.handler))
			_, err := newClient(s, tt.key).Chat.Completions.New(context.Background(), chatParams(tt.model))
			e := apiErrorOf(t, err)
			assert.Equal(t, e.StatusCode, tt.status)
			assert.Equal(t, e.Code, string(tt.code))
			assert.Equal(t, e.Response.Header.Get("X-Run"), tt.run)
			assert.Equal(t, e.Response.Header.Get("Retry-After"), tt.retryAfter)
		})
	}
}

// Guards against "not-run" for a request whose first attempt may have run and whose second one was
// refused.
func TestMayHaveRunKeptAcrossAttempts(t *testing.T) {
	var calls atomic.Int64
	refuseInTurn := func(c *agentCall) {
		if calls.Add(1) == 1 {
			c.sendRefuse("upstream_failed", true, 0)
			return
		}
		c.sendRefuse("queue_full", false, 0)
	}
	s := startGateway(t, nil, newFakeAgent(t, "a1", refuseInTurn), newFakeAgent(t, "a2", refuseInTurn))
	_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
	e := apiErrorOf(t, err)
	assert.Equal(t, calls.Load(), int64(2))
	assert.Equal(t, e.Code, string(units.QueueFull))
	assert.Equal(t, e.Response.Header.Get("X-Run"), "may-have-run")
}

// sendRequest sends a raw request and returns the response with its body. The arguments in header are
// pairs of names and values.
func sendRequest(t *testing.T, s *gate.Server, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr().String()+path, io.NopCloser(strings.NewReader(body)))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w, string(b)
}

// Guards against errors of the generated server that are not OpenAI error objects, and against
// invalid requests that reach an upstream.
func TestInvalidRequests(t *testing.T) {
	a := newFakeAgent(t, "a1", respondTokens(1))
	s := startGateway(t, func(o *gate.Options) { o.Settings.Limits.MaxBodyBytes = 300 }, a)
	tests := []struct {
		method, path, body string
		header             []string
		status             int
		want               string
	}{
		{"POST", "/v1/chat/completions", `{"model":"small"`, nil, 400, `"code":"invalid_request"`},
		{"POST", "/v1/chat/completions", `{"model":"small"} x`, nil, 400, `"code":"invalid_request"`},
		{"POST", "/v1/chat/completions", `{"model":5}`, nil, 400, `"param":"model"`},
		{"POST", "/v1/chat/completions", `{}`, nil, 400, `"param":"model"`},
		{"POST", "/v1/chat/completions", `[]`, nil, 400, `"code":"invalid_request"`},
		{"POST", "/v1/chat/completions", `{"model":"` + strings.Repeat("m", 300) + `"}`, nil, 413, `"code":"body_too_large"`},
		{"POST", "/v1/chat/completions", `{"model":"small"}`, []string{"X-Class", "urgent"}, 400, `"code":"invalid_request"`},
		{"POST", "/v1/chat/completions", `{"model":"small"}`, []string{"Content-Type", "text/plain"}, 415, `"code":"invalid_request"`},
		{"POST", "/v1/chat/completions", `{"model":"small"}`, []string{"Authorization", ""}, 401, `"type":"authentication_error"`},
		{"POST", "/v1/completions", `{"model":"small"}`, []string{"X-Class", "night", "Prefer", "respond-async"}, 503, `"code":"store_unavailable"`},
		{"GET", "/v1/chat/completions", "", nil, 405, `"code":"invalid_request"`},
		{"GET", "/v2/none", "", nil, 404, `"code":"invalid_request"`},
		{"GET", "/v1/deferred/7", "", nil, 503, `"code":"store_unavailable"`},
		{"GET", "/svc/none/x", "", nil, 404, `"code":"service_not_found"`},
	}
	for _, tt := range tests {
		w, body := sendRequest(t, s, tt.method, tt.path, tt.body, tt.header...)
		assert.Equal(t, w.StatusCode, tt.status, "%s %s %s: %s", tt.method, tt.path, tt.body, body)
		assert.Assert(t, strings.HasPrefix(body, `{"error":{"message":`), "%s", body)
		assert.Assert(t, strings.Contains(body, tt.want), "%s", body)
		assert.Equal(t, w.Header.Get("X-Run"), "not-run")
	}
	assert.Equal(t, a.calls.Load(), int64(0))
}

// Guards against callers that wait for the longest of the pauses that all upstreams asked for.
func TestCallersHearShortestPause(t *testing.T) {
	refuseFor := func(pause int64) callHandler {
		return func(c *agentCall) { c.sendRefuse("queue_full", false, pause) }
	}
	s := startGateway(t, nil, newFakeAgent(t, "a1", refuseFor(60_000)), newFakeAgent(t, "a2", refuseFor(4_000)))
	for range 6 {
		_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
		e := apiErrorOf(t, err)
		assert.Equal(t, e.StatusCode, 503)
		after, err := strconv.Atoi(e.Response.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, after >= 4 && after <= 5, "%d s", after)
	}
}

// Guards against callers that are refused because a gateway gets a new slot table later than the agents.
func TestStalePermitIsRenewedUntilTheTableArrives(t *testing.T) {
	var arrived atomic.Bool
	respond := respondTokens(1)
	handler := func(c *agentCall) {
		if !arrived.Load() {
			c.sendRefuse("permit_stale", false, 100)
			return
		}
		respond(c)
	}
	s := startGateway(t, nil, newFakeAgent(t, "a1", handler), newFakeAgent(t, "a2", handler))
	time.AfterFunc(time.Second, func() { arrived.Store(true) })
	_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
	assert.NilError(t, err)
}

// Guards against waiting for an agent that refuses all permits, as it has no slot table yet, while another one serves.
func TestStalePermitIsTriedElsewhereFirst(t *testing.T) {
	a := newFakeAgent(t, "a1", func(c *agentCall) { c.sendRefuse("permit_stale", false, 100) })
	s := startGateway(t, nil, a, newFakeAgent(t, "a2", respondTokens(1)))
	for range 10 {
		start := time.Now()
		_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second)
	}
	assert.Assert(t, a.calls.Load() <= 10)
}

// Guards against requests that wait for a slot table without end, or ask upstreams in a tight loop meanwhile.
func TestStalePermitsEndWithARefusal(t *testing.T) {
	a := newFakeAgent(t, "a1", func(c *agentCall) { c.sendRefuse("permit_stale", false, 100) })
	s := startGateway(t, nil, a)
	start := time.Now()
	_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
	e := apiErrorOf(t, err)
	assert.Equal(t, e.StatusCode, 503)
	assert.Equal(t, e.Response.Header.Get("X-Run"), "not-run")
	assert.Assert(t, time.Since(start) < 5*time.Second, "%s", time.Since(start))
	assert.Assert(t, a.calls.Load() < 70, "%d attempts", a.calls.Load())
}
