package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
)

// Guards against an answer that begins with the bytes of an attempt that broke off inside its first event.
func TestCutFirstEventIsNotPartOfNextAttempt(t *testing.T) {
	event := fakes.Event(1)
	for cut := 1; cut < len(event); cut++ {
		var requests atomic.Int64
		script := func(r *fakes.Request) {
			if requests.Add(1) > 1 {
				r.Stream(1, 3, true)
				return
			}
			r.Stream(1, 0, false)
			r.Chunk(event[:cut])
			r.CloseConnection()
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.NilError(t, got.err, "cut at %d", cut)
		assert.Equal(t, got.body, eventRange(1, 3), "cut at %d", cut)
		assert.Equal(t, requests.Load(), int64(2), "cut at %d", cut)
	}
}

// withoutID removes the request's id from a head.
func withoutID(head, id string) string {
	return strings.Replace(head, "Request-Id: "+id+"\r\n", "", 1)
}

// Guards against an answer without a request's id that is taken for the answer to the next request on the connection.
func TestAnswerWithoutIDIsNotThatOfNextRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/read/"} {
		replica := startReplica(t, "one", func(r *fakes.Request) {
			if r.NumberOnConnection > 1 {
				r.WriteRaw(withoutID(fakes.Head(r.RequestID, "200 OK"), r.RequestID) + "Content-Length: 5\r\n\r\nwrong")
			}
			r.Respond("200 OK", r.URL.Path)
		})
		g := newTestGateway(t, replica)
		for i := range 6 {
			target := path + strconv.Itoa(i)
			got := g.get(target)
			assert.Assert(t, got.status != http.StatusOK || got.body == target, "%s: %q", target, got.body)
		}
	}
}

// Guards against answers that can't be distinguished because requests without an id share a connection.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		assert.Check(t, r.RequestID != "" || r.NumberOnConnection == 1)
		r.Respond("200 OK", r.URL.Path)
	})
	g := newTestGateway(t, replica)
	for i := range 6 {
		id := "id" + strconv.Itoa(i)
		if i%2 == 1 {
			id = ""
		}
		got := g.getAs(id, "/read/"+strconv.Itoa(i))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "/read/"+strconv.Itoa(i))
	}
}

// Guards against a late copy of an answer that is no longer known to belong to an earlier request of the connection:
// a connection ends before the ids of its requests are forgotten.
func TestConnectionEndsBeforeItsIDsAreForgotten(t *testing.T) {
	var most atomic.Int64
	replica := startReplica(t, "one", func(r *fakes.Request) {
		most.Store(max(most.Load(), int64(r.NumberOnConnection)))
		r.Respond("200 OK", "")
	})
	g := newTestGateway(t, replica)
	for i := range 300 {
		assert.Equal(t, g.get("/read/"+strconv.Itoa(i)).status, http.StatusOK)
	}
	assert.Assert(t, most.Load() > 100 && most.Load() <= relay.MaxRequestsPerConn, "%d requests on one connection", most.Load())
}

// getAs sends a request with the id; an empty one is left out.
func (r *testGateway) getAs(id, path string) result {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, r.httpServer.URL+path, nil)
	assert.NilError(r.t, err)
	req.Header, req.Host = fakes.RequestHeader(id, key, "", 4000), fakes.Host
	if id == "" {
		req.Header.Del("Request-Id")
	}
	return r.do(req)
}

// streamHead is the head of a stream whose end is the end of its connection.
func streamHead(id string) string {
	return fakes.Head(id, "200 OK") + "Content-Type: text/event-stream\r\n\r\n"
}

