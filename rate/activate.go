package rate

import (
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// fleet is what an owner knows about agents and other gateways.
type fleet struct {
	// agents holds the table version that each agent on the VM list has acknowledged.
	agents map[units.UpstreamID]int64
	// gateways holds the gateways on the VM list.
	gateways map[units.VMID]bool
	// missing holds the time at which a gateway was first seen to be missing from the VM list.
	missing map[units.VMID]clock.Time
	// requestedAt is the time at which the current VM list was requested; 0 means that there
	// is none.
	requestedAt clock.Time
	// former holds, for each slot, the owners of older epochs whose permits may still be
	// accepted by some agent.
	former [SlotCount][]former
}

// former is the owner of an older epoch of a slot.
type former struct {
	owner units.VMID
	// until is the table version with which the ownership ended.
	until int64
}

// unknownOwner stands for a former owner that is in none of the tables seen by this process.
const unknownOwner units.VMID = ""

func newFleet() fleet {
	return fleet{
		agents:   make(map[units.UpstreamID]int64),
		gateways: make(map[units.VMID]bool),
		missing:  make(map[units.VMID]clock.Time),
	}
}

// ownerChange says what a new owner has to wait for. The table version that makes it the owner
// was seen at seenAt; it does not start before earliestStart.
type ownerChange struct {
	version       int64
	seenAt        clock.Time
	earliestStart clock.Time
}

// SetFleet sets the VM list: agents must acknowledge a change of owner, and a former owner
// that is not among the gateways no longer runs. The list was requested at requestedAt. A list
// requested before a change was seen does not count for that change, because an agent that
// started in between may be missing.
func (o *Owner) SetFleet(now, requestedAt clock.Time, agents []units.UpstreamID, gateways []units.VMID) {
	f := &o.fleet
	f.requestedAt = requestedAt
	versions := make(map[units.UpstreamID]int64, len(agents))
	for _, a := range agents {
		versions[a] = f.agents[a]
	}
	f.agents = versions
	f.gateways = make(map[units.VMID]bool, len(gateways))
	for _, g := range gateways {
		f.gateways[g] = true
		delete(f.missing, g)
	}
	f.markMissing(now)
	o.Tick(now)
}

// markMissing records the time at which former owners are first missing from the VM list.
func (f *fleet) markMissing(now clock.Time) {
	if f.requestedAt == 0 {
		return
	}
	for s := range f.former {
		for _, p := range f.former[s] {
			if _, ok := f.missing[p.owner]; !ok && !f.gateways[p.owner] {
				f.missing[p.owner] = now
			}
		}
	}
}

// Ack records that an agent has acknowledged a table version. Agents that are not on the VM
// list are ignored.
func (o *Owner) Ack(now clock.Time, agent units.UpstreamID, version int64) {
	f := &o.fleet
	if v, ok := f.agents[agent]; !ok || v >= version {
		return
	}
	f.agents[agent] = version
	lowest := f.ackedVersion()
	for s := range f.former {
		f.former[s] = slices.DeleteFunc(f.former[s], func(p former) bool { return p.until <= lowest })
	}
	o.Tick(now)
}

// ackedVersion returns the highest version that all listed agents have acknowledged; 0 if
// there is no list or no agent.
func (f *fleet) ackedVersion() int64 {
	if f.requestedAt == 0 || len(f.agents) == 0 {
		return 0
	}
	return slices.Min(slices.Collect(maps.Values(f.agents)))
}

// UpdateTable replaces the table by a newer one; an older one is ignored. It returns the
// buckets of slots that went to other owners; the caller sends each to the owner of its slot
// in the new table.
func (o *Owner) UpdateTable(now clock.Time, t *SlotTable) []BucketTransfer {
	if o.table != nil && t.Version <= o.table.Version {
		return nil
	}
	o.Tick(now)
	old := o.table
	o.table = t
	var transfers []BucketTransfer
	for s := range Slot(SlotCount) {
		transfers = append(transfers, o.updateSlot(now, old, s)...)
	}
	o.fleet.markMissing(now)
	o.Tick(now)
	return transfers
}

// updateSlot applies a change of epoch of one slot. It returns the buckets to transfer if this
// gateway owned the slot before.
func (o *Owner) updateSlot(now clock.Time, old *SlotTable, s Slot) []BucketTransfer {
	row := o.table.Rows[s]
	o.fleet.recordFormer(old, o.table, s)
	w := o.slots[s]
	if w != nil && w.epoch == row.Epoch {
		return nil
	}
	var transfers []BucketTransfer
	if w != nil {
		transfers = o.transfers(now, w)
		delete(o.slots, s)
	}
	if row.Owner != o.self {
		return transfers
	}
	w = &ownedSlot{slot: s, epoch: row.Epoch, buckets: make(map[units.CustomerID]*Bucket)}
	w.ownerChange = ownerChange{version: o.table.Version, seenAt: now}
	if old == nil {
		// An earlier process of this gateway may have issued grants in this epoch.
		w.ownerChange.earliestStart = now.Add(ownerGrantTTL)
	}
	o.slots[s] = w
	o.inactive = append(o.inactive, w)
	return transfers
}

// recordFormer records the former owner of a slot whose epoch has changed.
func (f *fleet) recordFormer(old, t *SlotTable, s Slot) {
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

// canActivate reports whether no grant of an older epoch can be started any more: either all
// agents refuse the older epochs, or all former owners are off the VM list for ownerGrantTTL,
// so that their grants have expired.
func (o *Owner) canActivate(now clock.Time, w *ownedSlot) bool {
	if o.faults.activateEarly {
		return true
	}
	if now.Before(w.ownerChange.earliestStart) {
		return false
	}
	f := &o.fleet
	if f.requestedAt.After(w.ownerChange.seenAt) && f.ackedVersion() >= w.ownerChange.version {
		return true
	}
	for _, p := range f.former[w.slot] {
		since, missing := f.missing[p.owner]
		if p.owner == unknownOwner || !missing || now.Sub(since) < ownerGrantTTL {
			return false
		}
	}
	return true
}

// transfers returns the buckets of a slot that this owner gives up, for the next owner.
func (o *Owner) transfers(now clock.Time, w *ownedSlot) []BucketTransfer {
	var out []BucketTransfer
	for _, c := range slices.Sorted(maps.Keys(o.limits)) {
		b := o.bucket(w, c)
		if b == nil || now.Before(b.usableFrom) {
			continue
		}
		out = append(out, BucketTransfer{
			Slot: w.slot, Epoch: w.epoch, Customer: c, Level: b.Level(now),
			Reserved: (b.reserved + milliPerToken - 1).tokens(),
		})
	}
	return out
}

// RestoreBucket takes over a customer's bucket from the former owner, which issues no more
// grants from it. A transfer for another epoch, or for a bucket already in use, is ignored.
func (o *Owner) RestoreBucket(now clock.Time, t BucketTransfer) {
	o.Tick(now)
	w := o.slots[t.Slot]
	x, ok := o.limits[t.Customer].shareOf(t.Slot)
	if w == nil || !ok || t.Epoch+1 != w.epoch || w.buckets[t.Customer] != nil {
		return
	}
	b := NewBucket(now, x, t.Level)
	b.faults = o.faults
	b.reserved = toMilliTokens(t.Reserved)
	b.refill(now)
	w.buckets[t.Customer] = b
	o.inherited.push(inheritedTokens{bucket: b, tokens: t.Reserved, expires: now.Add(ownerGrantTTL)})
}
