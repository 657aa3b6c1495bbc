package plain_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/magnolialever/magnolialever/fakes/plain"
)

func startServer(t *testing.T, o plain.Options) *plain.Server {
	t.Helper()
	s, err := plain.New(o)
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

func postCall(t *testing.T, s *plain.Server, id, body string) (plain.Response, error) {
	t.Helper()
	q, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/book", strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set(plain.CallHeader, id)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return plain.Response{}, err
	}
	defer r.Body.Close()
	var a plain.Response
	return a, json.NewDecoder(r.Body).Decode(&a)
}

// Guards against a fake that doesn't count a run whose response is lost, or that counts a call
// which was cut before it ran.
func TestLostResponses(t *testing.T) {
	s := startServer(t, plain.Options{})
	s.Update(func(f *plain.Faults) { f.LoseResponses, f.LoseCalls = 1, 1 })
	_, err := postCall(t, s, "c1", "first") // lost before it ran
	assert.Assert(t, err != nil)
	assert.Equal(t, s.Runs("c1"), 0)
	_, err = postCall(t, s, "c1", "first") // ran, response lost
	assert.Assert(t, err != nil)
	assert.Equal(t, s.Runs("c1"), 1)
	a, err := postCall(t, s, "c1", "first")
	assert.NilError(t, err)
	assert.Equal(t, a, plain.Response{ID: "c1", Method: http.MethodPost, Path: "/book", Body: "first", Run: 2})
	assert.DeepEqual(t, s.Repeated(), []string{"c1"})
	assert.Equal(t, len(s.Calls()), 3)
	assert.Assert(t, !s.Calls()[0].Ran && s.Calls()[1].Ran)
	assert.Assert(t, s.Received("first") && !s.Received("second"))
}

// Guards against a crash that sends a response, and against run counts that a crash resets.
func TestCrash(t *testing.T) {
	s := startServer(t, plain.Options{CrashMarker: "boom", RestartDelay: 30})
	_, err := postCall(t, s, "c1", "fine")
	assert.NilError(t, err)
	_, err = postCall(t, s, "c2", "boom")
	assert.Assert(t, err != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := postCall(t, s, "c3", "fine"); err != nil {
			return poll.Continue("still down: %v", err)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, s.Runs("c1"), 1)
	assert.Equal(t, s.Runs("c2"), 0)
	assert.Equal(t, s.Crashes(), 1)
}

// Guards against a fake that sends a response whole, or ends its connection in order, where a reset is to cut it: nobody could tell
// that from the end of a response without a length.
func TestResetResponses(t *testing.T) {
	s := startServer(t, plain.Options{})
	s.Update(func(f *plain.Faults) {
		f.UnsizedResponses, f.ResetResponses, f.ResetUploads, f.ResetAfter = 1, 1, 1, 20
	})
	a, err := postCall(t, s, "c1", "whole")
	assert.NilError(t, err)
	assert.Equal(t, a.ID, "c1")
	_, err = postCall(t, s, "c2", "cut")
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = postCall(t, s, "c3", strings.Repeat("x", 4*plain.LongBodyBytes))
	assert.Assert(t, err != nil)
	assert.Equal(t, s.Runs("c2")+s.Runs("c3"), 2)
}
