package gate_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/wire"
)

// peerRecorder is a Peers that records connected processes, Pongs and received frames.
type peerRecorder struct {
	mu           sync.Mutex
	connected    map[string]gate.Link
	pongReceived map[string]bool
	received     []*wire.Frame
}

func (r *peerRecorder) Connected(to wire.Identity, l gate.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected[to.ID] = l
}

func (r *peerRecorder) Disconnected(to wire.Identity, _ gate.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connected, to.ID)
}

func (r *peerRecorder) VersionsHash() uint64 { return 7 }

func (r *peerRecorder) Answered(from wire.Identity, _, _ clock.Time, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pongReceived[from.ID] = true
}

func (r *peerRecorder) Receive(_ wire.Identity, f *wire.Frame, _ gate.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, f)
}

func (r *peerRecorder) link(id string) gate.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected[id]
}

// Guards against control frames that don't reach agents and gateways, and against sessions whose
// start or end is not reported.
func TestControlFrames(t *testing.T) {
	a := newFakeAgent(t, "a1", respondTokens(1))
	newRecorder := func() *peerRecorder {
		return &peerRecorder{connected: map[string]gate.Link{}, pongReceived: map[string]bool{}}
	}
	r1, r2 := newRecorder(), newRecorder()
	g2 := startGateway(t, func(o *gate.Options) { o.Node.ID, o.Peers = "g2", r2 }, a)
	startGateway(t, func(o *gate.Options) {
		o.Node.ID, o.Peers = "g1", r1
		o.Settings.GatewayAddresses = []string{g2.PeerAddr().String()}
	}, a)
	eventually(t, func() bool { return r1.link("g2") != nil && r1.link("a1") != nil && r2.link("a1") != nil })
	eventually(t, func() bool { r1.mu.Lock(); defer r1.mu.Unlock(); return r1.pongReceived["g2"] && r1.pongReceived["a1"] })
	config := &wire.Frame{Body: &wire.Frame_Config{Config: &wire.Config{Team: "ops", Revision: 5}}}
	assert.NilError(t, r1.link("g2").Push(config))
	eventually(t, func() bool { r2.mu.Lock(); defer r2.mu.Unlock(); return len(r2.received) == 1 })
	assert.Equal(t, r2.received[0].GetConfig().GetRevision(), int64(5))
	assert.NilError(t, r2.link("a1").Push(config))
	eventually(t, func() bool { return a.configRevision.Load() == 5 })
	a.session.Load().Close()
	eventually(t, func() bool { return r2.link("a1") == nil || r1.link("a1") == nil })
}

// Guards against an agent that stays disconnected after its session has ended, and against new
// requests to one that is draining.
func TestReconnectAndDrain(t *testing.T) {
	a := newFakeAgent(t, "a1", respondTokens(1))
	s := startGateway(t, nil, a)
	a.session.Load().Close()
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 0 })
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
	assert.Equal(t, readStream(t, s), tokenText(1))
	close(a.drain)
	eventually(t, func() bool {
		_, err := newClient(s, testKey).Chat.Completions.New(context.Background(), chatParams("small"))
		return err != nil && apiErrorOf(t, err).Code == "no_upstream"
	})
}

// Guards against taking an agent as silent that answers each Ping, but later than the next Ping is
// sent: a slow network or a busy machine would make all upstreams unusable at once.
func TestSlowPongs(t *testing.T) {
	a := newFakeAgent(t, "a1", respondTokens(1))
	a.pongDelay.Store(int64(600 * time.Millisecond))
	s := startGateway(t, nil, a)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, readStream(t, s), tokenText(1))
	}
}

// Guards against new requests to an agent that does not answer Pings and may be stopped, against
// sessions with such an agent that stay open, and against refusing requests for what only such
// agents serve: when the gateway itself was paused, they all seem silent until it has read their
// Pongs.
func TestSilentAgent(t *testing.T) {
	a := newFakeAgent(t, "a1", respondTokens(1))
	s := startGateway(t, withService, a)
	session := a.session.Load()
	silence := func() {
		a.pongDelay.Store(int64(time.Hour))
		eventually(t, func() bool { return !s.LoadReports()[0].Alive })
	}
	requests := map[string]func() (*http.Response, string){
		"model": func() (*http.Response, string) {
			return sendRequest(t, s, "POST", "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"hello"}]}`)
		},
		"service": func() (*http.Response, string) { return sendRequest(t, s, "GET", "/svc/cases/open/1", "") },
	}
	for name, request := range requests {
		silence()
		calls := a.calls.Load()
		time.AfterFunc(300*time.Millisecond, func() {
			assert.Check(t, a.calls.Load() == calls, "%s: a silent agent got a request", name)
			a.pongDelay.Store(0)
		})
		w, body := request()
		assert.Equal(t, w.StatusCode, 200, "%s: %s", name, body)
		assert.Equal(t, a.calls.Load(), calls+1)
	}
	assert.Equal(t, a.session.Load(), session)
	silence()
	w, body := requests["service"]()
	assert.Equal(t, w.StatusCode, 503)
	assert.Equal(t, w.Header.Get("X-Run"), "not-run")
	assert.Assert(t, strings.Contains(body, "no_upstream"), body)
	select {
	case <-session.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the session with a silent agent stays open")
	}
}
