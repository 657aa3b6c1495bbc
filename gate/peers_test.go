package gate_test

import (
	"context"
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
