package syncer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// nodes is the number of nodes on a lossyNetwork.
const nodes = 5

// lossyNetwork connects several states and loses, repeats and reorders their messages.
type lossyNetwork struct {
	now      clock.Time
	states   map[units.VMID]*syncer.State
	inFlight []sentMessage
	stored   map[units.TeamID]syncer.Entry
}

// sentMessage is a message on the network with its sender.
type sentMessage struct {
	from units.VMID
	syncer.Message
}

func nodeID(i int) units.VMID { return units.VMID(fmt.Sprint("n", i)) }

// isGateway reports the role of a node: the last two are agents.
func isGateway(i int) bool { return i < nodes-2 }

func newLossyNetwork() *lossyNetwork {
	n := &lossyNetwork{now: 1, states: map[units.VMID]*syncer.State{}, stored: map[units.TeamID]syncer.Entry{}}
	for i := range nodes {
		n.states[nodeID(i)] = syncer.NewState(nodeID(i))
	}
	for i := range nodes {
		for j := range nodes {
			// Agents are connected to gateways only.
			if i != j && (isGateway(i) || isGateway(j)) {
				n.send(nodeID(i), n.states[nodeID(i)].AddPeer(n.now, nodeID(j), isGateway(j)))
			}
		}
	}
	return n
}

func (n *lossyNetwork) send(from units.VMID, messages []syncer.Message) {
	for _, m := range messages {
		n.inFlight = append(n.inFlight, sentMessage{from, m})
	}
}

func (n *lossyNetwork) deliver(message sentMessage) {
	state := n.states[message.To]
	if v := message.Frame.GetVersions(); v != nil {
		n.send(message.To, state.HandleVersions(n.now, message.from, v))
	}
	if c := message.Frame.GetConfig(); c != nil {
		n.send(message.To, state.HandleConfig(n.now, message.from, c))
	}
}

// write stores a new value of a random team, which sometimes can't be decoded.
func (n *lossyNetwork) write(t *rapid.T, revision units.Revision) {
	team := units.TeamID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
	value := fmt.Sprintf(`{"customers":[{"id":"c%s","rate":1,"burst":1},{"id":"c%s2","rate":%d,"burst":1}]}`, team, team, revision)
	if rapid.IntRange(0, 5).Draw(t, "unreadable") == 0 {
		value = "{"
	}
	n.stored[team] = syncer.Entry{Team: team, Revision: revision, Value: []byte(value)}
}

// step runs one random event: a write, an event or tick at a node, a broken session, or the
// delivery or loss of a message, which may be delivered again later.
func (n *lossyNetwork) step(t *rapid.T, revision units.Revision) {
	sender := rapid.IntRange(0, nodes-1).Draw(t, "node")
	state := n.states[nodeID(sender)]
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		n.write(t, revision)
	case 1:
		if !isGateway(sender) {
			return
		}
		for _, e := range n.stored {
			n.send(nodeID(sender), state.MergeStored(n.now, e))
		}
	case 2:
		n.send(nodeID(sender), state.Tick(n.now))
	case 3: // the session ends and is opened again
		neighbor := (sender + 1) % nodes
		if isGateway(sender) || isGateway(neighbor) {
			state.RemovePeer(nodeID(neighbor))
			n.send(nodeID(sender), state.AddPeer(n.now, nodeID(neighbor), isGateway(neighbor)))
		}
	default:
		if len(n.inFlight) == 0 {
			return
		}
		index := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
		message := n.inFlight[index]
		if rapid.Bool().Draw(t, "last delivery") {
			n.inFlight = append(n.inFlight[:index], n.inFlight[index+1:]...)
		}
		if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			n.deliver(message)
		}
	}
	n.now = n.now.Add(clock.Span(rapid.IntRange(0, 300).Draw(t, "span")))
}

// deliverAll delivers all messages without loss, over enough ticks for each node to compare
// versions with each peer.
func (n *lossyNetwork) deliverAll() {
	for range 2 * nodes {
		n.now = n.now.Add(clock.Second)
		for id, s := range n.states {
			n.send(id, s.Tick(n.now))
		}
		for len(n.inFlight) > 0 {
			m := n.inFlight[0]
			n.inFlight = n.inFlight[1:]
			n.deliver(m)
		}
	}
}

