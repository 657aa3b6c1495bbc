package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/wire"
)

// repeatingServer answers each request with its path. Before each answer on a connection in use again it
// writes the previous answer once more.
func repeatingServer(t *testing.T, status string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(c, status)
		}
	}()
	return l.Addr().String()
}

func repeatAnswers(c net.Conn, status string) {
	defer c.Close()
	r := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(req.URL.Path), req.URL.Path)
		if _, err := io.WriteString(c, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// Guards against an answer or a refusal that an upstream writes once more and that reaches the caller of
// the next request.
func TestRepeatedAnswerIsNotTheNextAnswer(t *testing.T) {
	for _, status := range []string{"200 OK", "429 Too Many Requests", "503 Service Unavailable"} {
		ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = repeatingServer(t, status) })
		for i := range 4 {
			path := fmt.Sprint("/r", i)
			res := readResponse(t, ta.call(&wire.Call{Attempt: "a" + path, Kind: "service", Path: path, Method: http.MethodGet, Idempotent: i%2 == 0}))
			assert.Assert(t, res.done != nil)
			assert.Equal(t, res.text(), path, status)
		}
	}
}

// serveCut answers a request for /N with the first N bytes of the answer and closes the connection.
func serveCut(c net.Conn, answer string) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if n, err := strconv.Atoi(req.URL.Path[1:]); err == nil {
		_, _ = io.WriteString(c, answer[:n]) // the answer is cut in any case
	}
}

// Guards against a success for the caller although the upstream stopped in the middle of its answer's head
// or of a body with a length.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\ndata: [DONE]\n\n\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCut(c, answer)
		}
	}()
	ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = l.Addr().String() })
	for cut := range len(answer) {
		path := fmt.Sprint("/", cut)
		var res *callResult
		for i := 0; i == 0 || res.refuse.GetCode() == "cold_limit"; i++ {
			// The agent may still count the call before, after which it takes the upstream as cold.
			res = readResponse(t, ta.call(&wire.Call{
				Attempt: fmt.Sprint("a", path, "-", i), Kind: "service", Path: path, Method: http.MethodGet, Idempotent: cut%2 == 0,
			}))
		}
		assert.Assert(t, res.done == nil, "cut after %d bytes", cut)
		assert.Assert(t, res.refuse.GetRan(), "cut after %d bytes: %s %s", cut, res.refuse.GetCode(), res.refuse.GetMessage())
	}
}

// Guards against a load report of an engine that is a copy of an earlier one, on a connection in use again.
func TestCopyIsNotNextLoadReport(t *testing.T) {
	reports := make(chan int, 100)
	engine, err := raw.StartCopying(func(r *raw.Request) string {
		reports <- r.NumberOnConnection
		return raw.Answer(http.StatusOK, `{"instance":"one","memory":{"capacity":100}}`)
	})
	assert.NilError(t, err)
	defer engine.Close()
	startAgent(t, http.NotFoundHandler(), func(o *agent.Options) {
		o.Upstream = agent.Upstream{Kind: agent.Engine, Address: engine.Addr(), Capacity: 100}
		o.Limits.PollInterval = 20
	})
	for range 5 {
		assert.Equal(t, <-reports, 1, "requests on the connection")
	}
}
