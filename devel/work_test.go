package devel_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
)

// submitDeferred submits a deferred chat request through the gateway with the given index. It returns
// the status and the path of the result.
func submitDeferred(t *testing.T, f *devel.Fleet, gateway int, key, body string) (int, string) {
	t.Helper()
	url := "http://" + f.Gateways[gateway].Gate().Addr().String()
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Class", "night")
	r.Header.Set("Prefer", "respond-async")
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.StatusCode, res.Header.Get("Location")
}

// fetchDeferred requests the result of a deferred request. It returns the status and the body.
func fetchDeferred(t *testing.T, f *devel.Fleet, gateway int, key, path string) (int, string) {
	t.Helper()
	url := "http://" + f.Gateways[gateway].Gate().Addr().String() + path
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(b)
}

// chatContent returns the text of the only choice of a chat completion.
func chatContent(t *testing.T, body string) string {
	t.Helper()
	var a struct {
		Choices []struct{ Message struct{ Content string } }
	}
	assert.NilError(t, json.Unmarshal([]byte(body), &a), body)
	assert.Equal(t, len(a.Choices), 1)
	return a.Choices[0].Message.Content
}

// Checks that another gateway finishes deferred work after the gateway that accepted it has stopped,
// that other customers can't read the results, and that work is refused during a store outage.
func TestDeferredWork(t *testing.T) {
	f := startFleet(t, func(o *devel.Options) { o.EngineOptions.StepTime = 20 })
	v := &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 1e5, Burst: 1e5}, {ID: "other", Rate: 1000, Burst: 1000}},
		Keys: []tree.Key{
			{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"},
			{ID: "k2", Hash: tree.HashSecret("other-key"), Customer: "other"},
		},
		Models: []tree.Model{{ID: "m", Bytes: 1 << 30}},
	}
	writeTeam(t, f, v, 0)
	waitFor(t, "fleet is ready", f.Ready)
	for i := range f.Gateways {
		url := "http://" + f.Gateways[i].Gate().Addr().String() + "/v1/chat/completions"
		waitFor(t, "key works", func() bool { s, _, _ := post(t, url, "secret-key", chatRequest); return s == http.StatusOK })
	}
	const entries = 20
	paths := map[string]string{}
	for i := range entries {
		status, path := submitDeferred(t, f, 0, "secret-key", strings.Replace(chatRequest, "hello", fmt.Sprint("hello ", i), 1))
		assert.Equal(t, status, http.StatusAccepted)
		paths[path] = fmt.Sprint("hello ", i)
	}
	assert.Equal(t, len(paths), entries)
	assert.NilError(t, f.StopProcess("gateway gateway0"))
	pending := 0
	for path := range paths {
		if status, _ := fetchDeferred(t, f, 1, "secret-key", path); status == http.StatusAccepted {
			pending++
		}
	}
	assert.Assert(t, pending > 0, "all work was finished before the gateway stopped")
	url := "http://" + f.Gateways[1].Gate().Addr().String() + "/v1/chat/completions"
	for path, prompt := range paths {
		waitFor(t, "answer", func() bool { s, _ := fetchDeferred(t, f, 1, "secret-key", path); return s == http.StatusOK })
		_, response := fetchDeferred(t, f, 1, "secret-key", path)
		_, want, _ := post(t, url, "secret-key", strings.Replace(chatRequest, "hello", prompt, 1))
		assert.Equal(t, chatContent(t, response), chatContent(t, want))
		status, body := fetchDeferred(t, f, 1, "other-key", path)
		assert.Equal(t, status, http.StatusNotFound, body)
	}
	f.Store.SetOutage(true)
	status, _ := submitDeferred(t, f, 1, "secret-key", chatRequest)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	f.Store.SetOutage(false)
}
