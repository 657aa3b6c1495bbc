package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

const key = "sk-test-1234"

func directory() *gate.StaticDirectory {
	return &gate.StaticDirectory{
		Keys:     map[gate.KeyHash]gate.Caller{gate.HashKey(key): {Customer: "court", Key: "k1", Class: units.Normal, Weight: 1}},
		ModelIDs: map[units.ModelID]bool{"small": true, "absent": true},
	}
}

func options(agents ...*standIn) gate.Options {
	const local = "127.0.0.1:0"
	o := gate.Options{
		Node:      config.Node{ID: "g1", Zone: "a", Peer: local, Admin: local},
		Secret:    []byte(secret),
		Settings:  gate.Settings{PublicAddress: local, Limits: gate.Limits{DrainDelay: 1}},
		Directory: directory(),
	}
	for _, a := range agents {
		o.Settings.AgentAddresses = append(o.Settings.AgentAddresses, a.listener.Addr().String())
	}
	return o
}

// start runs a gateway in front of the agents and waits until it is connected.
func start(t testing.TB, change func(o *gate.Options), agents ...*standIn) *gate.Server {
	o := options(agents...)
	if change != nil {
		change(&o)
	}
	s, err := gate.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	eventually(t, func() bool { return len(s.ConnectedAgents()) == len(agents) })
	return s
}

func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "condition not met in 5 s")
	}
}

func client(s *gate.Server, key string) *openai.Client {
	c := openai.NewClient(option.WithAPIKey(key), option.WithMaxRetries(0),
		option.WithBaseURL(fmt.Sprintf("http://%s/v1", s.Addr())))
	return &c
}

func chat(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// Guards against a request or an answer that is changed on its way.
func TestPlain(t *testing.T) {
	bodies := make(chan string, 1)
	a := newStandIn(t, "a1", func(c *agentCall) {
		bodies <- string(c.Body)
		answerTokens(0)(c)
	})
	s := start(t, nil, a)
	var raw *http.Response
	got, err := client(s, key).Chat.Completions.New(context.Background(), chat("small"),
		option.WithJSONSet("unknown_field", []int{1, 2}), option.WithResponseInto(&raw))
	assert.NilError(t, err)
	assert.Equal(t, got.Choices[0].Message.Content, "hello")
	assert.Equal(t, got.RawJSON(), plain)
	assert.Equal(t, raw.ContentLength, int64(len(plain)))
	assert.Assert(t, strings.Contains(<-bodies, `"unknown_field":[1,2]`))
}

// Guards against lost, repeated or reordered events.
func TestStream(t *testing.T) {
	s := start(t, nil, newStandIn(t, "a1", answerTokens(100)))
	assert.Equal(t, readStream(t, s), tokens(100))
}

func readStream(t *testing.T, s *gate.Server) string {
	t.Helper()
	st := client(s, key).Chat.Completions.NewStreaming(context.Background(), chat("small"))
	var text strings.Builder
	for st.Next() {
		text.WriteString(st.Current().Choices[0].Delta.Content)
	}
	assert.NilError(t, st.Err())
	return text.String()
}

func tokens(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// Guards against a refusal of an agent that does not lead to another upstream.
func TestRefusedElsewhere(t *testing.T) {
	refuse := func(c *agentCall) { c.refuse("queue_full", false, 1000) }
	s := start(t, nil, newStandIn(t, "a1", refuse), newStandIn(t, "a2", answerTokens(3)))
	for range 4 {
		assert.Equal(t, readStream(t, s), tokens(3))
	}
}
