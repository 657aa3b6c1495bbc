package parts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// VerdictTTL is the TTL of a verdict in the store. A verdict that is reached again is written again.
	VerdictTTL = 10 * clock.Minute
	// maxVerdicts bounds the verdicts that wait to be written; each needs several upstreams that crashed.
	maxVerdicts = 64
	// verdictDelay is the time for which a verdict has to hold before it is written: where many upstreams
	// end at once for another reason, answers end it soon.
	verdictDelay = clock.Second
	// verdictPoll is the interval at which verdicts that are due are looked for while some wait.
	verdictPoll = 200 * time.Millisecond
	// maxEnded bounds the removals that are remembered.
	maxEnded = 4096
	// maxRewriteDelay bounds the random delay before a verdict that the store has lost or got back is written or removed again,
	// as other gateways would do the same. A change by one of them is seen by then.
	maxRewriteDelay = 2 * clock.Second
	// verdictRetryDelay is the least delay after a failed call; the jitter is at most as long.
	verdictRetryDelay = 500 * time.Millisecond
)

// VerdictStore is the store in which a Keeper keeps verdicts.
type VerdictStore interface {
	// Put writes a verdict, which the store removes after VerdictTTL. Remove removes it.
	Put(ctx context.Context, v Verdict) error
	Remove(ctx context.Context, v Verdict) error
}

// Verdicts are the verdicts that a gateway knows. The methods may be called by any goroutine.
type Verdicts interface {
	// Verdict returns the verdict on a part or request; its Crashes are 0 if that is not refused.
	Verdict(id ID) Verdict
	// Restore adds a verdict from the store, unless more is known, and reports whether it did.
	Restore(v Verdict) bool
}

// Keeper keeps verdicts in the store, so that they outlive all gateways. One goroutine runs it; the other
// methods may be called by any.
type Keeper struct {
	clock clock.Clock
	known Verdicts
	store VerdictStore
	added chan struct{}

	mu sync.Mutex // guards the fields below
	// pending are the verdicts to write, by part.
	pending map[ID]pendingVerdict
	// stored are the parts with a verdict in the store, written those with one that this gateway wrote.
	stored, written map[ID]bool
	// ended are the last removals of verdicts from the store, at most maxEnded.
	ended map[ID]removal
}

// removal is that of a verdict from the store at a revision, which this gateway learned at a time.
type removal struct {
	revision units.Revision
	at       clock.Time
}

// pendingVerdict is a verdict that is written from a time on.
type pendingVerdict struct {
	Verdict
	due clock.Time
	// again is set if the store has lost, or got back, what was written before.
	again bool
}

// NewKeeper returns a Keeper of the verdicts that the Guard reaches.
func NewKeeper(g *Guard, s VerdictStore) *Keeper {
	k := NewVerdictKeeper(g.clock, g, s)
	g.OnVerdict(k.Add)
	return k
}

// NewVerdictKeeper returns a Keeper of known verdicts, which are passed to Add.
func NewVerdictKeeper(c clock.Clock, known Verdicts, s VerdictStore) *Keeper {
	return &Keeper{
		clock: c, known: known, store: s, added: make(chan struct{}, 1),
		pending: map[ID]pendingVerdict{}, stored: map[ID]bool{}, written: map[ID]bool{}, ended: map[ID]removal{},
	}
}

// Add adds a verdict that is reached or ended. It does not block. A verdict that others have ended is removed
// by the gateway that wrote it; own is set if this one has.
func (k *Keeper) Add(v Verdict, own bool) {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if v.Crashes == 0 {
		delete(k.pending, v.Part)
		if k.written[v.Part] || own && k.stored[v.Part] {
			k.push(pendingVerdict{v, now, false})
		}
		return
	}
	if _, waiting := k.pending[v.Part]; !waiting && len(k.pending) >= maxVerdicts {
		stats.Event("part_verdicts_dropped")
		klog.InfoS("parts: verdict not kept, too many wait", "part", v.Part, "crashes", v.Crashes)
		return
	}
	k.push(pendingVerdict{v, now.Add(verdictDelay), false})
}

// push adds a pending verdict. The caller holds k.mu.
func (k *Keeper) push(v pendingVerdict) {
	k.pending[v.Part] = v
	select {
	case k.added <- struct{}{}:
	default:
	}
}

// Returned handles a verdict that a store which came back from an older copy has at the revision. One that had ended before
// is removed again; others are handled as by Stored.
func (k *Keeper) Returned(v Verdict, revision units.Revision) {
	if !k.hadEnded(v, revision) {
		k.Stored(v)
	}
}

