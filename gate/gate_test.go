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

const testKey = "sk-test-1234"

func testDirectory() *gate.StaticDirectory {
	return &gate.StaticDirectory{
		Keys:     map[gate.KeyHash]gate.Caller{gate.HashKey(testKey): {Customer: "court", Key: "k1", Class: units.Normal, Weight: 1}},
		ModelIDs: map[units.ModelID]bool{"small": true, "absent": true},
	}
}

// testOptions returns the options of a gateway with local listeners and the addresses of the agents.
func testOptions(agents ...*fakeAgent) gate.Options {
	const local = "127.0.0.1:0"
	o := gate.Options{
		Node:      config.Node{ID: "g1", Zone: "a", PeerAddress: local, AdminAddress: local},
		Secret:    []byte(testSecret),
		Settings:  gate.Settings{PublicAddress: local, Limits: gate.Limits{DrainDelay: 1}},
		Directory: testDirectory(),
	}
	for _, a := range agents {
		o.Settings.AgentAddresses = append(o.Settings.AgentAddresses, a.listener.Addr().String())
	}
	return o
}

// startGateway runs a gateway until the end of the test. It returns when the gateway is connected
// to all agents.
func startGateway(t testing.TB, change func(o *gate.Options), agents ...*fakeAgent) *gate.Server {
	o := testOptions(agents...)
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

// eventually polls f and fails the test when it is not true within 5 s.
func eventually(t testing.TB, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "condition not met in 5 s")
	}
}

func newClient(s *gate.Server, key string) *openai.Client {
	c := openai.NewClient(option.WithAPIKey(key), option.WithMaxRetries(0),
		option.WithBaseURL(fmt.Sprintf("http://%s/v1", s.Addr())))
	return &c
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// Guards against changes to request and response bodies in the gateway.
func TestPlainResponse(t *testing.T) {
	bodies := make(chan string, 1)
	a := newFakeAgent(t, "a1", func(c *agentCall) {
		bodies <- string(c.Body)
		respondTokens(0)(c)
	})
	s := startGateway(t, nil, a)
	var raw *http.Response
	got, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"),
		option.WithJSONSet("unknown_field", []int{1, 2}), option.WithResponseInto(&raw))
	assert.NilError(t, err)
	assert.Equal(t, got.Choices[0].Message.Content, "hello")
	assert.Equal(t, got.RawJSON(), plainResponse)
	assert.Equal(t, raw.ContentLength, int64(len(plainResponse)))
	assert.Assert(t, strings.Contains(<-bodies, `"unknown_field":[1,2]`))
}

// Guards against lost, repeated or reordered events.
func TestStreamedResponse(t *testing.T) {
	s := startGateway(t, nil, newFakeAgent(t, "a1", respondTokens(100)))
	assert.Equal(t, readStream(t, s), tokenText(100))
}

// readStream requests a streamed response and returns its text.
func readStream(t *testing.T, s *gate.Server) string {
	t.Helper()
	st := newClient(s, testKey).Chat.Completions.NewStreaming(context.Background(), chatParams("small"))
	var text strings.Builder
	for st.Next() {
		text.WriteString(st.Current().Choices[0].Delta.Content)
	}
	assert.NilError(t, st.Err())
	return text.String()
}

// tokenText returns the text of the first n tokens of respondTokens.
func tokenText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "t%d ", i)
	}
	return b.String()
}

// Guards against failing a request that another upstream would serve after the refusal of the
// first.
func TestRefusalIsRetriedElsewhere(t *testing.T) {
	refuse := func(c *agentCall) { c.sendRefuse("queue_full", false, 1000) }
	s := startGateway(t, nil, newFakeAgent(t, "a1", refuse), newFakeAgent(t, "a2", respondTokens(3)))
	for range 4 {
		assert.Equal(t, readStream(t, s), tokenText(3))
	}
}
