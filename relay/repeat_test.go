package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// refuseTwice refuses the first request on a connection and, before it runs the second one, writes that refusal
// once more.
func refuseTwice(r *fakes.Request) {
	if r.NumberOnConnection == 1 {
		r.RejectFull()
		return
	}
	r.RejectFull()
	r.Respond("200 OK", "done")
}

// Guards against a request that ran and whose caller gets an answer which says that it has not: an upstream writes an earlier
// refusal once more where the answer to the same request, sent again, is due.
func TestRepeatedRefusalIsNotTakenForTheAnswer(t *testing.T) {
	refusedOnce := 0
	one := startReplica(t, "one", func(r *fakes.Request) {
		if r.NumberOnConnection == 1 && refusedOnce > 0 {
			r.Respond("200 OK", "done")
			return
		}
		refusedOnce++
		refuseTwice(r)
	})
	got := newTestGateway(t, one).post("/once/a", "book")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, totalRequests(one), 2)
}

// Guards against the same where the caller itself repeats a request that was refused, with its id.
func TestRefusalOfCallersRepeatIsItsOwn(t *testing.T) {
	ran := 0
	one := startReplica(t, "one", func(r *fakes.Request) {
		if r.NumberOnConnection > 1 {
			r.RejectFull()
			ran++
			r.Respond("200 OK", "done")
			return
		}
		r.RejectFull()
	})
	g := newTestGateway(t, one)
	for range 3 {
		got := g.post("/once/a", "book")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, ran, 0, "requests ran that were reported as not run")
}

// Guards against an error of the next upstream, or any other answer that is no stream, in the middle of a
// stream that broke off, and against a stream that ends as if it were complete.
func TestAnswerThatIsNoStreamDoesNotResumeOne(t *testing.T) {
	for name, answer := range map[string]func(r *fakes.Request){
		"error text with status 200": func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Type: text/plain\r\nContent-Length: 14\r\n\r\ndata: failed\n\n")
		},
		"error with a head in the body": func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Type: text/html\r\n\r\nHTTP/1.1 500 Oops\r\n\r\ndata: failed\n\n")
			r.CloseConnection()
		},
		"status 500": func(r *fakes.Request) { r.Respond("500 Oops", "data: failed\n\n") },
		"refusal":    func(r *fakes.Request) { r.RejectFull() },
		"cut head":   func(r *fakes.Request) { r.WriteRaw("HTTP/1.1 200 OK\r\nContent-Ty"); r.CloseConnection() },
		"cut status": func(r *fakes.Request) { r.WriteRaw("HTTP/1.1 20"); r.CloseConnection() },
	} {
		script := func(r *fakes.Request) {
			if r.LastEventID == "" {
				r.Stream(1, 2, false)
				r.CloseConnection()
				return
			}
			answer(r)
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.Assert(t, got.err != nil, "%s: the stream looks complete: %q", name, got.body)
		assert.Equal(t, got.body, eventRange(1, 2), name)
	}
}

// Guards against a success without the whole body after an upstream that stopped in the middle of its head, on
// each kind of route and with each kind of status.
func TestCutHeadIsNoSuccess(t *testing.T) {
	heads := []string{
		fakes.Head("%", "200 OK") + "Content-Length: 4\r\n\r\n",
		fakes.Head("%", "200 OK") + "Content-Type: text/event-stream\r\n\r\n",
		fakes.Head("%", "404 Not Found") + "Content-Length: 4\r\n\r\n",
		fakes.RefusalHead("%") + "Content-Length: 0\r\n\r\n",
	}
	for _, head := range heads {
		for _, path := range []string{"/once/a", "/read/a", "/stream/a", "/talk/a"} {
			for cut := 1; cut < len(head)-1; cut += 29 {
				one := startReplica(t, "one", func(r *fakes.Request) {
					r.WriteRaw(strings.ReplaceAll(head[:cut], "%", r.RequestID))
					r.CloseConnection()
				})
				model := ""
				if path == "/stream/a" || path == "/talk/a" {
					model = "small"
				}
				got := newTestGateway(t, one).send(context.Background(), http.MethodPost, path, model, "x")
				assert.Assert(t, got.status >= 500, "%s, cut at %d of %q: %d", path, cut, head, got.status)
			}
		}
	}
}
