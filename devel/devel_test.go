package devel_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// waitFor polls the condition for about 10 s and fails the test if it is not met.
func waitFor(t testing.TB, condition string, met func() bool) {
	t.Helper()
	for range 500 {
		if met() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timeout waiting for: %s", condition)
}

// post sends a JSON body with an API key. It returns the status, body and header of the response.
func post(t *testing.T, url, key, body string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(b), res.Header
}

// startFleet starts the default fleet, whose engines hold the model "m", and stops it at the end of
// the test. If configure is not nil, it changes the options first.
func startFleet(t testing.TB, configure func(*devel.Options)) *devel.Fleet {
	t.Helper()
	o := devel.Default()
	o.EngineOptions.Models = []engine.Model{{ID: "m", Bytes: 1 << 30}}
	if configure != nil {
		configure(&o)
	}
	f, err := devel.New(o)
	assert.NilError(t, err)
	f.Start()
	t.Cleanup(func() { assert.NilError(t, f.Stop()) })
	return f
}

// writeTeam replaces the old revision of the configuration of the team "court" directly in the store
// and returns the new revision.
func writeTeam(t testing.TB, f *devel.Fleet, team *tree.Team, oldRevision units.Revision) units.Revision {
	t.Helper()
	kv := store.New(store.Options{Address: f.Store.Addr()})
	defer kv.Close()
	b, err := tree.Encode(team)
	assert.NilError(t, err)
	r, err := kv.CompareAndSwap(context.Background(), syncer.TeamKey("court"), oldRevision, b, 0)
	assert.NilError(t, err)
	return r
}

const chatRequest = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`

// Checks that an authenticated chat request is served by an engine behind a gateway and an agent,
// and that an unknown key is refused.
func TestRequestPath(t *testing.T) {
	f := startFleet(t, nil)
	v := &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 1000, Burst: 1000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: 1 << 30}},
	}
	writeTeam(t, f, v, 0)
	waitFor(t, "fleet is ready", f.Ready)
	url := "http://" + f.Gateways[0].Gate().Addr().String() + "/v1/chat/completions"
	waitFor(t, "key works", func() bool {
		s, b, _ := post(t, url, "secret-key", chatRequest)
		t.Log(s, b)
		return s == http.StatusOK
	})
	status, body, _ := post(t, url, "secret-key", chatRequest)
	assert.Equal(t, status, http.StatusOK, body)
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &completion))
	want := engine.ResponseText("m", engine.ChatPrompt(), 0, 5)
	t.Log(completion.Choices[0].Message.Content, want)
	status, _, _ = post(t, url, "other", chatRequest)
	assert.Equal(t, status, http.StatusUnauthorized)
}
