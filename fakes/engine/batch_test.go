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

// Guards against crossed answers in a full batch and against a batch larger than
// its limit.
func TestBatch(t *testing.T) {
	s := start(t, engine.Options{MaxRunning: 8, KVBlocks: 64})
	var w sync.WaitGroup
	const requests = 40
	for i := range requests {
		w.Go(func() {
			prompt := fmt.Sprint("prompt ", i)
			code, text := post(t, s, "/v1/completions", body{model, prompt, 10 + i, 0})
			var a struct {
				Choices []struct{ Text string }
			}
			if code != http.StatusOK || json.Unmarshal([]byte(text), &a) != nil {
				t.Errorf("status %d: %s", code, text)
				return
			}
			if a.Choices[0].Text != engine.ResponseText(model, prompt, 0, 10+i) {
				t.Errorf("crossed answer: %s", text)
			}
			if n := s.Runs(model, prompt); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
	w.Wait()
	assert.Equal(t, s.Counts().Completed, int64(requests))
}

// Guards against an engine that ignores priorities.
func TestPriority(t *testing.T) {
	s := start(t, engine.Options{MaxRunning: 1})
	ended := make(chan string, 3)
	submit := func(name string, priority int) {
		go func() {
			post(t, s, "/v1/completions", struct {
				Model     units.ModelID `json:"model"`
				Prompt    string        `json:"prompt"`
				MaxTokens int           `json:"max_tokens"`
				Priority  int           `json:"priority"`
			}{model, name, 50, priority})
			ended <- name
		}()
	}
	s.Update(func(f *engine.Faults) { f.Hang = true })
	submit("later", 5)
	waiting(t, s, 1)
	submit("sooner", 1)
	waiting(t, s, 2)
	s.Update(func(f *engine.Faults) { f.Hang = false })
	assert.Equal(t, <-ended, "sooner")
	assert.Equal(t, <-ended, "later")
}

func waiting(t *testing.T, s *engine.Server, n int) {
	t.Helper()
	eventually(t, "requests wait", func() bool {
		var l engine.LoadReport
		read(t, s, "/load", &l)
		return l.Waiting == n
	})
}

// Guards against faults and records that a test of separate processes can't reach.
func TestFaultsOverHTTP(t *testing.T) {
	s := start(t, engine.Options{})
	code, _ := post(t, s, "/fault", engine.Faults{FailRequests: 1})
	assert.Equal(t, code, http.StatusOK)
	code, _ = post(t, s, "/v1/completions", body{model, "x", 1, 0})
	assert.Equal(t, code, http.StatusInternalServerError)
	code, _ = post(t, s, "/fault/cold", struct {
		On bool `json:"on"`
	}{true})
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, s.Cold())
	code, _ = post(t, s, "/v1/completions", body{model, "x", 1, 0})
	assert.Equal(t, code, http.StatusOK)

	var counts engine.Counts
	read(t, s, "/fault/counts", &counts)
	assert.Equal(t, counts, s.Counts())
	assert.Equal(t, counts.Refused, int64(1))
	var requests []engine.RequestRecord
	read(t, s, "/fault/requests", &requests)
	assert.Equal(t, requests[0].Outcome, engine.Refused)
	assert.Equal(t, requests[1].Hash, engine.PromptHash(model, "x"))

	post(t, s, "/fault/crash", struct {
		Millis int `json:"millis"`
	}{20})
	eventually(t, "up again", func() bool {
		r, err := http.Get("http://" + s.Addr() + "/load")
		if err == nil {
			r.Body.Close()
		}
		return err == nil && s.Counts().Crashes == 1
	})
}

func read(t *testing.T, s *engine.Server, path string, v any) {
	t.Helper()
	r, err := http.Get("http://" + s.Addr() + path)
	assert.NilError(t, err)
	defer r.Body.Close()
	assert.NilError(t, json.NewDecoder(r.Body).Decode(v))
}