// hadEnded reports whether a verdict had ended before the store came back, and lets it be removed again then.
func (k *Keeper) hadEnded(v Verdict, revision units.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	last, ok := k.ended[v.Part]
	if !ok || k.clock.Now().Sub(last.at) >= VerdictTTL || !epoch.MayPrecede(revision, last.revision) || k.known.Verdict(v.Part).Crashes > 0 {
		return false
	}
	k.stored[v.Part] = true
	k.pushAgain(Verdict{Part: v.Part, Request: v.Request})
	return true
}

// Stored handles a verdict that was read from the store, written by any gateway.
func (k *Keeper) Stored(v Verdict) {
	k.mu.Lock()
	if k.pending[v.Part].again {
		// Another gateway has written it, again or anew.
		delete(k.pending, v.Part)
	}
	k.stored[v.Part] = true
	k.mu.Unlock()
	if k.known.Restore(v) {
		klog.InfoS("parts: part refused on the store's word", "part", v.Part, "request", v.Request, "crashes", v.Crashes)
	}
}

// Removed records that the store has no verdict on the part any more, as of the revision.
func (k *Keeper) Removed(part ID, revision units.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[part].again && k.pending[part].Crashes == 0 {
		delete(k.pending, part)
	}
	delete(k.stored, part)
	delete(k.written, part)
	if len(k.ended) >= maxEnded {
		clear(k.ended)
	}
	k.ended[part] = removal{revision, k.clock.Now()}
}

// StoreReturned handles a full read of a store that has come back from an older copy: verdicts that hold and are not
// listed are written again.
func (k *Keeper) StoreReturned(listed map[ID]bool, request bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// What this gateway wrote may not have been read yet.
	for _, kept := range []map[ID]bool{k.stored, k.written} {
		for part := range kept {
			_, waiting := k.pending[part]
			if v := k.known.Verdict(part); !listed[part] && !waiting && v.Crashes > 0 {
				v.Request = request
				k.pushAgain(v)
			}
		}
	}
}

// pushAgain adds a pending verdict that any gateway may write. The caller holds k.mu.
func (k *Keeper) pushAgain(v Verdict) {
	if len(k.pending) >= maxVerdicts {
		return
	}
	klog.InfoS("parts: store came back without this change of a verdict", "part", v.Part, "request", v.Request, "crashes", v.Crashes)
	k.push(pendingVerdict{v, k.clock.Now().Add(rand.N(maxRewriteDelay)), true})
}

// next returns a verdict that is due, and false if there is none. waiting is set if some are not due yet.
func (k *Keeper) next() (v pendingVerdict, due, waiting bool) {
	now := k.clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for part, v := range k.pending {
		switch {
		case now.Before(v.due):
			waiting = true
			continue
		case v.Crashes > 0 && k.known.Verdict(part).Crashes == 0:
			// An answer has ended it meanwhile.
			delete(k.pending, part)
			continue
		case v.Crashes > 0:
			k.written[part] = true
		}
		return v, true, true
	}
	return pendingVerdict{}, false, waiting
}

// done removes a verdict that was written, unless there is a newer one on the same part.
func (k *Keeper) done(v pendingVerdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[v.Part] == v {
		delete(k.pending, v.Part)
	}
}

// Run writes verdicts until the context is done. It returns no error.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		v, due, waiting := k.next()
		switch {
		case !due && waiting:
			clock.Sleep(ctx, verdictPoll)
		case !due:
			select {
			case <-k.added:
			case <-ctx.Done():
			}
		default:
			k.writeDue(ctx, v)
		}
	}
	return nil
}

// writeDue writes a verdict that is due. After a failure it waits; the verdict stays pending.
func (k *Keeper) writeDue(ctx context.Context, v pendingVerdict) {
	if err := k.write(ctx, v.Verdict); err != nil {
		klog.InfoS("parts: verdict not written", "part", v.Part, "request", v.Request, "crashes", v.Crashes, "err", err)
		clock.Sleep(ctx, verdictRetryDelay+rand.N(verdictRetryDelay))
		return
	}
	klog.InfoS("parts: verdict written", "part", v.Part, "request", v.Request, "crashes", v.Crashes)
	k.done(v)
}

// write writes a verdict, or removes one that has ended.
func (k *Keeper) write(ctx context.Context, v Verdict) error {
	if v.Crashes == 0 {
		return k.store.Remove(ctx, v)
	}
	return k.store.Put(ctx, v)
}
