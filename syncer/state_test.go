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

const nodes = 5

// fleet runs several states over a network that loses, repeats and reorders.
type fleet struct {
	now    clock.Time
	states map[units.VMID]*syncer.State
	flying []flight
	stored map[units.TeamID]syncer.Entry
}

type flight struct {
	from units.VMID
	syncer.Message
}

func node(i int) units.VMID { return units.VMID(fmt.Sprint("n", i)) }

// gateway tells the role of a node: the last two are agents.
func gateway(i int) bool { return i < nodes-2 }

func newFleet() *fleet {
	f := &fleet{now: 1, states: map[units.VMID]*syncer.State{}, stored: map[units.TeamID]syncer.Entry{}}
	for i := range nodes {
		f.states[node(i)] = syncer.NewState(node(i))
	}
	for i := range nodes {
		for j := range nodes {
			// Agents have sessions with gateways only.
			if i != j && (gateway(i) || gateway(j)) {
				f.send(node(i), f.states[node(i)].AddPeer(f.now, node(j), gateway(j)))
			}
		}
	}
	return f
}

func (f *fleet) send(from units.VMID, l []syncer.Message) {
	for _, m := range l {
		f.flying = append(f.flying, flight{from, m})
	}
}

func (f *fleet) deliver(m flight) {
	s := f.states[m.To]
	if v := m.Frame.GetVersions(); v != nil {
		f.send(m.To, s.HandleVersions(f.now, m.from, v))
	}
	if c := m.Frame.GetConfig(); c != nil {
		f.send(m.To, s.HandleConfig(f.now, m.from, c))
	}
}

func (f *fleet) write(t *rapid.T, r units.Revision) {
	team := units.TeamID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"))
	value := fmt.Sprintf(`{"customers":[{"id":"c%s","rate":1,"burst":1},{"id":"c%s2","rate":%d,"burst":1}]}`, team, team, r)
	if rapid.IntRange(0, 5).Draw(t, "unreadable") == 0 {
		value = "{"
	}
	f.stored[team] = syncer.Entry{Team: team, Revision: r, Value: []byte(value)}
}

func (f *fleet) step(t *rapid.T, r units.Revision) {
	i := rapid.IntRange(0, nodes-1).Draw(t, "node")
	s := f.states[node(i)]
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		f.write(t, r)
	case 1:
		if !gateway(i) {
			return
		}
		for _, e := range f.stored {
			f.send(node(i), s.MergeStored(f.now, e))
		}
	case 2:
		f.send(node(i), s.Tick(f.now))
	case 3: // the session breaks and comes back
		j := (i + 1) % nodes
		if gateway(i) || gateway(j) {
			s.RemovePeer(node(j))
			f.send(node(i), s.AddPeer(f.now, node(j), gateway(j)))
		}
	default:
		if len(f.flying) == 0 {
			return
		}
		k := rapid.IntRange(0, len(f.flying)-1).Draw(t, "message")
		m := f.flying[k]
		if rapid.Bool().Draw(t, "last delivery") {
			f.flying = append(f.flying[:k], f.flying[k+1:]...)
		}
		if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
			f.deliver(m)
		}
	}
	f.now = f.now.Add(clock.Span(rapid.IntRange(0, 300).Draw(t, "span")))
}

// settle delivers without loss until one comparison with each peer has been made.
func (f *fleet) settle() {
	for range 2 * nodes {
		f.now = f.now.Add(clock.Second)
		for id, s := range f.states {
			f.send(id, s.Tick(f.now))
		}
		for len(f.flying) > 0 {
			m := f.flying[0]
			f.flying = f.flying[1:]
			f.deliver(m)
		}
	}
}

// Guards against a node that goes back to an older configuration, and against nodes
// that stay behind a peer that they reach, whatever was lost, repeated or late.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		for r := range rapid.IntRange(0, 60).Draw(t, "steps") {
			before := map[units.VMID][]tree.Version{}
			for id, s := range f.states {
				before[id] = s.Snapshot().Versions()
			}
			f.step(t, units.Revision(r+1))
			for id, l := range before {
				for _, v := range l {
					if f.states[id].Snapshot().Revision(v.Team) < v.Revision {
						t.Fatalf("node %s went back in team %s", id, v.Team)
					}
				}
			}
		}
		newest := map[units.TeamID]units.Revision{}
		for _, s := range f.states {
			for _, v := range s.Snapshot().Versions() {
				newest[v.Team] = max(newest[v.Team], v.Revision)
			}
		}
		f.settle()
		for id, s := range f.states {
			for team, r := range newest {
				assert.Equal(t, s.Snapshot().Revision(team), r, "node %s, team %s", id, team)
			}
		}
	})
}