// Guards against a second answer, of this request or an earlier one of the connection, that is passed on as part of
// an answer, and against an answer that looks complete though it was cut by one.
func TestSecondAnswerIsNotPartOfABody(t *testing.T) {
	const first = "first"
	copyOf := func(id string) string { return streamHead(id) + eventRange(1, 5) }
	whole := func(id, body string) string { return fakes.Head(id, "200 OK") + "\r\n" + body }
	for name, c := range map[string]struct {
		path, want string
		// answer returns the bytes of the answer to the request with the id.
		answer func(id string) string
	}{
		"earlier answer amid a stream": {"/stream/a", eventRange(1, 4), func(id string) string {
			return streamHead(id) + eventRange(1, 2) + copyOf(first) + eventRange(3, 4)
		}},
		"earlier answer inside an event": {"/stream/a", eventRange(1, 4), func(id string) string {
			return streamHead(id) + eventRange(1, 2) + "id: 3\nda" + copyOf(first) + eventRange(3, 4)
		}},
		"copy after a stream":  {"/stream/a", eventRange(1, 4), func(id string) string { return streamHead(id) + eventRange(1, 4) + copyOf(id) }},
		"cut copy of a stream": {"/stream/a", eventRange(1, 4), func(id string) string { return streamHead(id) + eventRange(1, 4) + copyOf(id)[:30] }},
		"copy after a body":    {"/once/a", "body", func(id string) string { return whole(id, "body") + whole(id, "body") }},
		"copy without an id":   {"/once/a", "body", func(id string) string { return whole(id, "body") + withoutID(whole(id, "body"), id) }},
	} {
		for _, reused := range []bool{false, true} {
			replica := startReplica(t, "one", func(r *fakes.Request) {
				if r.RequestID == first {
					r.Respond("200 OK", "first")
					return
				}
				r.WriteRaw(c.answer(r.RequestID))
				r.CloseConnection()
			})
			g := newTestGateway(t, replica)
			if reused {
				assert.Equal(t, g.getAs(first, "/read/first").status, http.StatusOK)
			}
			model := ""
			if c.path == "/stream/a" {
				model = "small"
			}
			got := g.send(context.Background(), http.MethodPost, c.path, model, "x")
			assert.Check(t, got.status != http.StatusOK || strings.HasPrefix(c.want, got.body), "%s, reused %v: %q", name, reused, got.body)
			assert.Check(t, got.status != http.StatusOK || got.err != nil, "%s, reused %v: %q looks complete", name, reused, got.body)
		}
	}
}

// Guards against events of another answer in a stream, and against events that are lost or repeated where the rest comes
// from another upstream.
func TestEventsOutOfOrderAreNotPartOfAStream(t *testing.T) {
	script := func(r *fakes.Request) {
		if r.LastEventID == "" {
			r.Stream(1, 3, false)
			r.Chunk(fakes.Event(4) + fakes.Event(2) + fakes.Event(5))
			r.WriteRaw("0\r\n\r\n")
			return
		}
		assert.Check(t, r.LastEventID == "4", r.LastEventID)
		r.Stream(3, 6, true)
	}
	one, two := startReplica(t, "one", script), startReplica(t, "two", script)
	g := newTestGateway(t, one, two)
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	got = g.postStream("/stream/a")
	assert.Assert(t, got.err != nil, "%q looks complete", got.body)
	assert.Equal(t, got.body, eventRange(1, 4))
}

// Guards against sound answers that are broken off because they speak of HTTP.
func TestAnswerThatSpeaksOfHTTPIsServed(t *testing.T) {
	for _, body := range []string{
		"use GET / HTTP/1.1", "the log says HTTP/1.1 404 not found\n", "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello",
	} {
		for name, respond := range map[string]func(r *fakes.Request){
			"with a length":    func(r *fakes.Request) { r.Respond("200 OK", body) },
			"without a length": func(r *fakes.Request) { r.RespondUnframed(body) },
		} {
			for _, id := range []string{"id", ""} {
				g := newTestGateway(t, startReplica(t, "one", respond))
				got := g.getAs(id, "/once/a")
				assert.Check(t, got.status == http.StatusOK && got.body == body, "%q %s, id %q: %d %q", body, name, id, got.status, got.body)
			}
		}
	}
}

// Guards against a second answer inside a chunk of a stream, which no framing tells.
func TestSecondAnswerInsideAChunkIsNotPartOfAStream(t *testing.T) {
	for _, other := range []string{"", "other"} {
		script := func(r *fakes.Request) {
			if r.LastEventID != "" {
				assert.Check(t, r.LastEventID == "2", r.LastEventID)
				r.Stream(3, 6, true)
				return
			}
			id := other
			if id == "" {
				id = r.RequestID
			}
			chunk := eventRange(3, 20)
			r.Stream(1, 2, false)
			r.WriteRaw(fmt.Sprintf("%x\r\n%s", len(chunk), chunk[:8]) + streamHead(id) + eventRange(1, 2) + chunk[8:] + "\r\n0\r\n\r\n")
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventRange(1, 6))
	}
}

// Guards against a sized body that looks complete though another answer took a part of its place, wherever it begins.
func TestSecondAnswerAmidASizedBody(t *testing.T) {
	const length = 20
	for own := 1; own < length; own++ {
		replica := startReplica(t, "one", func(r *fakes.Request) {
			if r.RequestID == "first" {
				r.Respond("200 OK", "first")
				return
			}
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n" +
				strings.Repeat("b", own) + fakes.Head("first", "200 OK") + "\r\n" + strings.Repeat("b", length-own))
			r.CloseConnection()
		})
		g := newTestGateway(t, replica)
		assert.Equal(t, g.getAs("first", "/once/a").status, http.StatusOK)
		got := g.getAs("second", "/once/a")
		assert.Check(t, got.status == http.StatusBadGateway, "%d own bytes: %d %q", own, got.status, got.body)
	}
}

