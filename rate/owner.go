package rate

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// settlementTimeout is how long a grant is kept for the settlement of its response. Afterwards
// its unused tokens count as used.
const settlementTimeout = 15 * clock.Minute

// sweepInterval is the interval at which grants past settlementTimeout are removed.
const sweepInterval = clock.Minute

// Owner issues grants from the buckets of the slots that this gateway owns.
type Owner struct {
	self      units.VMID
	table     *SlotTable
	slots     map[Slot]*ownedSlot
	limits    map[units.CustomerID]customerLimit
	grants    map[grantKey]*issuedGrant
	expiring  queue[*issuedGrant]
	inherited queue[inheritedTokens]
	lastSweep clock.Time
	// inactive holds slots that must still wait for grants of older epochs to expire.
	inactive []*ownedSlot
	fleet    fleet
	faults   faults
}

// ownedSlot is the state of one slot during one epoch.
type ownedSlot struct {
	slot    Slot
	epoch   units.Epoch
	buckets map[units.CustomerID]*Bucket
	// activeSince is the time from which the owner may issue grants; 0 while it has to wait.
	activeSince clock.Time
	ownerChange ownerChange
}

// grantKey identifies a grant; ids are unique for one client only.
type grantKey struct {
	client units.VMID
	id     GrantID
}

// issuedGrant is a grant that is not settled yet.
type issuedGrant struct {
	key    grantKey
	slot   *ownedSlot
	bucket *Bucket
	issued clock.Time
	// reserved is the number of tokens that may still be started.
	reserved units.Tokens
	// firstSeq is the first start; spent is the number of tokens that a refund may still
	// cover.
	firstSeq   StartSeq
	anyStarted bool
	spent      units.Tokens
	// reported holds the totals reported by the client.
	reported GrantReport
}

// inheritedTokens are the reserved tokens in a transferred bucket, of grants of the former
// owner. They count as started at expires.
type inheritedTokens struct {
	bucket  *Bucket
	tokens  units.Tokens
	expires clock.Time
}

// NewOwner returns an owner without slots. Self is the id of this gateway in the slot tables.
func NewOwner(self units.VMID) *Owner {
	return &Owner{
		self:   self,
		slots:  make(map[Slot]*ownedSlot),
		limits: make(map[units.CustomerID]customerLimit),
		grants: make(map[grantKey]*issuedGrant),
		fleet:  newFleet(),
	}
}

// customerLimit is a customer's limit with the slots that share it.
type customerLimit struct {
	Limit
	slots []Slot
	// added slots are new with the latest change of the limit and can be used from usableFrom.
	added      []Slot
	usableFrom clock.Time
}

// limitPropagation is the time after which all owners apply a change of limits. Until then,
// some may still use the larger shares that belong to fewer slots.
const limitPropagation = 10 * clock.Second

// shareOf returns the share of a slot; false if the customer does not have the slot.
func (l customerLimit) shareOf(s Slot) (Share, bool) {
	i := slices.Index(l.slots, s)
	if i < 0 {
		return Share{}, false
	}
	return l.slotShare(i, len(l.slots)), true
}

// SetLimit sets the limit of a customer. Customers without a limit are granted nothing.
func (o *Owner) SetLimit(now clock.Time, c units.CustomerID, l Limit) {
	old, known := o.limits[c]
	if known && old.Limit == l {
		return
	}
	next := customerLimit{Limit: l, slots: SlotsOf(c, l), usableFrom: now.Add(limitPropagation)}
	if known {
		next.added = slices.DeleteFunc(slices.Clone(next.slots), func(s Slot) bool { return slices.Contains(old.slots, s) })
	}
	o.limits[c] = next
	for _, s := range old.slots {
		w := o.slots[s]
		if w == nil || w.buckets[c] == nil {
			continue
		}
		if x, ok := next.shareOf(s); ok {
			w.buckets[c].SetShare(now, x)
		} else {
			delete(w.buckets, c)
		}
	}
}

