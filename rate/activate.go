package rate

import (
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// fleet is what an owner knows of the other processes.
type fleet struct {
	// agents holds the version that each agent on the VM list has acknowledged.
	agents map[units.UpstreamID]int64
	// gateways on the VM list.
	gateways map[units.VMID]bool
	// gone holds when a gateway was first missing from the list.
	gone map[units.VMID]clock.Time
	// read is when the VM list was asked for; 0: never.
	read clock.Time
	// former holds, for each slot, owners of older epochs whose permits some agent
	// may still accept.
	former [SlotCount][]former
}

type former struct {
	owner units.VMID
	// until is the version at which the ownership ended.
	until int64
}

// unknownOwner stands for an owner that this process has not seen in a table.
const unknownOwner units.VMID = ""

func newFleet() fleet {
	return fleet{
		agents:   make(map[units.UpstreamID]int64),
		gateways: make(map[units.VMID]bool),
		gone:     make(map[units.VMID]clock.Time),
	}
}

// change is the condition under which a new owner starts.
type change struct {
	version  int64
	learned  clock.Time
	earliest clock.Time
}

// SetFleet takes over the VM list: the agents that must acknowledge a change of
// owner, and the gateways; an owner that is no longer listed is gone. Read is the
// time at which the request for the list was sent. A list read before a change was
// learned does not count for it: an agent that started in between may be missing.
func (o *Owner) SetFleet(now, read clock.Time, agents []units.UpstreamID, gateways []units.VMID) {
	f := &o.fleet
	f.read = read
	known := make(map[units.UpstreamID]int64, len(agents))
	for _, a := range agents {
		known[a] = f.agents[a]
	}
	f.agents = known
	f.gateways = make(map[units.VMID]bool, len(gateways))
	for _, g := range gateways {
		f.gateways[g] = true
		delete(f.gone, g)
	}
	f.markGone(now)
	o.Tick(now)
}

// markGone notes former owners that are missing from the VM list.
func (f *fleet) markGone(now clock.Time) {
	if f.read == 0 {
		return
	}
	for s := range f.former {
		for _, p := range f.former[s] {
			if _, ok := f.gone[p.owner]; !ok && !f.gateways[p.owner] {
				f.gone[p.owner] = now
			}
		}
	}
}

// Ack records that an agent has acknowledged a version of the table.
func (o *Owner) Ack(now clock.Time, agent units.UpstreamID, version int64) {
	f := &o.fleet
	if v, ok := f.agents[agent]; !ok || v >= version {
		return
	}
	f.agents[agent] = version
	lowest := f.acked()
	for s := range f.former {
		f.former[s] = slices.DeleteFunc(f.former[s], func(p former) bool { return p.until <= lowest })
	}
	o.Tick(now)
}

// acked returns the version that every listed agent has acknowledged.
func (f *fleet) acked() int64 {
	if f.read == 0 || len(f.agents) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(f.agents)))
}

// UpdateTable takes over a newer table. It returns the levels of slots that went to
// other owners; the process sends them to the owners in the new table.
func (o *Owner) UpdateTable(now clock.Time, t *SlotTable) []BucketTransfer {
	if o.table != nil && t.Version <= o.table.Version {
		return nil
	}
	o.Tick(now)
	old := o.table
	o.table = t
	var levels []BucketTransfer
	for s := range Slot(SlotCount) {
		levels = append(levels, o.learnSlot(now, old, s)...)
	}
	o.fleet.markGone(now)
	o.Tick(now)
	return levels
}

func (o *Owner) learnSlot(now clock.Time, old *SlotTable, s Slot) []BucketTransfer {
	row := o.table.Rows[s]
	o.fleet.succeed(old, o.table, s)
	w := o.slots[s]
	if w != nil && w.epoch == row.Epoch {
		return nil
	}
	var levels []BucketTransfer
	if w != nil {
		levels = o.levels(now, w)
		delete(o.slots, s)
	}
	if row.Owner != o.self {
		return levels
	}
	w = &ownedSlot{slot: s, epoch: row.Epoch, buckets: make(map[units.CustomerID]*Bucket)}
	w.change = change{version: o.table.Version, learned: now}
	if old == nil {
		// A former process of this gateway may have issued grants in this epoch.
		w.change.earliest = now.Add(guardTTL)
	}
	o.slots[s] = w
	o.pending = append(o.pending, w)
	return levels
}

// succeed records the former owner of a slot with a new epoch.
func (f *fleet) succeed(old, t *SlotTable, s Slot) {
	row := t.Rows[s]
	switch {
	case old == nil && row.Epoch > 1:
		f.former[s] = append(f.former[s], former{owner: unknownOwner, until: t.Version})
	case old == nil || row.Epoch == old.Rows[s].Epoch:
	case row.Epoch > old.Rows[s].Epoch+1:
		f.former[s] = append(f.former[s], former{owner: unknownOwner, until: t.Version})
	case old.Rows[s].Epoch > 0:
		f.former[s] = append(f.former[s], former{owner: old.Rows[s].Owner, until: t.Version})
	}
}

// ready tells whether no grant of an older epoch can be started any more: every
// agent refuses older epochs, or all former owners are gone and their grants have
// expired.
func (o *Owner) ready(now clock.Time, w *ownedSlot) bool {
	if o.faults.earlyStart {
		return true
	}
	if now.Before(w.change.earliest) {
		return false
	}
	f := &o.fleet
	if f.read.After(w.change.learned) && f.acked() >= w.change.version {
		return true
	}
	for _, p := range f.former[w.slot] {
		since, gone := f.gone[p.owner]
		if p.owner == unknownOwner || !gone || now.Sub(since) < guardTTL {
			return false
		}
	}
	return true
}

// levels returns the buckets of a slot that this owner gives up.
func (o *Owner) levels(now clock.Time, w *ownedSlot) []BucketTransfer {
	var out []BucketTransfer
	for _, c := range slices.Sorted(maps.Keys(o.limits)) {
		b := o.bucket(w, c)
		if b == nil || now.Before(b.from) {
			continue
		}
		out = append(out, BucketTransfer{Slot: w.slot, Epoch: w.epoch, Customer: c, Level: b.Level(now), Reserved: (b.held + milliPerToken - 1).tokens()})
	}
	return out
}

// RestoreBucket takes over the bucket of a customer from the former owner, which has
// stopped granting. It is ignored once the bucket is in use.
func (o *Owner) RestoreBucket(now clock.Time, l BucketTransfer) {
	o.Tick(now)
	w := o.slots[l.Slot]
	x, ok := o.limits[l.Customer].share(l.Slot)
	if w == nil || !ok || l.Epoch+1 != w.epoch || w.buckets[l.Customer] != nil {
		return
	}
	b := NewBucket(now, x, l.Level)
	b.faults = o.faults
	b.held = toMilli(l.Reserved)
	b.refill(now)
	w.buckets[l.Customer] = b
	o.phantoms.push(phantom{bucket: b, tokens: l.Reserved, ends: now.Add(guardTTL)})
}
