package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const testTimeout = 5 * time.Second

// waitClosed fails the test when c is not closed within testTimeout.
func waitClosed(t testing.TB, c <-chan struct{}, event string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatalf("%s: not seen within %v", event, testTimeout)
	}
}

// Guards against buffering: the first token must arrive before the second has been generated.
func TestFirstTokenNotBuffered(t *testing.T) {
	release := make(chan struct{})
	sent := make(chan time.Time, 1)
	s := startGateway(t, nil, newFakeAgent(t, "a1", func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		sent <- time.Now()
		_ = c.sendPart(0, tokenEvent(0))
		<-release
		_ = c.sendPart(1, tokenEvent(1)+doneEvent)
		c.sendDone()
	}))
	st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
	assert.Assert(t, st.Next(), "%v", st.Err())
	t.Logf("first token after %v", time.Since(<-sent))
	close(release)
	assert.Assert(t, st.Next())
	assert.Assert(t, !st.Next())
	assert.NilError(t, st.Err())
}

// Guards against upstream work for callers that have disconnected.
func TestDisconnectCancelsUpstream(t *testing.T) {
	canceled := make(chan struct{})
	s := startGateway(t, nil, newFakeAgent(t, "a1", func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		_ = c.sendPart(0, tokenEvent(0))
		<-c.streamClosed
		close(canceled)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	st := newClient(s, testKey).Chat.Completions.NewStreaming(ctx, chatParams("small"))
	assert.Assert(t, st.Next())
	cancel()
	waitClosed(t, canceled, "cancellation at the agent")
	st.Close()
}

// Guards against missing and repeated events when a stream breaks, also within an event, and when
// the next upstream sends some events again.
func TestResume(t *testing.T) {
	breakMidEvent := func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		for i := range int64(5) {
			_ = c.sendPart(i, tokenEvent(i))
		}
		_ = c.sendPart(5, tokenEvent(5)+tokenEvent(6)[:20])
		c.stream.Close()
	}
	for _, repeated := range []int64{0, 2} {
		t.Run(fmt.Sprint(repeated), func(t *testing.T) {
			resumed := make(chan int64, 1)
			var first, second callHandler = breakMidEvent, func(c *agentCall) {
				resumed <- c.Resume
				c.Resume -= repeated
				respondTokens(10)(c)
			}
			calls := make(chan callHandler, 2)
			calls <- first
			calls <- second
			nextHandler := func(c *agentCall) { (<-calls)(c) }
			s := startGateway(t, nil, newFakeAgent(t, "a1", nextHandler), newFakeAgent(t, "a2", nextHandler))
			assert.Equal(t, readStream(t, s), tokenText(10))
			assert.Equal(t, <-resumed, int64(6))
		})
	}
}

// Guards against a response with missing events that is reported as complete.
func TestEventGapFailsStream(t *testing.T) {
	s := startGateway(t, nil, newFakeAgent(t, "a1", func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		_ = c.sendPart(0, tokenEvent(0))
		_ = c.sendPart(2, tokenEvent(2)+doneEvent)
		c.sendDone()
	}))
	st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
	n := 0
	for st.Next() {
		n++
	}
	assert.ErrorContains(t, st.Err(), "upstream_failed")
	assert.Assert(t, n <= 2)
}

// Guards against a response that contains frames of another attempt.
func TestFramesOfOtherAttemptDropped(t *testing.T) {
	s := startGateway(t, nil, newFakeAgent(t, "a1", func(c *agentCall) {
		other := &agentCall{Call: &wire.Call{Attempt: "other"}, stream: c.stream}
		_ = other.sendHead(500, "application/json")
		_ = c.sendHead(200, eventStream)
		_ = other.sendPart(0, tokenEvent(7))
		_ = c.sendPart(0, tokenEvent(0))
		other.sendDone()
		_ = c.sendPart(1, doneEvent)
		c.sendDone()
	}))
	assert.Equal(t, readStream(t, s), tokenText(1))
}

// Guards against withdrawn keys that remain usable on open streams.
func TestKeyWithdrawn(t *testing.T) {
	s := startGateway(t, nil, newFakeAgent(t, "a1", func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		_ = c.sendPart(0, tokenEvent(0))
		<-c.streamClosed
	}))
	st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
	assert.Assert(t, st.Next())
	s.SetDirectory(&gate.StaticDirectory{ModelIDs: map[units.ModelID]bool{"small": true}})
	assert.Assert(t, !st.Next())
	assert.ErrorContains(t, st.Err(), "key_withdrawn")
	_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
	assert.Equal(t, apiErrorOf(t, err).Code, string(units.InvalidKey))
}