// Guards against messages that answer each other for ever once all nodes agree, and
// against values sent to nodes that have them.
func TestAgreementIsQuiet(t *testing.T) {
	f := newFleet()
	f.send(node(0), f.states[node(0)].MergeStored(f.now, syncer.Entry{Team: "a", Revision: 3, Value: []byte("{}")}))
	values := 0
	for rounds := 0; len(f.flying) > 0; rounds++ {
		assert.Assert(t, rounds < 200)
		m := f.flying[0]
		f.flying = f.flying[1:]
		if m.Frame.GetConfig() != nil {
			values++
		}
		f.deliver(m)
	}
	assert.Equal(t, values, nodes-1)
}

// Guards against a change of one key that costs as much as the whole value, and
// against a node that stays behind after a difference that it could not use.
func TestDifferencesAreSent(t *testing.T) {
	v := &tree.Team{Customers: []tree.Customer{{ID: "c", Rate: 1, Burst: 1}}}
	for i := range 200 {
		v.Keys = append(v.Keys, tree.Key{
			ID: units.KeyID(fmt.Sprint("k", i)), Hash: tree.HashSecret(fmt.Sprint(i)), Customer: "c",
		})
	}
	old, err := tree.Encode(v)
	assert.NilError(t, err)
	v.Keys[7].Withdrawn = true
	now, err := tree.Encode(v)
	assert.NilError(t, err)

	from, to := syncer.NewState("n0"), syncer.NewState("n1")
	from.AddPeer(1, "n1", true)
	to.AddPeer(1, "n0", true)
	from.MergeStored(1, syncer.Entry{Team: "a", Revision: 1, Value: old})
	to.MergeStored(1, syncer.Entry{Team: "a", Revision: 1, Value: old})
	l := from.MergeStored(1, syncer.Entry{Team: "a", Revision: 2, Value: now})
	l = to.HandleVersions(2, "n0", l[0].Frame.GetVersions())
	l = from.HandleVersions(3, "n1", l[0].Frame.GetVersions())
	size := wire.FrameSize(l[0].Frame)
	assert.Assert(t, size < 200, "%d bytes of %d", size, len(now))

	damaged := l[0].Frame.GetConfig()
	damaged.Value = damaged.Value[:len(damaged.Value)-1]
	to.HandleConfig(4, "n0", damaged)
	assert.Equal(t, to.Snapshot().Revision("a"), units.Revision(1))
	l = to.Tick(5)
	l = from.HandleVersions(6, "n1", l[len(l)-1].Frame.GetVersions())
	to.HandleConfig(7, "n0", l[0].Frame.GetConfig())
	assert.Equal(t, to.Snapshot().Revision("a"), units.Revision(2))
}

// Guards against a gateway that stays in service although it can't learn of
// withdrawn keys, and against one that leaves it because the store alone is out.
func TestIsolated(t *testing.T) {
	s := syncer.NewState("n0")
	assert.Assert(t, s.Isolated(1), "nothing reached yet")
	s.SetGateways([]units.VMID{"n0", "n1", "n2", "n3"})
	s.StoreResponded(1000)
	assert.Assert(t, !s.Isolated(3000))
	assert.Assert(t, s.Isolated(3001))
	s.GatewayResponded(2000, "n1")
	assert.Assert(t, s.Isolated(3500), "two of four are not more than half")
	s.GatewayResponded(2500, "n2")
	assert.Assert(t, !s.Isolated(4000))
	assert.Assert(t, s.Isolated(4001))
	s.GatewayResponded(4500, "agent")
	assert.Assert(t, s.Isolated(4600), "agents do not count")
	s.SetGateways([]units.VMID{"n0"})
	assert.Assert(t, !s.Isolated(1e9), "the only gateway reaches all of them")
}

// Guards against an isolated gateway that takes requests, in any order of events.
func TestIsolatedAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "gateways")
		s := syncer.NewState(node(0))
		l := make([]units.VMID, 0, n)
		last := map[units.VMID]clock.Time{}
		for i := range n {
			l = append(l, node(i))
		}
		s.SetGateways(l)
		now, store := clock.Time(1), clock.Time(0)
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 1500).Draw(t, "span")))
			if i := rapid.IntRange(0, n).Draw(t, "who"); i == n {
				store = now
				s.StoreResponded(now)
			} else {
				last[node(i)] = now
				s.GatewayResponded(now, node(i))
			}
			at := now.Add(clock.Span(rapid.IntRange(0, 4000).Draw(t, "later")))
			reached := 1
			for i := 1; i < n; i++ {
				if u, ok := last[node(i)]; ok && at.Sub(u) <= 2*clock.Second {
					reached++
				}
			}
			want := (store == 0 || at.Sub(store) > 2*clock.Second) && 2*reached <= n
			assert.Equal(t, s.Isolated(at), want)
		}
	})
}
