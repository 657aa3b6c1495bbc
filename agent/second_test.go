package agent_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/wire"
)

// rawAnswer is what an upstream writes to a request, each piece later than the one before, until it closes the connection.
type rawAnswer struct {
	kind, want string
	pieces     []string
}

// callRaw calls an agent before an upstream with raw answers in the order of their names, once for each answer and again
// with a call that must not be repeated. The stored results of the latter have to be the complete answers.
func callRaw(t *testing.T, answers map[string]rawAnswer, check func(name string, a rawAnswer, res *callResult)) {
	t.Helper()
	upstream, err := raw.Start(func(r *raw.Request) error {
		for i, p := range answers[r.URL.Path[1:]].pieces {
			if i > 0 {
				time.Sleep(20 * time.Millisecond)
			}
			_ = r.Write(p) // the agent may have closed the connection
		}
		return io.EOF
	})
	assert.NilError(t, err)
	defer upstream.Close()
	ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = upstream.Addr() })
	control := ta.openControl()
	attempts := 0
	for _, name := range slices.Sorted(maps.Keys(answers)) {
		a := answers[name]
		for _, idempotent := range []bool{true, false} {
			var res *callResult
			for res == nil || res.refuse.GetCode() == "cold_limit" {
				// The agent may still count the call before, after which it takes the upstream as cold.
				attempts++
				res = readResponse(t, ta.call(&wire.Call{
					Attempt: fmt.Sprint("a", attempts), Kind: a.kind, Idempotent: idempotent, Path: "/" + url.PathEscape(name), Body: []byte("{}"),
				}))
			}
			check(name, a, res)
			if !idempotent {
				o := queryOutcome(t, control, fmt.Sprint("a", attempts), 0)
				assert.Check(t, (o.State == "done") == (res.done != nil), "%s: stored as %s", name, o.State)
				assert.Check(t, o.State != "done" || string(o.Body) == a.want, "%s: stored %q", name, o.Body)
			}
		}
	}
}

const (
	date       = "Date: Sat, 05 Dec 2026 06:00:00 GMT\r\n"
	streamHead = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: text/event-stream\r\n\r\n"
	textHead   = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: text/plain\r\n\r\n"
	jsonHead   = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: application/json\r\n\r\n"
	chunkHead  = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
	token      = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	end        = "data: [DONE]\n\n"
	object     = `{"choices":[{"text":"a}\"{"}],"usage":{"total_tokens":3}}`
)

// later is the head with the date at which a second answer is written.
func later(head string) string { return strings.Replace(head, "06:00:00", "06:00:01", 1) }