// Acquire reserves tokens for a client. The code is PermitStale if this gateway does not own
// the slot in that epoch, RateUnavailable if the slot is not active, the customer has no limit
// or the grant id is already in use, and RateExceeded if less than requested is granted.
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
		// A duplicate message, or an id that an earlier process of the client used.
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
		o.trackGrant(&issuedGrant{key: key, slot: w, bucket: b, issued: now, reserved: g.Tokens})
	}
	return g
}

// trackGrant keeps a grant until it is settled or expires.
func (o *Owner) trackGrant(g *issuedGrant) {
	o.grants[g.key] = g
	o.expiring.push(g)
}

// bucket returns the customer's bucket; nil while the slot is not active or if the customer
// has no limit.
func (o *Owner) bucket(w *ownedSlot, c units.CustomerID) *Bucket {
	if b := w.buckets[c]; b != nil {
		return b
	}
	l := o.limits[c]
	x, ok := l.shareOf(w.slot)
	if !ok || w.activeSince == 0 {
		return nil
	}
	usableFrom := w.activeSince
	if slices.Contains(l.added, w.slot) {
		usableFrom = max(usableFrom, l.usableFrom)
	}
	b := NewBucket(usableFrom, x, 0)
	b.faults = o.faults
	if o.faults.startFull {
		b.level = b.burst
	}
	w.buckets[c] = b
	return b
}

// Settle applies a client's reports on its grants. Reports on unknown grants are ignored;
// their tokens count as used.
func (o *Owner) Settle(now clock.Time, client units.VMID, s Settle) {
	o.Tick(now)
	for _, r := range s.Reports {
		if g := o.grants[grantKey{client: client, id: r.Grant}]; g != nil {
			o.settle(now, g, r)
		}
	}
}

// settle applies one report on a grant. Reports hold totals, so only the differences to those
// reported before count.
func (o *Owner) settle(now clock.Time, g *issuedGrant, r GrantReport) {
	g.start(now, min(r.Started-g.reported.Started, g.reserved))
	back := r.Returned - g.reported.Returned
	if n := min(back, g.reserved); n > 0 {
		g.bucket.Return(now, n)
		g.reserved -= n
		back -= n
	}
	// Tokens that expired before they were returned have been counted as started.
	g.refund(now, max(back, 0)+max(r.Unused-g.reported.Unused, 0))
	g.reported.add(r)
	if g.reported.Final && g.reserved == 0 {
		delete(o.grants, g.key)
	}
}

// refund credits up to n of the started tokens of the grant.
func (g *issuedGrant) refund(now clock.Time, n units.Tokens) {
	n = min(n, g.spent)
	if n > 0 {
		g.bucket.Refund(now, g.firstSeq, n)
		g.spent -= n
	}
}

// start removes n reserved tokens of the grant from the bucket.
func (g *issuedGrant) start(now clock.Time, n units.Tokens) {
	if n <= 0 {
		return
	}
	m := g.bucket.Start(now, n)
	if !g.anyStarted {
		// One number for all starts of the grant: the earliest gives the smallest refund.
		g.firstSeq = m
		g.anyStarted = true
	}
	g.reserved -= n
	g.spent += n
}

// Tick expires grants and activates slots that have waited long enough. Most other methods
// call it too; the caller calls it at least every 100 ms.
func (o *Owner) Tick(now clock.Time) {
	for g := range o.expiring.popWhile(func(g *issuedGrant) bool { return now.Sub(g.issued) >= ownerGrantTTL }) {
		g.start(now, g.reserved)
		if g.reported.Final {
			delete(o.grants, g.key)
		}
	}
	for p := range o.inherited.popWhile(func(p inheritedTokens) bool { return !now.Before(p.expires) }) {
		p.bucket.Start(now, p.tokens)
	}
	o.inactive = slices.DeleteFunc(o.inactive, func(w *ownedSlot) bool {
		if o.slots[w.slot] == w && !o.canActivate(now, w) {
			return false
		}
		w.activeSince = now
		return true
	})
	o.sweep(now)
}

// sweep removes grants that were not settled within settlementTimeout.
func (o *Owner) sweep(now clock.Time) {
	if now.Sub(o.lastSweep) < sweepInterval {
		return
	}
	o.lastSweep = now
	for k, g := range o.grants {
		if now.Sub(g.issued) >= settlementTimeout {
			delete(o.grants, k)
		}
	}
}
