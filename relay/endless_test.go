package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// writeBuffer is the size of the upstream's socket buffer in bytes. What the kernel takes would count as
// read by the gateway otherwise.
const writeBuffer = 16 << 10

// flood writes the block to the caller until it closes the connection or limit bytes are written, and
// returns the number of bytes written.
func flood(r *fakes.Request, block string, limit int64) int64 {
	r.LimitWriteBuffer(writeBuffer)
	written := int64(0)
	for written < limit && r.TryWriteRaw(block) == nil {
		written += int64(len(block))
	}
	return written
}

// refusalWithoutEnd stands for the head of a refusal with a long body.
const refusalWithoutEnd = "refusal"

// floodLimit is far above what a gateway may accept, in bytes.
const floodLimit = 64 << 20

// Guards against an upstream whose answer never ends, in its head or in its body: the gateway has to
// close the connection after a bounded number of bytes, and the caller gets no success.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	line := "X-More: " + strings.Repeat("a", 500) + "\r\n"
	block := strings.Repeat("b", 16<<10)
	for name, c := range map[string]struct {
		path, start, block string
		most               int64
	}{
		"head":            {"/once/a", "HTTP/1.1 200 OK\r\n", line, 2 << 20},
		"informational":   {"/once/a", "", "HTTP/1.1 102 Processing\r\n" + line + "\r\n", 2 << 20},
		"body":            {"/once/a", fakes.Head("id-/once/a", "200 OK") + "\r\n", block, 16 << 20},
		"other's body":    {"/once/a", fakes.Head("other", "200 OK") + "Content-Length: 999999999\r\n\r\n", block, 2 << 20},
		"body of refusal": {"/once/a", refusalWithoutEnd, block, 2 << 20},
		"event":           {"/stream/a", fakes.Head("id-/stream/a", "200 OK") + "Content-Type: text/event-stream\r\n\r\n", block, 4 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			replica := startReplica(t, "one", func(r *fakes.Request) {
				if c.start == refusalWithoutEnd {
					r.RejectWithBody("", floodLimit)
				} else {
					r.WriteRaw(c.start)
				}
				written.Add(flood(r, c.block, floodLimit))
				r.CloseConnection()
			})
			g := newTestGateway(t, replica)
			var got result
			if strings.HasPrefix(c.path, "/stream") {
				got = g.postStream(c.path)
			} else {
				got = g.post(c.path, "x")
			}
			assert.Assert(t, got.err != nil || got.status >= http.StatusBadRequest, "status %d, %d bytes", got.status, len(got.body))
			assert.Assert(t, written.Load() < c.most, "the upstream could send %d bytes", written.Load())
		})
	}
}

// Guards against a next answer that is read from the rest of a long body: a connection may only be
// used again when the whole body was read.
func TestLongRefusalIsNotTheNextAnswer(t *testing.T) {
	forged := fakes.Head("id-/read/a", "200 OK") + "Content-Length: 6\r\n\r\nforged"
	padding := strings.Repeat("x", 64<<10)
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if r.Number == 1 {
			r.RejectWithBody(padding, len(padding)+len(forged))
			time.Sleep(30 * time.Millisecond)
			r.WriteRaw(forged)
			return
		}
		r.Respond("200 OK", "right")
	})
	got := newTestGateway(t, replica).get("/read/a")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "right")
}

// Guards against a stalled stream that is kept open by a byte now and then: only whole events are
// progress.
func TestTricklingStreamIsResumedElsewhere(t *testing.T) {
	script := func(r *fakes.Request) {
		if r.LastEventID != "" {
			r.Stream(3, 6, true)
			return
		}
		r.Stream(1, 2, false)
		for r.TryChunk("x") == nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	one, two := startReplica(t, "one", script), startReplica(t, "two", script)
	got := newTestGateway(t, one, two).postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// Guards against slow but sound streams that are cut because they take long in total, or because one
// event arrives in pieces.
func TestSlowStreamIsNotCut(t *testing.T) {
	script := func(r *fakes.Request) {
		r.Stream(1, 1, false)
		for _, piece := range []string{"id: 2\n", "data: piece 2", "\n\n"} {
			time.Sleep(200 * time.Millisecond)
			r.Chunk(piece)
		}
		time.Sleep(500 * time.Millisecond)
		r.Chunk(fakes.Event(3) + fakes.Event(4))
		r.WriteRaw("0\r\n\r\n")
	}
	replica := startReplica(t, "one", script)
	got := newTestGateway(t, replica).postStream("/stream/a")
	assert.Assert(t, !errors.Is(got.err, io.ErrUnexpectedEOF), "%v", got.err)
	assert.Equal(t, strings.Count(got.body, "data:"), 4)
	assert.Equal(t, totalRequests(replica), 1)
}

// Guards against a second copy of an answer that is taken for that of the next request, where the first
// copy had no body, came in chunks or followed an informational answer, and the copy arrives late or in
// pieces.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	for name, answer := range map[string]func(r *fakes.Request){
		"no content": func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, "204 No Content") + "\r\n")
		},
		"chunked": func(r *fakes.Request) {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n")
			r.Chunk(r.URL.Path)
			r.WriteRaw("0\r\n\r\n")
		},
		"informational": func(r *fakes.Request) {
			r.WriteRaw("HTTP/1.1 102 Processing\r\n\r\n")
			r.Respond("200 OK", r.URL.Path)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var last *fakes.Request
			replica := startReplica(t, "one", func(r *fakes.Request) {
				if last != nil {
					// The copy of the answer before arrives when the next one is expected.
					last.RespondTo(last.RequestID, "copy")
					time.Sleep(5 * time.Millisecond)
				}
				answer(r)
				last = r
			})
			g := newTestGateway(t, replica)
			for _, path := range []string{"/read/1", "/read/2", "/read/3"} {
				got := g.get(path)
				assert.NilError(t, got.err)
				assert.Assert(t, got.status < 300 && (got.body == path || name == "no content" && got.body == ""), "%s: %d %q", path, got.status, got.body)
			}
		})
	}
}

