package syncer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

func benchTeam(i int) units.TeamID { return units.TeamID(fmt.Sprintf("team-%04d", i)) }

// testEntry returns a team configuration with 200 API keys. Two revisions of a team differ in
// one customer's rate only.
func testEntry(b *testing.B, team, revision int) syncer.Entry {
	customer := units.CustomerID(fmt.Sprint("customer-", team))
	config := &tree.Team{Customers: []tree.Customer{{ID: customer,
		Rate: units.Tokens(1000 + revision), Burst: 5000}}}
	for i := range 200 {
		id := fmt.Sprintf("key-%d-%d", team, i)
		config.Keys = append(config.Keys, tree.Key{ID: units.KeyID(id), Hash: tree.HashSecret(id),
			Customer: customer})
	}
	data, err := tree.Encode(config)
	assert.NilError(b, err)
	return syncer.Entry{Team: benchTeam(team), Revision: units.Revision(revision), Value: data}
}

// benchState returns a state with revision 1 of the teams and with peers, half of which are
// gateways.
func benchState(b *testing.B, peers, teams int) *syncer.State {
	s := syncer.NewState("self")
	for i := range teams {
		s.MergeStored(1, testEntry(b, i, 1))
	}
	for i := range peers {
		s.AddPeer(1, nodeID(i), i%2 == 0)
	}
	return s
}

// BenchmarkCompare measures one comparison of all versions: the message sent at each tick, and
// one received from a peer with the same versions.
func BenchmarkCompare(b *testing.B) {
	for _, size := range []struct{ peers, teams int }{
		{10, 10}, {100, 10}, {970, 10}, {100, 1}, {100, 100}, {970, 100},
	} {
		b.Run(fmt.Sprintf("peers=%d/teams=%d", size.peers, size.teams), func(b *testing.B) {
			s := benchState(b, size.peers, size.teams)
			equal := s.Tick(1)[0].Frame.GetVersions()
			for i := range size.peers {
				s.HandleVersions(1, nodeID(i), equal)
			}
			now, bytes, i := clock.Time(1), 0, 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500)
				for _, m := range s.Tick(now) {
					bytes += wire.FrameSize(m.Frame)
				}
				s.HandleVersions(now, nodeID(i%size.peers), equal)
				i++
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "sent-bytes/compare")
		})
	}
}

// BenchmarkChange measures one change from the store at a gateway: the merge and the
// announcements to all peers.
func BenchmarkChange(b *testing.B) {
	for _, peers := range []int{10, 100, 970} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			s := benchState(b, peers, 10)
			bytes, messageCount, revision := 0, 0, 1
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				revision++
				e := testEntry(b, 0, revision)
				b.StartTimer()
				for _, m := range s.MergeStored(clock.Time(revision), e) {
					bytes += wire.FrameSize(m.Frame)
					messageCount++
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "sent-bytes/change")
			b.ReportMetric(float64(messageCount)/float64(b.N), "messages/change")
		})
	}
}

// BenchmarkPropagation counts the messages and bytes of one change in a fleet where all
// gateways watch the store and agents receive the change from gateways.
func BenchmarkPropagation(b *testing.B) {
	for _, size := range []struct{ gateways, agents int }{{4, 20}, {8, 20}, {16, 20}, {32, 20},
		{16, 10}, {16, 40}, {16, 80}} {
		b.Run(fmt.Sprintf("gateways=%d/agents=%d", size.gateways, size.agents), func(b *testing.B) {
			fleet := newNetwork(b, size.gateways, size.agents)
			revision := 1
			for b.Loop() {
				b.StopTimer()
				revision++
				e := testEntry(b, 0, revision)
				b.StartTimer()
				fleet.writeValue(e)
			}
			for i := range size.gateways + size.agents {
				assert.Equal(b, fleet.states[nodeID(i)].Snapshot().Revision(benchTeam(0)),
					units.Revision(revision), "node %d", i)
			}
			n := float64(b.N)
			g, a := n*float64(size.gateways), n*float64(size.agents)
			b.ReportMetric(float64(fleet.sent[true])/g, "gateway-sent-bytes/change")
			b.ReportMetric(float64(fleet.received[true])/g, "gateway-received-bytes/change")
			b.ReportMetric(float64(fleet.sent[false])/a, "agent-sent-bytes/change")
			b.ReportMetric(float64(fleet.received[false])/a, "agent-received-bytes/change")
			b.ReportMetric(float64(fleet.messages)/n, "messages/change")
		})
	}
}

// network connects the states of a fleet and delivers messages in order without delay. Bytes
// are counted by role: true for gateways, false for agents.
type network struct {
	now            clock.Time
	gateways       int
	states         map[units.VMID]*syncer.State
	roles          map[units.VMID]bool
	queue          []sentMessage
	sent, received map[bool]int
	messages       int
}

// newNetwork returns a network of connected nodes that all have revision 1 of one team. Agents
// are connected to gateways only.
func newNetwork(b *testing.B, gateways, agents int) *network {
	fleet := &network{now: 1, gateways: gateways, states: map[units.VMID]*syncer.State{},
		roles: map[units.VMID]bool{}}
	n := gateways + agents
	for i := range n {
		s := syncer.NewState(nodeID(i))
		s.MergeStored(1, testEntry(b, 0, 1))
		fleet.states[nodeID(i)], fleet.roles[nodeID(i)] = s, i < gateways
	}
	fleet.resetCounts()
	for i := range n {
		for j := range n {
			if i != j && (i < gateways || j < gateways) {
				fleet.send(nodeID(i), fleet.states[nodeID(i)].AddPeer(1, nodeID(j), j < gateways))
			}
		}
	}
	fleet.deliverAll()
	fleet.resetCounts()
	return fleet
}

func (n *network) resetCounts() {
	n.sent, n.received, n.messages = map[bool]int{}, map[bool]int{}, 0
}

func (n *network) send(from units.VMID, messages []syncer.Message) {
	for _, m := range messages {
		size := wire.FrameSize(m.Frame)
		n.sent[n.roles[from]] += size
		n.received[n.roles[m.To]] += size
		n.messages++
		n.queue = append(n.queue, sentMessage{from, m})
	}
}

func (n *network) deliverAll() {
	for len(n.queue) > 0 {
		m := n.queue[0]
		n.queue = n.queue[1:]
		state := n.states[m.To]
		if v := m.Frame.GetVersions(); v != nil {
			n.send(m.To, state.HandleVersions(n.now, m.from, v))
		}
		if c := m.Frame.GetConfig(); c != nil {
			n.send(m.To, state.HandleConfig(n.now, m.from, c))
		}
	}
}

// writeValue passes the value to all gateways, as watches of the store do, and delivers the
// messages that follow.
func (n *network) writeValue(e syncer.Entry) {
	n.now = n.now.Add(clock.Second)
	for i := range n.gateways {
		n.send(nodeID(i), n.states[nodeID(i)].MergeStored(n.now, e))
	}
	n.deliverAll()
}
