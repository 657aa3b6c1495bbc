package gate_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/openai/openai-go/v3"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// overRate is a Limiter of a customer that has used up its rate.
type overRate struct{}

func (overRate) Reserve(context.Context, *gate.RequestInfo) (gate.Reservation, error) {
	return nil, &gate.Problem{Code: units.RateExceeded, Message: "over the rate", RetryAfter: 1200}
}

func errorOf(t *testing.T, err error) *openai.Error {
	t.Helper()
	var e *openai.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e
}

// Guards against refusals that the client library does not understand or that say
// wrongly whether the request ran.
func TestRefusals(t *testing.T) {
	limited := func(o *gate.Options) { o.Settings.Limits.MaxBodyBytes = 200 }
	tests := []struct {
		name, key, model string
		change           func(o *gate.Options)
		script           script
		status           int
		code             units.Code
		run, retryAfter  string
	}{
		{name: "wrong key", key: "sk-wrong", model: "small", status: 401, code: units.InvalidKey, run: "not-run"},
		{name: "unknown model", key: key, model: "other", status: 404, code: units.ModelNotFound, run: "not-run"},
		{name: "no upstream", key: key, model: "absent", status: 503, code: units.NoUpstream, run: "not-run"},
		{name: "body too large", key: key, model: strings.Repeat("m", 200), change: limited,
			status: 413, code: units.BodyTooLarge, run: "not-run"},
		{name: "over the rate", key: key, model: "small", change: func(o *gate.Options) { o.Limiter = overRate{} },
			status: 429, code: units.RateExceeded, run: "not-run", retryAfter: "2"},
		{name: "refused by agent", key: key, model: "small", status: 503, code: units.ColdLimit, run: "not-run", retryAfter: "1",
			script: func(c *agentCall) { c.refuse("cold_limit", false, 300) }},
		{name: "failed while running", key: key, model: "small", status: 502, code: units.UpstreamFailed, run: "may-have-run",
			script: func(c *agentCall) { c.refuse("upstream_failed", true, 0) }},
		{name: "code between processes", key: key, model: "small", status: 503, code: units.NoUpstream, run: "not-run",
			script: func(c *agentCall) { c.refuse("not_loaded", false, 0) }},
		{name: "silent agent", key: key, model: "small", status: 504, code: units.UpstreamTimeout, run: "may-have-run",
			change: func(o *gate.Options) { o.Settings.Limits.NormalDeadline = 1 },
			script: func(c *agentCall) { <-c.gone }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.script == nil {
				tt.script = answerTokens(1)
			}
			s := start(t, tt.change, newStandIn(t, "a1", tt.script))
			_, err := client(s, tt.key).Chat.Completions.New(context.Background(), chat(tt.model))
			e := errorOf(t, err)
			assert.Equal(t, e.StatusCode, tt.status)
			assert.Equal(t, e.Code, string(tt.code))
			assert.Equal(t, e.Response.Header.Get("X-Run"), tt.run)
			assert.Equal(t, e.Response.Header.Get("Retry-After"), tt.retryAfter)
		})
	}
}

// Guards against "not run" for a request whose first attempt may have run and whose
// second one was refused.
func TestRefusedAfterRunning(t *testing.T) {
	var calls atomic.Int64
	either := func(c *agentCall) {
		if calls.Add(1) == 1 {
			c.refuse("upstream_failed", true, 0)
			return
		}
		c.refuse("queue_full", false, 0)
	}
	s := start(t, nil, newStandIn(t, "a1", either), newStandIn(t, "a2", either))
	_, err := client(s, key).Chat.Completions.New(context.Background(), chat("small"))
	e := errorOf(t, err)
	assert.Equal(t, calls.Load(), int64(2))
	assert.Equal(t, e.Code, string(units.QueueFull))
	assert.Equal(t, e.Response.Header.Get("X-Run"), "may-have-run")
}

// send sends a request as it is and returns the answer with its body.
func send(t *testing.T, s *gate.Server, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr().String()+path, io.NopCloser(strings.NewReader(body)))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
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

// Guards against errors of the generated server in another shape, and against wrong
// requests that reach an upstream.
func TestWrongRequests(t *testing.T) {
	a := newStandIn(t, "a1", answerTokens(1))
	s := start(t, func(o *gate.Options) { o.Settings.Limits.MaxBodyBytes = 300 }, a)
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
		w, body := send(t, s, tt.method, tt.path, tt.body, tt.header...)
		assert.Equal(t, w.StatusCode, tt.status, "%s %s %s: %s", tt.method, tt.path, tt.body, body)
		assert.Assert(t, strings.HasPrefix(body, `{"error":{"message":`), "%s", body)
		assert.Assert(t, strings.Contains(body, tt.want), "%s", body)
		assert.Equal(t, w.Header.Get("X-Run"), "not-run")
	}
	assert.Equal(t, a.calls.Load(), int64(0))
}