// Guards against a gateway that runs out of memory because many upstreams send events that never end, each below the
// limit of one event; streams with whole events go on.
func TestUnfinishedEventsOfAllStreamsAreBounded(t *testing.T) {
	const (
		streams    = 12
		eventBytes = 200 << 10
		// bodyBudget leaves half of it for unfinished events, that is five of them.
		bodyBudget = 2 << 20
	)
	done := make(chan struct{})
	faulty := startReplica(t, "one", func(r *fakes.Request) {
		if r.URL.Path == "/stream/sound" {
			r.Stream(1, 2, false)
			<-done
			r.Chunk(fakes.Event(3))
			r.WriteRaw("0\r\n\r\n")
			return
		}
		r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat("x", eventBytes))
		<-done
	})
	g := newTestGatewayWithBudget(t, bodyBudget, faulty)
	sound, ended := make(chan result, 1), make(chan result, streams)
	go func() { sound <- g.postStream("/stream/sound") }()
	for len(faulty.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	refused := 0
	for range streams {
		go func() { ended <- g.postStream("/stream/faulty") }()
	}
	timeout := time.After(1200 * time.Millisecond)
	for waiting := true; waiting; {
		select {
		case got := <-ended:
			assert.Check(t, got.err != nil || got.status >= http.StatusBadRequest, "status %d", got.status)
			refused++
		case <-timeout:
			waiting = false
		}
	}
	close(done)
	assert.Assert(t, refused >= streams-5, "%d of %d streams were given up", refused, streams)
	got := <-sound
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 3))
}

// Guards against a gateway that runs out of memory because a head has very many lines, which take many times their size
// once they are parsed.
func TestHeadOfManyLinesIsRejected(t *testing.T) {
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "X-%d: y\r\n", i)
		}
		return b.String()
	}
	var closed atomic.Bool
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if r.URL.Path == "/read/few" {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + lines(100) + "Content-Length: 300\r\n\r\n" + strings.Repeat("\n", 300))
			return
		}
		r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + lines(2000))
		r.WaitForClose()
		closed.Store(true)
	})
	g := newTestGateway(t, replica)
	begun := time.Now()
	got := g.post("/once/many", "x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(begun) < time.Second, "given up after %v", time.Since(begun))
	for end := begun.Add(5 * time.Second); !closed.Load(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the connection stays open")
	}
	got = g.get("/read/few")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, strings.Repeat("\n", 300))
}

// Guards against a stream of comments at full speed that counts as one that serves its caller, and against one that only
// pings between its events and is cut.
func TestCommentsAreNoProgress(t *testing.T) {
	var written atomic.Int64
	replica := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 1, false)
		if r.URL.Path == "/stream/ping" {
			for i := 2; i <= 6; i++ {
				r.Chunk(": ping\n\n")
				time.Sleep(100 * time.Millisecond)
				r.Chunk(": ping\n\n" + fakes.Event(i))
			}
			r.WriteRaw("0\r\n\r\n")
			return
		}
		r.LimitWriteBuffer(writeBuffer)
		block := strings.Repeat(": nothing\n\n", 100)
		for written.Load() < floodLimit && r.TryChunk(block) == nil {
			written.Add(int64(len(block)))
		}
	})
	g := newTestGateway(t, replica)
	got := g.postStream("/stream/flood")
	assert.ErrorContains(t, got.err, "EOF")
	assert.Assert(t, len(got.body) < 1<<20, "%d bytes were passed on", len(got.body))
	got = g.postStream("/stream/ping")
	assert.NilError(t, got.err)
	assert.Equal(t, strings.Count(got.body, "data:"), 6)
	assert.Equal(t, strings.Count(got.body, "ping"), 10)
}
