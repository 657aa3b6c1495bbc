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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const wait = 5 * time.Second

func await(t testing.TB, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(wait):
		t.Fatalf("%s did not happen in %v", what, wait)
	}
}

// Guards against buffering: the first token must arrive while the second has not
// been generated.
func TestFirstTokenAtOnce(t *testing.T) {
	release := make(chan struct{})
	sent := make(chan time.Time, 1)
	s := start(t, nil, newStandIn(t, "a1", func(c *agentCall) {
		_ = c.head(200, events)
		sent <- time.Now()
		_ = c.part(0, token(0))
		<-release
		_ = c.part(1, token(1)+endEvent)
		c.done()
	}))
	st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
	assert.Assert(t, st.Next(), "%v", st.Err())
	t.Logf("first token after %v", time.Since(<-sent))
	close(release)
	assert.Assert(t, st.Next())
	assert.Assert(t, !st.Next())
	assert.NilError(t, st.Err())
}

// Guards against work for callers that have gone.
func TestCancelled(t *testing.T) {
	gone := make(chan struct{})
	s := start(t, nil, newStandIn(t, "a1", func(c *agentCall) {
		_ = c.head(200, events)
		_ = c.part(0, token(0))
		<-c.gone
		close(gone)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	st := client(s, key).Chat.Completions.NewStreaming(ctx, chat("small"))
	assert.Assert(t, st.Next())
	cancel()
	await(t, gone, "cancellation at the agent")
	st.Close()
}

// Guards against gaps and repetitions when a stream breaks, also in the middle of
// an event, and when the next upstream sends some events again.
func TestResume(t *testing.T) {
	breaks := func(c *agentCall) {
		_ = c.head(200, events)
		for i := range int64(5) {
			_ = c.part(i, token(i))
		}
		_ = c.part(5, token(5)+token(6)[:20])
		c.stream.Close()
	}
	for _, again := range []int64{0, 2} {
		t.Run(fmt.Sprint(again), func(t *testing.T) {
			resumed := make(chan int64, 1)
			var first, second script = breaks, func(c *agentCall) {
				resumed <- c.Resume
				c.Resume -= again
				answerTokens(10)(c)
			}
			calls := make(chan script, 2)
			calls <- first
			calls <- second
			either := func(c *agentCall) { (<-calls)(c) }
			s := start(t, nil, newStandIn(t, "a1", either), newStandIn(t, "a2", either))
			assert.Equal(t, readStream(t, s), tokens(10))
			assert.Equal(t, <-resumed, int64(6))
		})
	}
}

// Guards against a gap that is passed off as a whole answer.
func TestGap(t *testing.T) {
	s := start(t, nil, newStandIn(t, "a1", func(c *agentCall) {
		_ = c.head(200, events)
		_ = c.part(0, token(0))
		_ = c.part(2, token(2)+endEvent)
		c.done()
	}))
	st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
	n := 0
	for st.Next() {
		n++
	}
	assert.ErrorContains(t, st.Err(), "upstream_failed")
	assert.Assert(t, n <= 2)
}

// Guards against an answer that contains a part of another one.
func TestOtherAttempt(t *testing.T) {
	s := start(t, nil, newStandIn(t, "a1", func(c *agentCall) {
		other := &agentCall{Call: &wire.Call{Attempt: "other"}, stream: c.stream}
		_ = other.head(500, "application/json")
		_ = c.head(200, events)
		_ = other.part(0, token(7))
		_ = c.part(0, token(0))
		other.done()
		_ = c.part(1, endEvent)
		c.done()
	}))
	assert.Equal(t, readStream(t, s), tokens(1))
}

// Guards against keys that still work on open streams after their withdrawal.
func TestKeyWithdrawn(t *testing.T) {
	s := start(t, nil, newStandIn(t, "a1", func(c *agentCall) {
		_ = c.head(200, events)
		_ = c.part(0, token(0))
		<-c.gone
	}))
	st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
	assert.Assert(t, st.Next())
	s.SetDirectory(&gate.StaticDirectory{ModelIDs: map[units.ModelID]bool{"small": true}})
	assert.Assert(t, !st.Next())
	assert.ErrorContains(t, st.Err(), "key_withdrawn")
	_, err := client(s, key).Chat.Completions.New(context.Background(), chat("small"))
	assert.Equal(t, errorOf(t, err).Code, string(units.InvalidKey))
}

// heap returns the bytes in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against memory that grows with callers that don't read, and against their
// connections staying for ever.
func TestSlowReaders(t *testing.T) {
	const (
		readers  = 8
		partSize = 32 << 10
		parts    = 512 // 16 MB for each reader
	)
	filler := "data: " + strings.Repeat("x", partSize) + "\n\n"
	stopped := make(chan int64, readers)
	s := start(t, func(o *gate.Options) { o.Settings.Limits.WriteTimeout = 3000 }, newStandIn(t, "a1", func(c *agentCall) {
		_ = c.head(200, events)
		i := int64(0)
		for i < parts && c.part(i, filler) == nil {
			i++
		}
		<-c.gone
		stopped <- i
	}))
	before := heap()
	body := `{"model":"small","stream":true}`
	for range readers {
		c, err := net.Dial("tcp", s.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		_, err = bufio.NewReaderSize(c, 16).ReadByte()
		assert.NilError(t, err)
	}
	// The streams stall once all windows are full, before the time limit of a write.
	// What they hold then is in each sample; the rest is garbage of the moment.
	time.Sleep(500 * time.Millisecond)
	grown := heap() - before
	for range 5 {
		time.Sleep(200 * time.Millisecond)
		grown = min(grown, heap()-before)
	}
	t.Logf("heap grew by %d KB for %d readers, agent's side included", grown>>10, readers)
	// Each stream may hold the window of yamux at the gateway, and a frame on each side.
	assert.Assert(t, grown < readers*(1<<20), "%d bytes", grown)
	for range readers {
		select {
		case <-stopped:
		case <-time.After(wait):
			t.Fatal("a stalled reader was not cut off")
		}
	}
}

// Guards against a stop that cuts off requests, and against one that never ends.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	slow := func(c *agentCall) {
		_ = c.head(200, events)
		_ = c.part(0, token(0))
		select {
		case <-release:
		case <-c.gone:
			return
		}
		_ = c.part(1, token(1)+endEvent)
		c.done()
	}
	run := func(limits gate.Limits, during func(s *gate.Server)) (string, error, error) {
		a := newStandIn(t, "a1", slow)
		o := options(a)
		o.Settings.Limits = limits
		s, err := gate.New(o)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
		st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
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
			w, body := send(t, s, "GET", "/v1/models", "")
			return w.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "draining")
		})
		close(release)
	})
	assert.NilError(t, err)
	assert.NilError(t, stopErr)
	assert.Equal(t, text, tokens(2))

	release = make(chan struct{})
	_, err, stopErr = run(gate.Limits{DrainDelay: 1, StopTimeout: 50}, func(*gate.Server) {})
	assert.ErrorContains(t, err, "draining")
	assert.Assert(t, errors.Is(stopErr, gate.ErrStopTimeout))
}

// Guards against an answer that is given up because no upstream is connected at the moment
// at which its own broke: it goes on when one is back.
func TestBrokenAnswerWaitsForUpstream(t *testing.T) {
	const length = 6
	for _, from := range []int64{0, 3} {
		var a *standIn
		broke := make(chan struct{}, 1)
		a = newStandIn(t, "a1", func(c *agentCall) {
			_ = c.head(200, events)
			for i := max(c.Resume-1, 0); i < length; i++ {
				if i == from && len(broke) == 0 {
					broke <- struct{}{}
					a.session.Load().Close()
					return
				}
				_ = c.part(i, token(i))
			}
			_ = c.part(length, endEvent)
			c.done()
		})
		s := start(t, func(o *gate.Options) { o.Retrier = patient{} }, a)
		st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
		var text strings.Builder
		for st.Next() {
			text.WriteString(st.Current().Choices[0].Delta.Content)
		}
		assert.NilError(t, st.Err(), "broken at event %d", from)
		assert.Equal(t, text.String(), tokens(length))
	}
}
