package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// crashOnPart returns a script that ends the replica's process as it begins to answer a request with
// the part, and streams an answer to all others.
func crashOnPart(part string, replica func() *fakes.Replica) func(r *fakes.Request) {
	return func(r *fakes.Request) {
		time.Sleep(20 * time.Millisecond)
		if r.HasPromptPart(part) {
			r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Type: text/event-stream\r\n\r\nid: 1\nda")
			replica().Crash()
			return
		}
		r.Stream(1, 3, true)
	}
}

// startPartReplicas starts n replicas that end when they begin to answer a request with the part.
func startPartReplicas(t *testing.T, n int, part string) []*fakes.Replica {
	t.Helper()
	all := make([]*fakes.Replica, n)
	for i := range all {
		all[i] = startReplica(t, fmt.Sprint("r", i), crashOnPart(part, func() *fakes.Replica { return all[i] }))
	}
	return all
}

// sendParts sends a request for a stream whose prompt has the parts.
func (r *testGateway) sendParts(id string, parts ...string) result {
	r.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, r.httpServer.URL+"/talk/a", strings.NewReader(id))
	assert.NilError(r.t, err)
	req.Header = fakes.RequestHeader(id, key, "small", 4000)
	fakes.SetPromptParts(req.Header, parts...)
	req.Host = fakes.Host
	return r.do(req)
}

// Guards against a part of prompts that crashes one upstream after another, in requests that are all
// different and sent at once or in turn, while sound requests with the same beginning are served.
func TestPartThatCrashesUpstreamsIsStopped(t *testing.T) {
	const deadly = "dead1"
	all := startPartReplicas(t, 8, deadly)
	r := newTestGateway(t, all...)
	assert.Equal(t, r.sendParts("first", "shared", "sub", "own-first").status, http.StatusOK)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { r.sendParts(fmt.Sprint("bad", i), "shared", "sub", deadly, fmt.Sprint("own-bad", i)) })
	}
	group.Wait()
	for i := range 12 {
		r.sendParts(fmt.Sprint("late", i), "shared", "sub", deadly, fmt.Sprint("own-late", i))
	}
	assert.Assert(t, fakes.CountWithPart(deadly, all) <= 3, "%d upstreams received the part", fakes.CountWithPart(deadly, all))
	for i := range 12 {
		got := r.sendParts(fmt.Sprint("good", i), "shared", "sub", fmt.Sprint("own-good", i))
		assert.Equal(t, got.status, http.StatusOK, got.body)
	}
}

// Guards against an adapter that crashes one upstream after another, in requests whose prompts have nothing in common,
// while sound requests for its model are served.
func TestAdapterThatCrashesUpstreamsIsStopped(t *testing.T) {
	const deadly = "small/a1"
	all := make([]*fakes.Replica, 8)
	for i := range all {
		all[i] = startReplica(t, fmt.Sprint("r", i), func(r *fakes.Request) {
			if r.Header.Get("Model") == deadly {
				all[i].Crash()
				return
			}
			r.Stream(1, 3, true)
		})
	}
	r := newTestGateway(t, all...)
	for i := range 16 {
		assert.Equal(t, r.send(context.Background(), http.MethodPost, "/talk/a", "small", fmt.Sprint("good", i)).status, http.StatusOK)
		assert.Assert(t, r.send(context.Background(), http.MethodPost, "/talk/a", deadly, fmt.Sprint("bad", i)).status != http.StatusOK)
	}
	ended := 0
	for _, p := range all {
		for _, q := range p.Requests() {
			if q.Header.Get("Model") == deadly {
				ended++
			}
		}
	}
	assert.Assert(t, ended <= 3, "%d upstreams received a request for the adapter", ended)
}

// Guards against a part that ends one upstream after another where their processes are started again at once, so that
// their addresses refuse no connection: the view shows the new process.
func TestPartThatEndsUpstreamsWhichRestartAtOnceIsStopped(t *testing.T) {
	const deadly = "dead1"
	ended := make(chan string, 100)
	all := make([]*fakes.Replica, 6)
	for i := range all {
		all[i] = startReplica(t, fmt.Sprint("r", i), func(r *fakes.Request) {
			if r.HasPromptPart(deadly) {
				ended <- all[i].Instance
				r.CloseConnection()
				return
			}
			r.Stream(1, 3, true)
		})
	}
	r := newTestGateway(t, all...)
	assert.Equal(t, r.sendParts("first", "shared", "own-first").status, http.StatusOK)
	restarts := 0
	for i := range 6 {
		r.sendParts(fmt.Sprint("bad", i), "shared", deadly, fmt.Sprint("own-bad", i))
		for len(ended) > 0 {
			restarts++
			r.restart(<-ended)
		}
	}
	assert.Assert(t, restarts <= 3, "%d processes ended", restarts)
	assert.Equal(t, r.sendParts("good", "shared", "own-good").status, http.StatusOK)
}
