package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/units"
)

const model units.ModelID = "m1"

func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func startServer(t *testing.T, o engine.Options) *engine.Server {
	t.Helper()
	if o.Models == nil {
		o.Models = []engine.Model{{ID: model, Bytes: 10}}
	}
	if o.StepTime == 0 {
		o.StepTime = 1
	}
	s, err := engine.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

func newClient(s *engine.Server) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+s.Addr()+"/v1/"), option.WithAPIKey("none"), option.WithMaxRetries(0))
}

type completionRequest struct {
	Model      units.ModelID `json:"model"`
	Prompt     string        `json:"prompt"`
	MaxTokens  int           `json:"max_tokens"`
	ResumeFrom int           `json:"resume_from,omitempty"`
}

func postJSON(t *testing.T, s *engine.Server, path string, v any) (int, string) {
	t.Helper()
	b, err := json.Marshal(v)
	assert.NilError(t, err)
	r, err := http.Post("http://"+s.Addr()+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(text)
}

// Guards against chunks that OpenAI's client can't decode, gaps between tokens, and missing
// usage numbers.
func TestStream(t *testing.T) {
	s := startServer(t, engine.Options{})
	c := newClient(s)
	stream := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{
		Model: string(model), MaxTokens: openai.Int(20),
		Messages:      []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tell me")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	})
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		assert.Assert(t, accumulator.AddChunk(stream.Current()))
	}
	assert.NilError(t, stream.Err())
	prompt := engine.ChatPrompt(engine.Message{Role: "user", Content: "tell me"})
	assert.Equal(t, accumulator.Choices[0].Message.Content, engine.ResponseText(model, prompt, 0, 20))
	assert.Equal(t, accumulator.Choices[0].FinishReason, "length")
	assert.Equal(t, accumulator.Usage.CompletionTokens, int64(20))
	assert.Equal(t, s.Runs(model, prompt), 1)
	assert.Assert(t, s.Received("Bearer none"))
	assert.Assert(t, !s.Received("Bearer other"))
}

// Guards against whole responses, embeddings and errors that OpenAI's client can't decode.
func TestWholeResponses(t *testing.T) {
	s := startServer(t, engine.Options{})
	c := newClient(s)
	ctx := context.Background()
	completion, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model: openai.CompletionNewParamsModel(model), MaxTokens: openai.Int(9),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("go len=4")},
	})
	assert.NilError(t, err)
	assert.Equal(t, completion.Choices[0].Text, engine.ResponseText(model, "go len=4", 0, 4))
	assert.Equal(t, string(completion.Choices[0].FinishReason), "stop")
	embeddings, err := c.Embeddings.New(ctx, openai.EmbeddingNewParams{
		Model: openai.EmbeddingModel(model), Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: []string{"a", "b"}},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, embeddings.Data[1].Embedding, engine.Embedding(model, "b"))
	_, err = c.Embeddings.New(ctx, openai.EmbeddingNewParams{
		Model: "absent", Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("a")},
	})
	var apiErr *openai.Error
	assert.Assert(t, errors.As(err, &apiErr))
	assert.Equal(t, apiErr.Code, "model_not_found")
}

// Guards against a resumed stream with missing or repeated tokens.
func TestResumeAfterBrokenStream(t *testing.T) {
	s := startServer(t, engine.Options{})
	s.Update(func(f *engine.Faults) { f.CutStreams, f.CutAfter = 1, 5 })
	c := newClient(s)
	params := openai.CompletionNewParams{
		Model: openai.CompletionNewParamsModel(model), MaxTokens: openai.Int(12),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("go on")},
	}
	var text strings.Builder
	readStream := func(o ...option.RequestOption) error {
		st := c.Completions.NewStreaming(context.Background(), params, o...)
		for st.Next() {
			if len(st.Current().Choices) > 0 {
				text.WriteString(st.Current().Choices[0].Text)
			}
		}
		return st.Err()
	}
	assert.Assert(t, readStream() != nil)
	assert.Equal(t, text.String(), engine.ResponseText(model, "go on", 0, 5))
	assert.NilError(t, readStream(option.WithJSONSet("resume_from", 5)))
	assert.Equal(t, text.String(), engine.ResponseText(model, "go on", 0, 12))
	assert.Equal(t, s.Runs(model, "go on"), 2)
}

