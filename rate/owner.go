package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// settleMax is how long a grant is remembered for the settlement of its answer.
// Later, its unused tokens stay spent.
const settleMax = 15 * clock.Minute

const sweepInterval = clock.Minute

// Owner holds the buckets of the slots that this gateway owns.
type Owner struct {
	self     units.VMID
	table    *SlotTable
	slots    map[Slot]*ownedSlot
	limits   map[units.CustomerID]limited
	grants   map[grantKey]*issued
	expiring queue[*issued]
	phantoms queue[phantom]
	swept    clock.Time
	// pending slots are not active yet.
	pending []*ownedSlot
	fleet   fleet
	faults  faults
}

// ownedSlot is one slot in the epoch of this owner.
type ownedSlot struct {
	slot    Slot
	epoch   units.Epoch
	buckets map[units.CustomerID]*Bucket
	// active is the start of the epoch at this owner; 0 while it must wait.
	active clock.Time
	change change
}

type grantKey struct {
	client units.VMID
	id     GrantID
}

// issued is a grant that is not settled yet.
type issued struct {
	key    grantKey
	slot   *ownedSlot
	bucket *Bucket
	issued clock.Time
	// held tokens may still be started.
	held units.Tokens
	// mark of the first start, and the tokens that a refund may still cover.
	mark   StartSeq
	marked bool
	spent  units.Tokens
	// told is the sum of the client's reports.
	told GrantReport
}

// phantom stands for the grants of the former owner, which sent its level.
type phantom struct {
	bucket *Bucket
	tokens units.Tokens
	ends   clock.Time
}

// NewOwner returns an owner without slots. The id must name this gateway as in
// the tables.
func NewOwner(self units.VMID) *Owner {
	return &Owner{
		self:   self,
		slots:  make(map[Slot]*ownedSlot),
		limits: make(map[units.CustomerID]limited),
		grants: make(map[grantKey]*issued),
		fleet:  newFleet(),
	}
}

// limited is the limit of a customer with its slots.
type limited struct {
	Limit
	slots []Slot
	// added slots have come with the latest change. They may be used from the given
	// time.
	added []Slot
	from  clock.Time
}

// limitSettle is the time in which a change of limits is in force everywhere. Until
// then, owners may still hold the shares of fewer slots.
const limitSettle = 10 * clock.Second

// share returns what a slot holds, if the customer has the slot.
func (l limited) share(s Slot) (Share, bool) {
	i := slices.Index(l.slots, s)
	if i < 0 {
		return Share{}, false
	}
	return l.part(i, len(l.slots)), true
}

// SetLimit sets the limit of a customer. One without a limit is granted nothing.
func (o *Owner) SetLimit(now clock.Time, c units.CustomerID, l Limit) {
	old, known := o.limits[c]
	if known && old.Limit == l {
		return
	}
	next := limited{Limit: l, slots: SlotsOf(c, l), from: now.Add(limitSettle)}
	if known {
		next.added = slices.DeleteFunc(slices.Clone(next.slots), func(s Slot) bool { return slices.Contains(old.slots, s) })
	}
	o.limits[c] = next
	for _, s := range old.slots {
		w := o.slots[s]
		if w == nil || w.buckets[c] == nil {
			continue
		}
		if x, ok := next.share(s); ok {
			w.buckets[c].SetShare(now, x)
		} else {
			delete(w.buckets, c)
		}
	}
}

// Acquire grants tokens to a client.
func (o *Owner) Acquire(now clock.Time, client units.VMID, a Acquire) Grant {
	o.Tick(now)
	g := Grant{ID: a.ID}
	w := o.slots[a.Slot]
	if w == nil || w.epoch != a.Epoch {
		g.Code = units.PermitStale
		g.Wait = MaxRefillWait
		return g
	}
	key := grantKey{client: client, id: a.ID}
	if _, ok := o.grants[key]; ok {
		// A repeated message, or an id of the client's former process.
		g.Code = units.RateUnavailable
		return g
	}
	b := o.bucket(w, a.Customer)
	if b == nil {
		g.Code = units.RateUnavailable
		g.Wait = MaxRefillWait
		return g
	}
	g.Tokens, g.Wait = b.Take(now, a.Tokens)
	g.Level = b.Level(now)
	if g.Tokens < a.Tokens {
		g.Code = units.RateExceeded
	}
	if g.Tokens > 0 {
		o.remember(&issued{key: key, slot: w, bucket: b, issued: now, held: g.Tokens})
	}
	return g
}

