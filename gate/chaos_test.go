package gate_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/wire"
)

// retryUntilDeadline is a Retrier that allows retries without limit, after 20 ms each.
type retryUntilDeadline struct{ gate.RetryOnce }

func (retryUntilDeadline) Retry(clock.Time, *gate.RequestInfo, gate.Failure) (clock.Span, bool) {
	return 20, true
}

// breakSession closes the session of one agent, and returns when the gateway is connected to all
// agents again. The number of connected agents does not show that alone: the gateway counts a
// closed session until it has noticed the end.
func breakSession(t *testing.T, s *gate.Server, agents []*fakeAgent, index int) {
	broken := agents[index].session.Load()
	broken.Close()
	eventually(t, func() bool {
		return agents[index].session.Load() != broken && len(s.ConnectedAgents()) == len(agents)
	})
}

// Guards against responses that are truncated, mixed up or repeated when sessions and streams break
// at arbitrary moments under concurrent requests. The agents also send frames of other attempts.
func TestBreaksUnderLoad(t *testing.T) {
	const (
		streamCount = 120
		tokenCount  = 40
	)
	unreliable := func(c *agentCall) {
		_ = c.sendHead(200, eventStream)
		for i := max(c.Resume-1, 0); i < tokenCount; i++ {
			if rand.IntN(30) == 0 {
				c.stream.Close()
				return
			}
			foreign := &wire.Part{Attempt: "other", Index: i, Data: []byte(tokenEvent(999))}
			_ = c.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: foreign}})
			if c.sendPart(i, tokenEvent(i)) != nil {
				return
			}
		}
		_ = c.sendPart(tokenCount, doneEvent)
		c.sendDone()
	}
	agents := []*fakeAgent{newFakeAgent(t, "a1", unreliable), newFakeAgent(t, "a2", unreliable), newFakeAgent(t, "a3", unreliable)}
	s := startGateway(t, func(o *gate.Options) { o.Retrier = retryUntilDeadline{} }, agents...)
	stop := make(chan struct{})
	var breaker sync.WaitGroup
	breaker.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				// Break one session at a time: a request needs one connected agent.
				breakSession(t, s, agents, rand.IntN(len(agents)))
			}
		}
	})
	texts := make([]string, streamCount)
	errs := make([]error, streamCount)
	var readers sync.WaitGroup
	for i := range streamCount {
		readers.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
			var text strings.Builder
			for st.Next() {
				text.WriteString(st.Current().Choices[0].Delta.Content)
			}
			texts[i], errs[i] = text.String(), st.Err()
		})
	}
	readers.Wait()
	close(stop)
	breaker.Wait()
	for i := range streamCount {
		assert.NilError(t, errs[i])
		assert.Equal(t, texts[i], tokenText(tokenCount))
	}
}