// Guards against requests that keep running after their client has disconnected.
func TestCancel(t *testing.T) {
	s := startServer(t, engine.Options{})
	c := newClient(s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stream := c.Completions.NewStreaming(ctx, openai.CompletionNewParams{
		Model: openai.CompletionNewParamsModel(model), MaxTokens: openai.Int(100_000),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")},
	})
	assert.Assert(t, stream.Next())
	cancel()
	waitFor(t, "cancelled", func() bool { return s.Counts().Canceled == 1 })
	assert.Equal(t, s.Requests()[0].Outcome, engine.Canceled)
}

// Guards against a marker that doesn't crash the engine, and against models or a warm state
// that survive a crash.
func TestCrash(t *testing.T) {
	s := startServer(t, engine.Options{CrashMarker: "boom", RestartDelay: 50})
	s.LoadModel(engine.Model{ID: "m2"})
	code, _ := postJSON(t, s, "/v1/completions", completionRequest{model, "go boom", 5, 0})
	assert.Equal(t, code, 0)
	waitFor(t, "restarted", func() bool {
		code, _ := postJSON(t, s, "/v1/completions", completionRequest{model, "go", 5, 0})
		return code == http.StatusOK
	})
	assert.Equal(t, s.Counts().Crashes, int64(1))
	assert.Equal(t, len(s.Models()), 1)
	assert.Assert(t, s.Cold())
}

// Guards against a cold engine that serves full load, or that serves requests right after it has
// collapsed or never again.
func TestColdCollapse(t *testing.T) {
	collapse := func(collapseTime clock.Span) *engine.Server {
		s := startServer(t, engine.Options{StartCold: true, MaxColdRequests: 2, WarmupResponses: 3, CollapseTime: collapseTime})
		codes := make(chan int, 3)
		for range 3 {
			go func() {
				code, _ := postJSON(t, s, "/v1/completions", completionRequest{model, "x", 1000, 0})
				codes <- code
			}()
		}
		for range 3 {
			assert.Equal(t, <-codes, http.StatusInternalServerError)
		}
		assert.Equal(t, s.Counts().Collapses, int64(1))
		return s
	}
	// The collapse lasts longer than the test, however late the next request is.
	s := collapse(clock.Hour)
	code, _ := postJSON(t, s, "/v1/completions", completionRequest{model, "x", 1, 0})
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, s.Cold())

	s = collapse(50)
	waitFor(t, "warm", func() bool {
		postJSON(t, s, "/v1/completions", completionRequest{model, "x", 1, 0})
		return !s.Cold()
	})
}

// Guards against an overcommit that isn't counted, and against memory that counts as free
// before the unload has ended.
func TestMemoryAccounting(t *testing.T) {
	s := startServer(t, engine.Options{Capacity: 25, UnloadTime: 100})
	sendOrder := func(o engine.Order) int {
		code, _ := postJSON(t, s, "/orders", o)
		return code
	}
	assert.Equal(t, sendOrder(engine.Order{Op: engine.OpLoad, Model: "m2", Bytes: 15}), http.StatusOK)
	assert.Equal(t, s.Counts().Overcommits, int64(0))
	unloaded := make(chan int, 1)
	go func() { unloaded <- sendOrder(engine.Order{Op: engine.OpUnload, Model: "m2"}) }()
	waitFor(t, "unload begins", func() bool { return s.Models()[1].State == engine.Unloading })
	assert.Equal(t, sendOrder(engine.Order{Op: engine.OpLoad, Model: model, Adapter: "a1", Bytes: 1}), http.StatusOK)
	assert.Equal(t, s.Counts().Overcommits, int64(1))
	assert.Equal(t, <-unloaded, http.StatusOK)
	assert.Equal(t, sendOrder(engine.Order{Op: engine.OpUnload, Model: model}), http.StatusConflict)
	assert.Equal(t, sendOrder(engine.Order{Op: engine.OpLoad, Model: "m9", Adapter: "a2"}), http.StatusNotFound)
	code, _ := postJSON(t, s, "/v1/completions", completionRequest{"a1", "x", 1, 0})
	assert.Equal(t, code, http.StatusOK)
}

// Guards against orders of a former leader that are neither refused nor counted.
func TestStaleFence(t *testing.T) {
	for _, check := range []bool{true, false} {
		s := startServer(t, engine.Options{CheckFence: check})
		postJSON(t, s, "/orders", engine.Order{Fence: 7, Op: engine.OpLoad, Model: "m2"})
		code, _ := postJSON(t, s, "/orders", engine.Order{Fence: 6, Op: engine.OpLoad, Model: "m3"})
		assert.Equal(t, code == http.StatusConflict, check)
		assert.Equal(t, s.Counts().StaleOrders == 0, check)
	}
}

// Guards against load reports that don't lag as those of real engines do.
func TestLoadLag(t *testing.T) {
	s := startServer(t, engine.Options{LoadLag: 300, StepTime: 20})
	readLoad := func() (l engine.LoadReport) {
		readJSON(t, s, "/load", &l)
		return l
	}
	go postJSON(t, s, "/v1/completions", completionRequest{model, "x", 50, 0})
	waitFor(t, "running", func() bool { return s.Counts().Tokens > 0 })
	assert.Equal(t, readLoad().Running, 0)
	waitFor(t, "reported", func() bool { return readLoad().Running == 1 })
	assert.Equal(t, readLoad().Models[0].ID, model)
	waitFor(t, "finished", func() bool { return s.Counts().Completed == 1 })
}

// Guards against prefix events that are delivered without delay or without loss.
func TestPrefixEventDelayAndLoss(t *testing.T) {
	const lag = 100 * clock.Millisecond
	s := startServer(t, engine.Options{EventLag: lag, EventLossProbability: 0.5, PrefixCacheBlocks: 4})
	begin := time.Now()
	for i := range 20 {
		postJSON(t, s, "/v1/completions", completionRequest{model, strings.Repeat(string(rune('a'+i)), 130), 1, 0})
	}
	r, err := http.Get("http://" + s.Addr() + "/events")
	assert.NilError(t, err)
	defer r.Body.Close()
	gaps, last := 0, int64(0)
	for lines := bufio.NewScanner(r.Body); last < 40 && lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		assert.Assert(t, time.Since(begin) >= lag.Duration())
		var e engine.PrefixEvent
		assert.NilError(t, json.Unmarshal([]byte(data), &e))
		if e.Sequence != last+1 {
			gaps++
		}
		last = e.Sequence
	}
	assert.Assert(t, gaps > 0)
}
