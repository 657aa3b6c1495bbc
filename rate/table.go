package rate

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// SlotCount of the table of owners.
const (
	// ShardCount is half the number of gateways in two years. With 16, one owner would
	// answer a tenth of all requests and exceed its control bytes.
	ShardCount    = 160
	SlotsPerShard = 2
	SlotCount     = ShardCount * SlotsPerShard
)

// Slot is the number of a slot, below Slots.
type Slot uint16

// Row is the owner of one slot. The epoch rises by one with each change of owner.
type Row struct {
	Owner units.VMID
	Epoch units.Epoch
}

// SlotTable names the owner of each slot. A table is not changed once it is shared.
// The one with the highest version is in force.
type SlotTable struct {
	Version int64
	Rows    [SlotCount]Row
}

// Gateway is a candidate for ownership.
type Gateway struct {
	ID   units.VMID
	Zone units.Zone
}

// Assign returns the table for the given live gateways, or t itself when nothing
// changes. A slot stays with its owner unless the owner is not live, has more
// than a balanced share, or shares its zone with the other slot of the shard
// although there is another zone.
func (t *SlotTable) Assign(live []Gateway) *SlotTable {
	if len(live) == 0 {
		return t
	}
	a := newAssignment(t, live)
	for s := range Slot(SlotCount) {
		a.release(s)
	}
	for s := range Slot(SlotCount) {
		a.place(s)
	}
	if a.next.Rows == t.Rows {
		return t
	}
	a.next.Version++
	return a.next
}

type assignment struct {
	next  *SlotTable
	old   *SlotTable
	live  []Gateway
	zones map[units.VMID]units.Zone
	load  map[units.VMID]int
	limit int
	apart bool
}

func newAssignment(t *SlotTable, live []Gateway) *assignment {
	next := *t
	a := &assignment{
		next:  &next,
		old:   t,
		live:  slices.SortedFunc(slices.Values(live), func(x, y Gateway) int { return cmp.Compare(x.ID, y.ID) }),
		zones: make(map[units.VMID]units.Zone),
		load:  make(map[units.VMID]int),
		// A quarter above the mean: an exact balance would move more slots.
		limit: (SlotCount*5 + len(live)*4 - 1) / (len(live) * 4),
	}
	for _, g := range live {
		a.zones[g.ID] = g.Zone
		a.apart = a.apart || g.Zone != live[0].Zone
	}
	return a
}

// release frees the slot when its owner can't keep it, and counts it otherwise.
func (a *assignment) release(s Slot) {
	row := &a.next.Rows[s]
	zone, ok := a.zones[row.Owner]
	if ok && a.load[row.Owner] < a.limit && !a.conflict(s, zone) {
		a.load[row.Owner]++
		return
	}
	row.Owner = ""
}

// conflict tells whether the other slot of the shard is in the zone.
func (a *assignment) conflict(s Slot, zone units.Zone) bool {
	other := a.next.Rows[s^1].Owner
	z, ok := a.zones[other]
	// Of two in one zone, only the second moves.
	return a.apart && ok && z == zone && (s%SlotsPerShard == 1 || a.old.Rows[s].Owner == "")
}

func (a *assignment) place(s Slot) {
	row := &a.next.Rows[s]
	if row.Owner != "" {
		return
	}
	row.Owner = a.best(s)
	a.load[row.Owner]++
	if row.Owner != a.old.Rows[s].Owner {
		row.Epoch++
	}
}

// best returns the gateway with the highest score: in another zone than the other
// slot where possible, then with room.
func (a *assignment) best(s Slot) units.VMID {
	var best units.VMID
	var bestScore uint64
	bestRank := -1
	for _, g := range a.live {
		rank := 0
		if a.other(s) != g.ID {
			rank++
		}
		if !a.apart || a.zones[a.other(s)] != g.Zone {
			rank += 4
		}
		if a.load[g.ID] < a.limit {
			rank += 2
		}
		score := score(g.ID, s)
		if rank > bestRank || rank == bestRank && score > bestScore {
			best, bestScore, bestRank = g.ID, score, rank
		}
	}
	return best
}

func (a *assignment) other(s Slot) units.VMID { return a.next.Rows[s^1].Owner }

func score(id units.VMID, s Slot) uint64 {
	b := binary.LittleEndian.AppendUint16(nil, uint16(s))
	return xxhash.Sum64(append(b, id...))
}