func (o *Owner) remember(g *issued) {
	o.grants[g.key] = g
	o.expiring.push(g)
}

// bucket returns the customer's bucket, nil while the slot is not active or when
// the customer has no limit.
func (o *Owner) bucket(w *ownedSlot, c units.CustomerID) *Bucket {
	if b := w.buckets[c]; b != nil {
		return b
	}
	l := o.limits[c]
	x, ok := l.share(w.slot)
	if !ok || w.active == 0 {
		return nil
	}
	from := w.active
	if slices.Contains(l.added, w.slot) {
		from = max(from, l.from)
	}
	b := NewBucket(from, x, 0)
	b.faults = o.faults
	if o.faults.fullStart {
		b.level = b.burst
	}
	w.buckets[c] = b
	return b
}

// Settle takes a client's reports on its grants. Reports on unknown grants are
// ignored; their tokens stay spent.
func (o *Owner) Settle(now clock.Time, client units.VMID, s Settle) {
	o.Tick(now)
	for _, r := range s.Reports {
		if g := o.grants[grantKey{client: client, id: r.Grant}]; g != nil {
			o.settle(now, g, r)
		}
	}
}

func (o *Owner) settle(now clock.Time, g *issued, r GrantReport) {
	g.start(now, min(r.Started-g.told.Started, g.held))
	back := r.Returned - g.told.Returned
	if n := min(back, g.held); n > 0 {
		g.bucket.Return(now, n)
		g.held -= n
		back -= n
	}
	// Tokens that had expired before they were returned were counted as spent.
	g.refund(now, max(back, 0)+max(r.Unused-g.told.Unused, 0))
	g.told.add(r)
	if g.told.Final && g.held == 0 {
		delete(o.grants, g.key)
	}
}

// refund credits n tokens of those that were spent.
func (g *issued) refund(now clock.Time, n units.Tokens) {
	n = min(n, g.spent)
	if n > 0 {
		g.bucket.Refund(now, g.mark, n)
		g.spent -= n
	}
}

// start takes n held tokens out of the bucket.
func (g *issued) start(now clock.Time, n units.Tokens) {
	if n <= 0 {
		return
	}
	m := g.bucket.Start(now, n)
	if !g.marked {
		// One mark for the grant: the earliest gives the smallest refund.
		g.mark = m
		g.marked = true
	}
	g.held -= n
	g.spent += n
}

// Tick ends what has expired and activates slots that have waited long enough.
// Each other method does so too; a process calls it at least every 100 ms.
func (o *Owner) Tick(now clock.Time) {
	for g := range o.expiring.until(func(g *issued) bool { return now.Sub(g.issued) >= guardTTL }) {
		g.start(now, g.held)
		if g.told.Final {
			delete(o.grants, g.key)
		}
	}
	for p := range o.phantoms.until(func(p phantom) bool { return !now.Before(p.ends) }) {
		p.bucket.Start(now, p.tokens)
	}
	o.pending = slices.DeleteFunc(o.pending, func(w *ownedSlot) bool {
		if o.slots[w.slot] == w && !o.ready(now, w) {
			return false
		}
		w.active = now
		return true
	})
	o.sweep(now)
}

// sweep forgets grants whose settlement never came.
func (o *Owner) sweep(now clock.Time) {
	if now.Sub(o.swept) < sweepInterval {
		return
	}
	o.swept = now
	for k, g := range o.grants {
		if now.Sub(g.issued) >= settleMax {
			delete(o.grants, k)
		}
	}
}