// heapBytes returns the bytes of live heap objects, after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory use that grows with the data for callers that don't read, and against
// connections of such callers that stay open forever.
func TestSlowReaders(t *testing.T) {
	const (
		readers  = 8
		partSize = 32 << 10
		parts    = 512 // 16 MB for each reader
	)
	event := "data: " + strings.Repeat("x", partSize) + "\n\n"
	const writeTimeout = 6 * clock.Second
	stopped := make(chan int64, readers)
	var sent atomic.Int64
	s := startGateway(t, func(o *gate.Options) { o.Settings.Limits.WriteTimeout = writeTimeout }, newFakeAgent(t, "a1", func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		i := int64(0)
		for i < parts && c.sendPart(i, event) == nil {
			i++
			sent.Add(1)
		}
		<-c.streamClosed
		stopped <- i
	}))
	before := heapBytes()
	body := `{"model":"small","stream":true}`
	for range readers {
		c, err := net.Dial("tcp", s.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		_, err = bufio.NewReaderSize(c, 16).ReadByte()
		assert.NilError(t, err)
	}
	// The streams stall when all flow control windows are full. Until then the heap also holds
	// garbage of the transfer, so that only samples that were begun after the last part count.
	growth := map[int64]int64{} // by the number of parts sent before the sample
	for end := time.Now().Add(writeTimeout.Duration() + testTimeout); len(stopped) == 0 && time.Now().Before(end); {
		n := sent.Load()
		sample := heapBytes() - before
		if last, ok := growth[n]; len(stopped) == 0 && (!ok || sample < last) {
			growth[n] = sample
		}
		time.Sleep(200 * time.Millisecond)
	}
	total := int64(0)
	for range readers {
		select {
		case n := <-stopped:
			total += n
		case <-time.After(writeTimeout.Duration() + testTimeout):
			t.Fatal("the stream of a stalled reader was not closed")
		}
	}
	stalled, ok := growth[total]
	assert.Assert(t, ok, "the first stream was closed before the last one stalled")
	t.Logf("heap grew by %d KB for %d readers, fake agents included; %d parts sent", stalled>>10, readers, total)
	// Each stream may hold the yamux window at the gateway, and one frame on each side.
	assert.Assert(t, stalled < readers*(1<<20), "%d bytes", stalled)
}

// Guards against a graceful stop that cancels requests before its time limit, and against one that
// never ends.
func TestGracefulStop(t *testing.T) {
	release := make(chan struct{})
	slow := func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		_ = c.sendPart(0, tokenEvent(0))
		select {
		case <-release:
		case <-c.streamClosed:
			return
		}
		_ = c.sendPart(1, tokenEvent(1)+doneEvent)
		c.sendDone()
	}
	run := func(limits gate.Limits, during func(s *gate.Server)) (string, error, error) {
		a := newFakeAgent(t, "a1", slow)
		o := testOptions(a)
		o.Settings.Limits = limits
		s, err := gate.New(o)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
		st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
		assert.Assert(t, st.Next())
		cancel()
		during(s)
		text := "t0 "
		for st.Next() {
			text += st.Current().Choices[0].Delta.Content
		}
		return text, st.Err(), <-done
	}
	text, err, stopErr := run(gate.Limits{DrainDelay: 50}, func(s *gate.Server) {
		eventually(t, func() bool {
			w, err := http.Get("http://" + s.AdminAddr().String() + "/readyz")
			assert.NilError(t, err)
			w.Body.Close()
			return w.StatusCode == http.StatusServiceUnavailable
		})
		eventually(t, func() bool {
			w, body := sendRequest(t, s, "GET", "/v1/models", "")
			return w.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "draining")
		})
		close(release)
	})
	assert.NilError(t, err)
	assert.NilError(t, stopErr)
	assert.Equal(t, text, tokenText(2))

	release = make(chan struct{})
	_, err, stopErr = run(gate.Limits{DrainDelay: 1, StopTimeout: 50}, func(*gate.Server) {})
	assert.ErrorContains(t, err, "draining")
	assert.Assert(t, errors.Is(stopErr, gate.ErrStopTimeout))
}

// Guards against giving up a broken response because no upstream is connected at that moment: it
// has to resume when an upstream is back.
func TestBrokenResponseWaitsForUpstream(t *testing.T) {
	const tokenCount = 6
	for _, breakAt := range []int64{0, 3} {
		var a *fakeAgent
		broken := make(chan struct{}, 1)
		a = newFakeAgent(t, "a1", func(c *agentCall) {
			_ = c.sendHead(200, eventStream)
			for i := max(c.Resume-1, 0); i < tokenCount; i++ {
				if i == breakAt && len(broken) == 0 {
					broken <- struct{}{}
					a.session.Load().Close()
					return
				}
				_ = c.sendPart(i, tokenEvent(i))
			}
			_ = c.sendPart(tokenCount, doneEvent)
			c.sendDone()
		})
		s := startGateway(t, func(o *gate.Options) { o.Retrier = retryUntilDeadline{} }, a)
		st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
		var text strings.Builder
		for st.Next() {
			text.WriteString(st.Current().Choices[0].Delta.Content)
		}
		assert.NilError(t, st.Err(), "broken at event %d", breakAt)
		assert.Equal(t, text.String(), tokenText(tokenCount))
	}
}

// Guards against the text of an error in the middle of a stream: the next upstream answers a stream that broke
// off with a failure, a refusal or another kind of body.
func TestAnswerThatIsNoStreamDoesNotResumeOne(t *testing.T) {
	for _, head := range []struct {
		status      uint32
		contentType string
	}{{200, "application/json"}, {500, "text/plain"}, {503, eventStream}, {400, "application/json"}, {429, "application/json"}} {
		t.Run(fmt.Sprint(head.status), func(t *testing.T) {
			first := func(c *agentCall) {
				_ = c.sendHead(200, eventStream)
				_ = c.sendPart(0, tokenEvent(0))
				c.stream.Close()
			}
			second := func(c *agentCall) {
				_ = c.sendHead(head.status, head.contentType)
				_ = c.sendPart(1, "error text that is no event\n\n")
				c.sendDone()
			}
			calls := make(chan callHandler, 8)
			calls <- first
			for range 7 {
				calls <- second
			}
			nextHandler := func(c *agentCall) { (<-calls)(c) }
			s := startGateway(t, nil, newFakeAgent(t, "a1", nextHandler), newFakeAgent(t, "a2", nextHandler))
			st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
			text := ""
			for st.Next() {
				text += st.Current().Choices[0].Delta.Content
			}
			assert.ErrorContains(t, st.Err(), "upstream_failed")
			assert.Equal(t, text, tokenText(1))
		})
	}
}
