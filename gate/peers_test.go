package gate_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against configuration that does not reach gateways and agents, or that
// goes back to an older revision.
func TestConfigSpreads(t *testing.T) {
	c1, c2, c3 := &gate.Newest{}, &gate.Newest{}, &gate.Newest{}
	c1.Apply(&wire.Config{Team: "ops", Revision: 5, Value: []byte("five")})
	c3.Apply(&wire.Config{Team: "ops", Revision: 4, Value: []byte("four")})
	a := newStandIn(t, "a1", answerTokens(1))
	start1 := func(id string, c gate.Configs, next *gate.Server, agents ...*standIn) *gate.Server {
		return start(t, func(o *gate.Options) {
			o.Node.ID = id
			o.Configs = c
			if next != nil {
				o.Gate.Gateways = []string{next.PeerAddr().String()}
			}
		}, agents...)
	}
	g3 := start1("g3", c3, nil, a)
	g2 := start1("g2", c2, g3)
	start1("g1", c1, g2)
	revision := func(c gate.Configs) int64 {
		v := c.Versions().Version
		if len(v) == 0 {
			return 0
		}
		return v[0].Revision
	}
	eventually(t, func() bool { return revision(c2) == 5 && revision(c3) == 5 })
	eventually(t, func() bool { return a.config.Load() == 5 })
	assert.Equal(t, revision(c1), int64(5))
	// A later value also spreads against the direction of the sessions.
	newer := &wire.Config{Team: "ops", Revision: 6}
	c3.Apply(newer)
	g3.PushConfig(newer, "")
	eventually(t, func() bool { return revision(c1) == 6 })
}

// Guards against an agent that stays lost after its session has ended, and against
// new requests for one that leaves.
func TestReconnectAndLeave(t *testing.T) {
	a := newStandIn(t, "a1", answerTokens(1))
	s := start(t, nil, a)
	a.session.Load().Close()
	eventually(t, func() bool { return len(s.Connected()) == 0 })
	eventually(t, func() bool { return len(s.Connected()) == 1 })
	assert.Equal(t, readStream(t, s), tokens(1))
	close(a.leave)
	eventually(t, func() bool {
		_, err := client(s, key).Chat.Completions.New(context.Background(), chat("small"))
		return err != nil && errorOf(t, err).Code == "no_upstream"
	})
}
