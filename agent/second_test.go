package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/wire"
)

// rawAnswer is what an upstream writes to a request, each piece later than the one before, until it closes the connection.
type rawAnswer struct {
	kind, want string
	pieces     []string
}

// callRaw calls an agent before an upstream with raw answers, once for each answer and again with a call that must not be
// repeated.
func callRaw(t *testing.T, answers map[string]rawAnswer, check func(name string, a rawAnswer, res *callResult)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePieces(c, answers)
		}
	}()
	ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = l.Addr().String() })
	attempts := 0
	for name, a := range answers {
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
		}
	}
}

func servePieces(c net.Conn, answers map[string]rawAnswer) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	for i, p := range answers[req.URL.Path[1:]].pieces {
		if i > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = io.WriteString(c, p) // the agent may have closed the connection
	}
}

const (
	date       = "Date: Sat, 05 Dec 2026 06:00:00 GMT\r\n"
	streamHead = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: text/event-stream\r\n\r\n"
	jsonHead   = "HTTP/1.1 200 OK\r\n" + date + "Content-Type: application/json\r\n\r\n"
	token      = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	end        = "data: [DONE]\n\n"
	object     = `{"choices":[{"text":"a}\"{"}],"usage":{"total_tokens":3}}`
)

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
