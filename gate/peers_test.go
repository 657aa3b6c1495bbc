package gate_test

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/wire"
)

// recorder keeps the names of the processes that it is told of.
type recorder struct {
	mu        sync.Mutex
	connected map[string]gate.Link
	answered  map[string]bool
	received  []*wire.Frame
}

func (r *recorder) Connected(to wire.Identity, l gate.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected[to.ID] = l
}

func (r *recorder) Disconnected(to wire.Identity, _ gate.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connected, to.ID)
}

func (r *recorder) Answered(from wire.Identity, _ clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered[from.ID] = true
}

func (r *recorder) Receive(_ wire.Identity, f *wire.Frame, _ gate.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, f)
}

func (r *recorder) link(id string) gate.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected[id]
}

// Guards against control frames that don't reach agents and gateways, and against
// links that are not reported.
func TestControlTraffic(t *testing.T) {
	a := newStandIn(t, "a1", answerTokens(1))
	records := func() *recorder {
		return &recorder{connected: map[string]gate.Link{}, answered: map[string]bool{}}
	}
	r1, r2 := records(), records()
	g2 := start(t, func(o *gate.Options) { o.Node.ID, o.Peers = "g2", r2 }, a)
	start(t, func(o *gate.Options) {
		o.Node.ID, o.Peers = "g1", r1
		o.Settings.GatewayAddresses = []string{g2.PeerAddr().String()}
	}, a)
	eventually(t, func() bool { return r1.link("g2") != nil && r1.link("a1") != nil && r2.link("a1") != nil })
	eventually(t, func() bool { r1.mu.Lock(); defer r1.mu.Unlock(); return r1.answered["g2"] && r1.answered["a1"] })
	config := &wire.Frame{Body: &wire.Frame_Config{Config: &wire.Config{Team: "ops", Revision: 5}}}
	assert.NilError(t, r1.link("g2").Push(config))
	eventually(t, func() bool { r2.mu.Lock(); defer r2.mu.Unlock(); return len(r2.received) == 1 })
	assert.Equal(t, r2.received[0].GetConfig().GetRevision(), int64(5))
	assert.NilError(t, r2.link("a1").Push(config))
	eventually(t, func() bool { return a.config.Load() == 5 })
	a.session.Load().Close()
	eventually(t, func() bool { return r2.link("a1") == nil || r1.link("a1") == nil })
}

// Guards against an agent that stays lost after its session has ended, and against
// new requests for one that leaves.
func TestReconnectAndLeave(t *testing.T) {
	a := newStandIn(t, "a1", answerTokens(1))
	s := start(t, nil, a)
	a.session.Load().Close()
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 0 })
	eventually(t, func() bool { return len(s.ConnectedAgents()) == 1 })
	assert.Equal(t, readStream(t, s), tokens(1))
	close(a.leave)
	eventually(t, func() bool {
		_, err := client(s, key).Chat.Completions.New(context.Background(), chat("small"))
		return err != nil && errorOf(t, err).Code == "no_upstream"
	})
}
