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

// patient is a Retrier that tries again until the deadline.
type patient struct{ gate.RetryOnce }

func (patient) Retry(clock.Time, *gate.RequestInfo, gate.Failure) (clock.Span, bool) { return 20, true }

// Guards against answers that are cut, mixed or repeated when sessions and streams
// break at any moment under concurrent requests.
func TestBreaksUnderLoad(t *testing.T) {
	const (
		streams = 120
		length  = 40
	)
	unreliable := func(c *agentCall) {
		_ = c.head(200, events)
		for i := max(c.Resume-1, 0); i < length; i++ {
			if rand.IntN(30) == 0 {
				c.stream.Close()
				return
			}
			other := &wire.Part{Attempt: "other", Index: i, Data: []byte(token(999))}
			_ = c.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: other}})
			if c.part(i, token(i)) != nil {
				return
			}
		}
		_ = c.part(length, endEvent)
		c.done()
	}
	agents := []*standIn{newStandIn(t, "a1", unreliable), newStandIn(t, "a2", unreliable), newStandIn(t, "a3", unreliable)}
	s := start(t, func(o *gate.Options) { o.Retrier = patient{} }, agents...)
	stop := make(chan struct{})
	var breaker sync.WaitGroup
	breaker.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				// One at a time: a request needs one connected agent.
				eventually(t, func() bool { return len(s.ConnectedAgents()) == len(agents) })
				agents[rand.IntN(len(agents))].session.Load().Close()
			}
		}
	})
	texts := make([]string, streams)
	errs := make([]error, streams)
	var readers sync.WaitGroup
	for i := range streams {
		readers.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
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
	for i := range streams {
		assert.NilError(t, errs[i])
		assert.Equal(t, texts[i], tokens(length))
	}
}