// Guards against a node that returns to an older configuration, and against nodes that stay
// behind a connected peer after messages were lost, repeated or delayed.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newLossyNetwork()
		for r := range rapid.IntRange(0, 60).Draw(t, "steps") {
			before := map[units.VMID][]tree.Version{}
			for id, s := range network.states {
				before[id] = s.Snapshot().Versions()
			}
			network.step(t, units.Revision(r+1))
			for id, l := range before {
				for _, v := range l {
					if network.states[id].Snapshot().Revision(v.Team) < v.Revision {
						t.Fatalf("node %s returned to an older revision of team %s", id, v.Team)
					}
				}
			}
		}
		newest := map[units.TeamID]units.Revision{}
		for _, s := range network.states {
			for _, v := range s.Snapshot().Versions() {
				newest[v.Team] = max(newest[v.Team], v.Revision)
			}
		}
		network.deliverAll()
		for id, s := range network.states {
			for team, r := range newest {
				assert.Equal(t, s.Snapshot().Revision(team), r, "node %s, team %s", id, team)
			}
		}
	})
}

// Guards against messages that trigger each other endlessly once all nodes have the same
// versions, and against values sent to nodes that have them already.
func TestNoTrafficAfterConvergence(t *testing.T) {
	network := newLossyNetwork()
	network.send(nodeID(0), network.states[nodeID(0)].MergeStored(network.now,
		syncer.Entry{Team: "a", Revision: 3, Value: []byte("{}")}))
	values := 0
	for rounds := 0; len(network.inFlight) > 0; rounds++ {
		assert.Assert(t, rounds < 200)
		m := network.inFlight[0]
		network.inFlight = network.inFlight[1:]
		if m.Frame.GetConfig() != nil {
			values++
		}
		network.deliver(m)
	}
	assert.Equal(t, values, nodes-1)
}

// Guards against a change of one API key that costs as much traffic as the whole value, and
// against a node that is not updated after a damaged delta.
func TestDeltas(t *testing.T) {
	config := &tree.Team{Customers: []tree.Customer{{ID: "c", Rate: 1, Burst: 1}}}
	for i := range 200 {
		config.Keys = append(config.Keys, tree.Key{
			ID: units.KeyID(fmt.Sprint("k", i)), Hash: tree.HashSecret(fmt.Sprint(i)), Customer: "c",
		})
	}
	old, err := tree.Encode(config)
	assert.NilError(t, err)
	config.Keys[7].Withdrawn = true
	changed, err := tree.Encode(config)
	assert.NilError(t, err)

	sender, receiver := syncer.NewState("n0"), syncer.NewState("n1")
	sender.AddPeer(1, "n1", true)
	receiver.AddPeer(1, "n0", true)
	sender.MergeStored(1, syncer.Entry{Team: "a", Revision: 1, Value: old})
	receiver.MergeStored(1, syncer.Entry{Team: "a", Revision: 1, Value: old})
	messages := sender.MergeStored(1, syncer.Entry{Team: "a", Revision: 2, Value: changed})
	messages = receiver.HandleVersions(2, "n0", messages[0].Frame.GetVersions())
	messages = sender.HandleVersions(3, "n1", messages[0].Frame.GetVersions())
	size := wire.FrameSize(messages[0].Frame)
	assert.Assert(t, size < 200, "%d bytes of %d", size, len(changed))

	damaged := messages[0].Frame.GetConfig()
	damaged.Value = damaged.Value[:len(damaged.Value)-1]
	receiver.HandleConfig(4, "n0", damaged)
	assert.Equal(t, receiver.Snapshot().Revision("a"), units.Revision(1))
	messages = receiver.Tick(5)
	messages = sender.HandleVersions(6, "n1", messages[len(messages)-1].Frame.GetVersions())
	receiver.HandleConfig(7, "n0", messages[0].Frame.GetConfig())
	assert.Equal(t, receiver.Snapshot().Revision("a"), units.Revision(2))
}

// Guards against a gateway that serves requests although it can't receive withdrawals of keys,
// and against one that stops serving because only the store is unreachable.
func TestIsolated(t *testing.T) {
	s := syncer.NewState("n0")
	assert.Assert(t, s.Isolated(1), "no contact yet")
	s.SetGateways([]units.VMID{"n0", "n1", "n2", "n3"})
	assert.Assert(t, s.HandleStoreVersions(1000, nil))
	assert.Assert(t, !s.Isolated(3000))
	assert.Assert(t, s.Isolated(3001))
	s.GatewayResponded(2000, 2000, "n1", s.VersionsHash())
	assert.Assert(t, s.Isolated(3500), "two of four gateways are not a majority")
	s.GatewayResponded(2500, 2500, "n2", s.VersionsHash())
	assert.Assert(t, !s.Isolated(4000))
	assert.Assert(t, s.Isolated(4001))
	s.GatewayResponded(4500, 4500, "agent", s.VersionsHash())
	assert.Assert(t, s.Isolated(4600), "agents do not count")
	s.SetGateways([]units.VMID{"n0"})
	assert.Assert(t, !s.Isolated(1e9), "a single gateway is its own majority")
}

