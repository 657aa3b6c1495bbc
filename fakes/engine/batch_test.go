package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against a full batch that mixes up the responses of its requests or runs a request
// twice.
func TestBatch(t *testing.T) {
	s := startServer(t, engine.Options{MaxRunning: 8, KVBlocks: 64})
	var wg sync.WaitGroup
	const requests = 40
	for i := range requests {
		wg.Go(func() {
			prompt := fmt.Sprint("prompt ", i)
			code, text := postJSON(t, s, "/v1/completions", completionRequest{model, prompt, 10 + i, 0})
			var resp struct {
				Choices []struct{ Text string }
			}
			if code != http.StatusOK || json.Unmarshal([]byte(text), &resp) != nil {
				t.Errorf("status %d: %s", code, text)
				return
			}
			if resp.Choices[0].Text != engine.ResponseText(model, prompt, 0, 10+i) {
				t.Errorf("response of another request: %s", text)
			}
			if n := s.Runs(model, prompt); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, s.Counts().Completed, int64(requests))
}

// Guards against an engine that ignores priorities.
func TestPriority(t *testing.T) {
	s := startServer(t, engine.Options{MaxRunning: 1})
	completed := make(chan string, 3)
	submit := func(name string, priority int) {
		go func() {
			postJSON(t, s, "/v1/completions", struct {
				Model     units.ModelID `json:"model"`
				Prompt    string        `json:"prompt"`
				MaxTokens int           `json:"max_tokens"`
				Priority  int           `json:"priority"`
			}{model, name, 50, priority})
			completed <- name
		}()
	}
	s.Update(func(f *engine.Faults) { f.Hang = true })
	submit("later", 5)
	awaitQueued(t, s, 1)
	submit("sooner", 1)
	awaitQueued(t, s, 2)
	s.Update(func(f *engine.Faults) { f.Hang = false })
	assert.Equal(t, <-completed, "sooner")
	assert.Equal(t, <-completed, "later")
}

func awaitQueued(t *testing.T, s *engine.Server, n int) {
	t.Helper()
	waitFor(t, "number of waiting requests", func() bool {
		var l engine.LoadReport
		readJSON(t, s, "/load", &l)
		return l.Waiting == n
	})
}

// Guards against faults, counts and records that tests of separate processes can't access over
// HTTP.
func TestFaultsOverHTTP(t *testing.T) {
	s := startServer(t, engine.Options{})
	code, _ := postJSON(t, s, "/fault", engine.Faults{FailRequests: 1})
	assert.Equal(t, code, http.StatusOK)
	code, _ = postJSON(t, s, "/v1/completions", completionRequest{model, "x", 1, 0})
	assert.Equal(t, code, http.StatusInternalServerError)
	code, _ = postJSON(t, s, "/fault/cold", struct {
		On bool `json:"on"`
	}{true})
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, s.Cold())
	code, _ = postJSON(t, s, "/v1/completions", completionRequest{model, "x", 1, 0})
	assert.Equal(t, code, http.StatusOK)

	var counts engine.Counts
	readJSON(t, s, "/fault/counts", &counts)
	assert.Equal(t, counts, s.Counts())
	assert.Equal(t, counts.Refused, int64(1))
	var requests []engine.RequestRecord
	readJSON(t, s, "/fault/requests", &requests)
	assert.Equal(t, requests[0].Outcome, engine.Refused)
	assert.Equal(t, requests[1].Hash, engine.PromptHash(model, "x"))

	postJSON(t, s, "/fault/crash", struct {
		Millis int `json:"millis"`
	}{20})
	waitFor(t, "engine restarted", func() bool {
		r, err := http.Get("http://" + s.Addr() + "/load")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && s.Counts().Crashes == 1
	})
}

func readJSON(t *testing.T, s *engine.Server, path string, v any) {
	t.Helper()
	r, err := http.Get("http://" + s.Addr() + path)
	assert.NilError(t, err)
	defer r.Body.Close()
	assert.NilError(t, json.NewDecoder(r.Body).Decode(v))
}