// Guards against a part of an answer, or none, that looks complete to a caller that has closed its connection for writing.
func TestHalfClosedCallerGetsNoCutAnswer(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/talk/") {
			r.Stream(1, 2, false)
		}
		r.WaitForClose()
	})
	g := newTestGateway(t, replica)
	for _, path := range []string{"/read/a", "/once/a", "/talk/a"} {
		c, err := net.Dial("tcp", g.httpServer.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n", path, fakes.Host)
		assert.NilError(t, err)
		model := ""
		if path == "/talk/a" {
			model = "small"
		}
		assert.NilError(t, fakes.RequestHeader("id"+path, key, model, 4000).Write(c))
		_, err = fmt.Fprint(c, "\r\n")
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		assert.NilError(t, c.(*net.TCPConn).CloseWrite())
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(res.Body)
			res.Body.Close()
		}
		assert.Check(t, err != nil, "%s: answer looks complete", path)
		c.Close()
	}
}

// Guards against events that a caller gets twice because no request can tell another upstream where a stream broke off.
func TestStreamWithoutPositionIsNotResumed(t *testing.T) {
	for name, events := range map[string][]string{
		"no ids":       {"data: one\n\n", "data: two\n\n", "data: three\n\n"},
		"names":        {"id: a1\ndata: one\n\n", "id: a2\ndata: two\n\n", "id: a3\ndata: three\n\n"},
		"last without": {"id: 1\ndata: one\n\n", "data: two\n\n", "id: 3\ndata: three\n\n"},
	} {
		var requests atomic.Int64
		script := func(r *fakes.Request) {
			r.Stream(1, 0, false)
			if requests.Add(1) > 1 {
				r.Chunk(strings.Join(events, ""))
				r.WriteRaw("0\r\n\r\n")
				return
			}
			r.Chunk(strings.Join(events[:2], ""))
			r.CloseConnection()
		}
		one, two := startReplica(t, "one", script), startReplica(t, "two", script)
		got := newTestGateway(t, one, two).postStream("/talk/a")
		assert.Check(t, got.err != nil, "%s: %q looks complete", name, got.body)
		assert.Check(t, got.body == strings.Join(events[:2], ""), "%s: %q", name, got.body)
	}
}

// Guards against a stream that is broken off because its upstream wrote an event twice, and against the second copy.
func TestEventWrittenTwiceIsPassedOnOnce(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		r.Chunk(fakes.Event(2) + fakes.Event(3))
		r.WriteRaw("0\r\n\r\n")
	})
	got := newTestGateway(t, replica).postStream("/stream/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 3))
}

// Guards against an answer that names another request besides one's own.
func TestAnswerWithSeveralIDsIsNotPassedOn(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Request-Id: other\r\nContent-Length: 5\r\n\r\nwrong")
	})
	g := newTestGateway(t, replica)
	assert.Equal(t, g.getAs("a", "/once/a").status, http.StatusBadGateway)
}

// Guards against an answer that is lost because the upstream names a request whose caller named none.
func TestAnswerWithIDToRequestWithoutOneIsPassedOn(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) { r.RespondTo("made-up", "body") })
	got := newTestGateway(t, replica).getAs("", "/once/a")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "body")
}

// Guards against a change of protocol that no caller asked for, and against the use of such a connection for other requests.
func TestSwitchedProtocolIsNotPassedOn(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) { r.WriteRaw(fakes.Head(r.RequestID, "101 Switching Protocols") + "\r\n") })
	g := newTestGateway(t, replica)
	for range 2 {
		assert.Equal(t, g.getAs("a", "/once/a").status, http.StatusBadGateway)
	}
	assert.Equal(t, replica.Requests()[1].NumberOnConnection, 1)
}

// Guards against a late copy of the answer to a HEAD request, whose announced body is taken from the answers that follow.
func TestCopyOfAnswerToHeadTakesNoOtherAnswer(t *testing.T) {
	headAnswer := ""
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if r.Method == http.MethodHead {
			headAnswer = fakes.Head(r.RequestID, "200 OK") + "Content-Length: 500\r\n\r\n"
			r.WriteRaw(headAnswer)
			return
		}
		if r.NumberOnConnection > 1 {
			r.WriteRaw(headAnswer)
		}
		r.Respond("200 OK", "body")
	})
	g := newTestGateway(t, replica)
	got := g.send(context.Background(), http.MethodHead, "/once/a", "", "")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.header.Get("Content-Length"), "500")
	got = g.post("/once/b", "x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "body")
}
