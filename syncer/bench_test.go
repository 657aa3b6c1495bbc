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

// benchEntry is a value of 200 keys, whose revisions differ in one customer's rate.
func benchEntry(b *testing.B, team, revision int) syncer.Entry {
	c := units.CustomerID(fmt.Sprint("customer-", team))
	v := &tree.Team{Customers: []tree.Customer{{ID: c, Rate: units.Tokens(1000 + revision), Burst: 5000}}}
	for i := range 200 {
		id := fmt.Sprintf("key-%d-%d", team, i)
		v.Keys = append(v.Keys, tree.Key{ID: units.KeyID(id), Hash: tree.HashSecret(id), Customer: c})
	}
	data, err := tree.Encode(v)
	assert.NilError(b, err)
	return syncer.Entry{Team: benchTeam(team), Revision: units.Revision(revision), Value: data}
}

// benchState returns a state of the teams in revision 1 with peers, half of which
// are gateways, and the bytes of the greetings.
func benchState(b *testing.B, peers, teams int) *syncer.State {
	s := syncer.NewState("self")
	for i := range teams {
		s.MergeStored(1, benchEntry(b, i, 1))
	}
	for i := range peers {
		s.AddPeer(1, node(i), i%2 == 0)
	}
	return s
}

// BenchmarkCompare is one comparison of all versions: a message that the node sends
// at each tick, and one that it receives from a peer with the same versions.
func BenchmarkCompare(b *testing.B) {
	for _, z := range []struct{ peers, teams int }{
		{10, 10}, {100, 10}, {970, 10}, {100, 1}, {100, 100}, {970, 100},
	} {
		b.Run(fmt.Sprintf("peers=%d/teams=%d", z.peers, z.teams), func(b *testing.B) {
			s := benchState(b, z.peers, z.teams)
			equal := s.Tick(1)[0].Frame.GetVersions()
			for i := range z.peers {
				s.HandleVersions(1, node(i), equal)
			}
			now, bytes, i := clock.Time(1), 0, 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500)
				for _, m := range s.Tick(now) {
					bytes += wire.FrameSize(m.Frame)
				}
				s.HandleVersions(now, node(i%z.peers), equal)
				i++
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "sent-bytes/compare")
		})
	}
}

// BenchmarkChange is one change from the store at a gateway: the merge, and the
// announcements to all peers.
func BenchmarkChange(b *testing.B) {
	for _, peers := range []int{10, 100, 970} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			s := benchState(b, peers, 10)
			bytes, messages, revision := 0, 0, 1
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				revision++
				e := benchEntry(b, 0, revision)
				b.StartTimer()
				for _, m := range s.MergeStored(clock.Time(revision), e) {
					bytes += wire.FrameSize(m.Frame)
					messages++
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "sent-bytes/change")
			b.ReportMetric(float64(messages)/float64(b.N), "messages/change")
		})
	}
}

// BenchmarkSpread counts the messages and bytes of one change in a fleet whose
// gateways all watch the store, and whose agents hear of it from the gateways.
func BenchmarkSpread(b *testing.B) {
	for _, z := range []struct{ gateways, agents int }{{4, 20}, {8, 20}, {16, 20}, {32, 20}, {16, 10}, {16, 40}, {16, 80}} {
		b.Run(fmt.Sprintf("gateways=%d/agents=%d", z.gateways, z.agents), func(b *testing.B) {
			w := newSpread(b, z.gateways, z.agents)
			revision := 1
			for b.Loop() {
				b.StopTimer()
				revision++
				e := benchEntry(b, 0, revision)
				b.StartTimer()
				w.change(e)
			}
			for i := range z.gateways + z.agents {
				assert.Equal(b, w.states[node(i)].Snapshot().Revision(benchTeam(0)), units.Revision(revision), "node %d", i)
			}
			n := float64(b.N)
			g, a := n*float64(z.gateways), n*float64(z.agents)
			b.ReportMetric(float64(w.sent[true])/g, "gateway-sent-bytes/change")
			b.ReportMetric(float64(w.received[true])/g, "gateway-received-bytes/change")
			b.ReportMetric(float64(w.sent[false])/a, "agent-sent-bytes/change")
			b.ReportMetric(float64(w.received[false])/a, "agent-received-bytes/change")
			b.ReportMetric(float64(w.messages)/n, "messages/change")
		})
	}
}

// spread runs the states of a fleet over a network that delivers at once and in
// order. The bytes are counted by role: true for gateways.
type spread struct {
	now            clock.Time
	gateways       int
	states         map[units.VMID]*syncer.State
	roles          map[units.VMID]bool
	queue          []flight
	sent, received map[bool]int
	messages       int
}

func newSpread(b *testing.B, gateways, agents int) *spread {
	w := &spread{now: 1, gateways: gateways, states: map[units.VMID]*syncer.State{}, roles: map[units.VMID]bool{}}
	n := gateways + agents
	for i := range n {
		s := syncer.NewState(node(i))
		s.MergeStored(1, benchEntry(b, 0, 1))
		w.states[node(i)], w.roles[node(i)] = s, i < gateways
	}
	w.reset()
	for i := range n {
		for j := range n {
			if i != j && (i < gateways || j < gateways) {
				w.send(node(i), w.states[node(i)].AddPeer(1, node(j), j < gateways))
			}
		}
	}
	w.run()
	w.reset()
	return w
}

func (w *spread) reset() {
	w.sent, w.received, w.messages = map[bool]int{}, map[bool]int{}, 0
}

func (w *spread) send(from units.VMID, l []syncer.Message) {
	for _, m := range l {
		n := wire.FrameSize(m.Frame)
		w.sent[w.roles[from]] += n
		w.received[w.roles[m.To]] += n
		w.messages++
		w.queue = append(w.queue, flight{from, m})
	}
}

func (w *spread) run() {
	for len(w.queue) > 0 {
		m := w.queue[0]
		w.queue = w.queue[1:]
		s := w.states[m.To]
		if v := m.Frame.GetVersions(); v != nil {
			w.send(m.To, s.HandleVersions(w.now, m.from, v))
		}
		if c := m.Frame.GetConfig(); c != nil {
			w.send(m.To, s.HandleConfig(w.now, m.from, c))
		}
	}
}

// change delivers the value to the gateways, as the store's watches do.
func (w *spread) change(e syncer.Entry) {
	w.now = w.now.Add(clock.Second)
	for i := range w.gateways {
		w.send(node(i), w.states[node(i)].MergeStored(w.now, e))
	}
	w.run()
}
