package rate

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/units"
)

// Dimensions of the slot table.
const (
	// ShardCount is half the number of gateways expected in two years. With 16 shards, one
	// owner would answer a tenth of all requests and exceed its limit of control bytes.
	ShardCount    = 160
	SlotsPerShard = 2
	SlotCount     = ShardCount * SlotsPerShard
)

// Slot is the number of a slot, less than SlotCount.
type Slot uint16

// Row is the entry of one slot. The epoch rises by one with each change of owner; it is 0 for
// a slot that never had one.
type Row struct {
	Owner units.VMID
	Epoch units.Epoch
}

// SlotTable holds the owner of each slot. A table must not be changed once it is shared. The
// table with the highest version is in force.
type SlotTable struct {
	Version int64
	Rows    [SlotCount]Row
}

// Gateway is a gateway that may own slots.
type Gateway struct {
	ID   units.VMID
	Zone units.Zone
}

// Assign returns the table for the given live gateways, or t itself if nothing changes. A slot
// keeps its owner unless the owner is not live, has more than a balanced share of slots, or is
// in the zone of the other slot's owner although there is another zone.
func (t *SlotTable) Assign(live []Gateway) *SlotTable {
	if len(live) == 0 {
		return t
	}
	a := newAssignment(t, live)
	for s := range Slot(SlotCount) {
		a.retain(s)
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

// assignment is the state of one Assign.
type assignment struct {
	next       *SlotTable
	old        *SlotTable
	live       []Gateway
	zones      map[units.VMID]units.Zone
	ownedSlots map[units.VMID]int
	maxSlots   int
	multiZone  bool
}

func newAssignment(t *SlotTable, live []Gateway) *assignment {
	next := *t
	a := &assignment{
		next:       &next,
		old:        t,
		live:       slices.SortedFunc(slices.Values(live), func(x, y Gateway) int { return cmp.Compare(x.ID, y.ID) }),
		zones:      make(map[units.VMID]units.Zone),
		ownedSlots: make(map[units.VMID]int),
		// A quarter above the mean, because an exact balance would move more slots.
		maxSlots: (SlotCount*5 + len(live)*4 - 1) / (len(live) * 4),
	}
	for _, g := range live {
		a.zones[g.ID] = g.Zone
		a.multiZone = a.multiZone || g.Zone != live[0].Zone
	}
	return a
}

// retain counts the slot for its owner, or removes the owner if it can't keep the slot.
func (a *assignment) retain(s Slot) {
	row := &a.next.Rows[s]
	zone, ok := a.zones[row.Owner]
	if ok && a.ownedSlots[row.Owner] < a.maxSlots && !a.zoneConflict(s, zone) {
		a.ownedSlots[row.Owner]++
		return
	}
	row.Owner = ""
}

// zoneConflict reports whether the slot has to move because the other slot of its shard is in
// the same zone.
func (a *assignment) zoneConflict(s Slot, zone units.Zone) bool {
	other := a.next.Rows[s^1].Owner
	z, ok := a.zones[other]
	// Of two slots in one zone, only the second moves.
	return a.multiZone && ok && z == zone && (s%SlotsPerShard == 1 || a.old.Rows[s].Owner == "")
}

// place assigns an owner to a slot without one and raises the epoch if the owner changes.
func (a *assignment) place(s Slot) {
	row := &a.next.Rows[s]
	if row.Owner != "" {
		return
	}
	row.Owner = a.bestGateway(s)
	a.ownedSlots[row.Owner]++
	if row.Owner != a.old.Rows[s].Owner {
		row.Epoch++
	}
}

// bestGateway returns the gateway for a slot. The order is: another zone than the other slot,
// room for another slot, another gateway than the other slot, the highest score.
func (a *assignment) bestGateway(s Slot) units.VMID {
	var bestGateway units.VMID
	var bestScore uint64
	bestRank := -1
	for _, g := range a.live {
		rank := 0
		if a.otherOwner(s) != g.ID {
			rank++
		}
		if !a.multiZone || a.zones[a.otherOwner(s)] != g.Zone {
			rank += 4
		}
		if a.ownedSlots[g.ID] < a.maxSlots {
			rank += 2
		}
		score := score(g.ID, s)
		if rank > bestRank || rank == bestRank && score > bestScore {
			bestGateway, bestScore, bestRank = g.ID, score, rank
		}
	}
	return bestGateway
}

// otherOwner returns the owner of the other slot of the shard.
func (a *assignment) otherOwner(s Slot) units.VMID { return a.next.Rows[s^1].Owner }

// score is a rendezvous hash of gateway and slot.
func score(id units.VMID, s Slot) uint64 {
	b := binary.LittleEndian.AppendUint16(nil, uint16(s))
	return xxhash.Sum64(append(b, id...))
}