// Guards against bytes after the last event of a model's stream that reach the caller, and against a complete stream
// that fails because of what its connection does afterwards.
func TestNothingFollowsDone(t *testing.T) {
	stream := token + end
	callRaw(t, map[string]rawAnswer{
		"copy":         {"model", stream, []string{streamHead + stream, streamHead + stream}},
		"copy at once": {"model", stream, []string{streamHead + stream + streamHead + stream}},
		"events":       {"model", stream, []string{streamHead + stream + token, stream}},
		"no clean end": {"model", stream, []string{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n", len(stream), stream)}},
	}, func(name string, a rawAnswer, res *callResult) {
		assert.Check(t, res.done != nil, "%s: %v", name, res.refuse)
		assert.Check(t, res.text() == a.want, "%s: %q", name, res.text())
	})
}

// Guards against a model's body whose end is that of its connection: bytes after its JSON value that reach the caller,
// and a body that ends before it and looks complete.
func TestBodyOfModelEndsWithItsValue(t *testing.T) {
	const cut = "cut"
	callRaw(t, map[string]rawAnswer{
		"copy":              {"model", object, []string{jsonHead + object, jsonHead + object}},
		"other answer":      {"model", object, []string{jsonHead + object + "HTTP/1.1 500 Broken\r\n\r\n"}},
		"line end":          {"model", " " + object, []string{jsonHead + " ", object[:20], object[20:] + "\n"}},
		"with a length":     {"model", object + "\n", []string{strings.Replace(jsonHead, "Date", fmt.Sprintf("Content-Length: %d\r\nDate", len(object)+1), 1) + object + "\n", jsonHead}},
		"no JSON object":    {"model", "no", []string{jsonHead + "n", "o"}},
		cut:                 {"model", object[:len(object)-1], []string{jsonHead + object[:9], object[9 : len(object)-1]}},
		cut + " in a text":  {"model", object[:22], []string{jsonHead + object[:22]}},
		cut + " before all": {"model", " ", []string{jsonHead + " "}},
	}, func(name string, a rawAnswer, res *callResult) {
		assert.Check(t, (res.done == nil) == strings.HasPrefix(name, cut), "%s: %v", name, res.refuse)
		assert.Check(t, res.done != nil || res.refuse.Crashed, name)
		assert.Check(t, res.text() == a.want, "%s: %q", name, res.text())
	})
}

// Guards against an answer that holds a copy of itself and looks complete, and against a copy that counts as a crash or
// a cold start of the upstream.
func TestSecondAnswerIsNotPartOfAnswer(t *testing.T) {
	sized := strings.Replace(textHead, "Date", "Content-Length: 300\r\nDate", 1)
	const whole = "a whole stream"
	allowance := uint32(0)
	callRaw(t, map[string]rawAnswer{
		whole:                         {"service", token, []string{streamHead + token}},
		"copy after a stream":         {"service", token, []string{streamHead + token, streamHead + token}},
		"later copy after a stream":   {"service", token, []string{streamHead + token, later(streamHead) + token}},
		"cut copy of a stream":        {"service", token, []string{streamHead + token, streamHead[:30]}},
		"copy amid a stream":          {"service", token, []string{streamHead + token, streamHead + token, token}},
		"copy inside an event":        {"service", token, []string{streamHead + token + token[:9], streamHead + token, token[9:]}},
		"copy after a body":           {"service", "body", []string{textHead + "body", textHead + "body"}},
		"copy amid a sized body":      {"service", "body", []string{sized + "body", sized + strings.Repeat("x", 300)}},
		"copy inside a chunk":         {"service", "body", []string{chunkHead + "12c\r\nbody", chunkHead + "12c\r\n" + strings.Repeat("x", 300)}},
		"copy inside a model's event": {"model", token, []string{streamHead + token + token[:9], streamHead + token + end, token[9:] + end}},
		"copy amid a model's stream":  {"model", token, []string{streamHead + token, streamHead + token + end}},
		"copy amid a model's body":    {"model", object[:9], []string{jsonHead + object[:9], jsonHead + object}},
	}, func(name string, a rawAnswer, res *callResult) {
		if name == whole {
			allowance = res.done.GetLoad().GetAllowance()
			return
		}
		assert.Check(t, res.done == nil, "%s: %q looks complete", name, res.text())
		assert.Check(t, res.text() == a.want, "%s: %q", name, res.text())
		assert.Check(t, res.done != nil || res.refuse.Ran && !res.refuse.Crashed, name)
		assert.Check(t, res.done != nil || res.refuse.Load.Allowance == allowance, "%s: %d requests at most", name, res.refuse.GetLoad().GetAllowance())
	})
}

// Guards against texts on HTTP that are cut, as if they were second answers.
func TestTextOnHTTPIsNoSecondAnswer(t *testing.T) {
	answers := map[string]rawAnswer{}
	for _, body := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", strings.Replace(textHead, "06:00:00", "05:59:59", 1) + "body",
		strings.Replace(textHead, "plain", "html", 1), strings.Replace(textHead, "200 OK", "404 Not Found", 1), textHead[:9] + "\n",
		strings.Replace(textHead, "Date", "Via: a\r\nDate", 1), jsonHead,
	} {
		answers[body] = rawAnswer{"service", body, []string{textHead + body}}
	}
	callRaw(t, answers, func(_ string, a rawAnswer, res *callResult) {
		assert.Check(t, res.done != nil, "%q: %v", a.want, res.refuse)
		assert.Check(t, res.text() == a.want, "%q", res.text())
	})
}