// Guards against an isolated gateway that accepts requests, for any order of contacts; compares
// Isolated with a simple model.
func TestIsolatedAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "gateways")
		s := syncer.NewState(nodeID(0))
		gateways := make([]units.VMID, 0, count)
		lastResponse := map[units.VMID]clock.Time{}
		for i := range count {
			gateways = append(gateways, nodeID(i))
		}
		s.SetGateways(gateways)
		now, lastStore := clock.Time(1), clock.Time(0)
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 1500).Draw(t, "span")))
			if i := rapid.IntRange(0, count).Draw(t, "who"); i == count {
				lastStore = now
				s.HandleStoreVersions(now, nil)
			} else {
				lastResponse[nodeID(i)] = now
				s.GatewayResponded(now, now, nodeID(i), s.VersionsHash())
			}
			at := now.Add(clock.Span(rapid.IntRange(0, 4000).Draw(t, "later")))
			reached := 1
			for i := 1; i < count; i++ {
				if responded, ok := lastResponse[nodeID(i)]; ok && at.Sub(responded) <= 2*clock.Second {
					reached++
				}
			}
			want := (lastStore == 0 || at.Sub(lastStore) > 2*clock.Second) && 2*reached <= count
			assert.Equal(t, s.Isolated(at), want)
		}
	})
}

// emptyTeam returns a value of a team, which differs by number.
func emptyTeam(number int) []byte {
	return fmt.Appendf(nil, `{"customers":[{"id":"c","rate":%d,"burst":1}]}`, number)
}

// Guards against a gateway that takes requests without a change that more than half of the gateways use,
// for any order of writes, deliveries, Pings and Pongs, because the others answer it.
func TestGatewayBehindMajorityIsIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "gateways")
		var ids []units.VMID
		for i := range count {
			ids = append(ids, nodeID(i))
		}
		before, after := emptyTeam(1), emptyTeam(2)
		states, changed := make([]*syncer.State, count), make([]bool, count)
		for i := range states {
			states[i] = syncer.NewState(ids[i])
			states[i].SetGateways(ids)
			states[i].MergeStored(1, syncer.Entry{Team: "a", Revision: 1, Value: before})
		}
		now, majorityAt, using := clock.Time(1000), clock.Time(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 400).Draw(t, "span")))
			i, j := rapid.IntRange(0, count-1).Draw(t, "from"), rapid.IntRange(0, count-1).Draw(t, "to")
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 && !changed[i] {
				states[i].MergeStored(now, syncer.Entry{Team: "a", Revision: 2, Value: after})
				changed[i] = true
				if using++; majorityAt == 0 && 2*using > count {
					majorityAt = now
				}
				continue
			}
			sent, versions := now, states[j].VersionsHash()
			now = now.Add(clock.Span(rapid.IntRange(0, 900).Draw(t, "delay")))
			if i != j {
				states[i].GatewayResponded(now, sent, ids[j], versions)
			}
		}
		if majorityAt == 0 {
			return
		}
		for i, s := range states {
			at := max(now, majorityAt.Add(2*clock.Second+1))
			assert.Assert(t, changed[i] || s.Isolated(at), "gateway %d takes requests %d ms after the change was used by a majority", i, at.Sub(majorityAt))
		}
	})
}

// Guards against a withdrawal that counts as in force while gateways that may not learn of it are in
// contact with each other.
func TestReachCountsGateways(t *testing.T) {
	s := syncer.NewState("n0")
	s.SetGateways([]units.VMID{"n0", "n1", "n2"})
	s.AddPeer(1, "n1", true)
	s.AddPeer(1, "agent", false)
	s.MergeStored(1, syncer.Entry{Team: "a", Revision: 2, Value: emptyTeam(1)})
	for _, id := range []units.VMID{"agent", "n1"} {
		assert.Assert(t, !s.Reach("a", 2).Majority(), "%+v", s.Reach("a", 2))
		s.HandleVersions(2, id, &wire.Versions{Version: []*wire.Version{{Team: "a", Revision: 2}}})
	}
	assert.Equal(t, s.Reach("a", 2), syncer.Reach{Using: 2, Gateways: 3})
	assert.Assert(t, s.Reach("a", 2).Majority())
	assert.Assert(t, !s.Reach("a", 3).Majority())
}
