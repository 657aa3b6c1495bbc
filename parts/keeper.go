package parts

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

const (
	// VerdictTTL is the TTL of a verdict in the store. A verdict that is reached again is written again.
	VerdictTTL = 10 * clock.Minute
	// maxVerdicts bounds the verdicts that wait to be written; each needs several upstreams that crashed.
	maxVerdicts = 64
	// verdictRetryDelay is the least delay after a failed call; the jitter is at most as long.
	verdictRetryDelay = 500 * time.Millisecond
)

// VerdictStore is the store in which a Keeper keeps verdicts.
type VerdictStore interface {
	// Put writes a verdict, which the store removes after VerdictTTL. Remove removes it.
	Put(ctx context.Context, v Verdict) error
	Remove(ctx context.Context, v Verdict) error
}

// Keeper keeps verdicts in the store, so that they outlive all gateways. One goroutine runs it; the other
// methods may be called by any.
type Keeper struct {
	guard *Guard
	store VerdictStore
	added chan struct{}

	mu sync.Mutex // guards the fields below
	// pending are the verdicts to write, by part.
	pending map[ID]Verdict
	// stored are the parts with a verdict in the store.
	stored map[ID]bool
}

// NewKeeper returns a Keeper of the verdicts that the Guard reaches.
func NewKeeper(g *Guard, s VerdictStore) *Keeper {
	k := &Keeper{guard: g, store: s, added: make(chan struct{}, 1), pending: map[ID]Verdict{}, stored: map[ID]bool{}}
	g.OnVerdict(k.add)
	return k
}

// add adds a verdict that this gateway has reached or ended. It does not block.
func (k *Keeper) add(v Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, waiting := k.pending[v.Part]
	switch {
	case v.Crashes == 0 && !waiting && !k.stored[v.Part]:
		return
	case !waiting && len(k.pending) >= maxVerdicts:
		stats.Event("part_verdicts_dropped")
		klog.InfoS("parts: verdict not kept, too many wait", "part", v.Part, "crashes", v.Crashes)
		return
	}
	k.pending[v.Part] = v
	select {
	case k.added <- struct{}{}:
	default:
	}
}

// Stored handles a verdict that was read from the store, written by any gateway.
func (k *Keeper) Stored(v Verdict) {
	k.mu.Lock()
	k.stored[v.Part] = true
	k.mu.Unlock()
	if k.guard.Restore(v) {
		klog.InfoS("parts: part refused on the store's word", "part", v.Part, "crashes", v.Crashes)
	}
}

// Removed records that the store has no verdict on the part any more.
func (k *Keeper) Removed(part ID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.stored, part)
}

// next returns a verdict to write, and false if there is none.
func (k *Keeper) next() (Verdict, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, v := range k.pending {
		return v, true
	}
	return Verdict{}, false
}

// done removes a verdict that was written, unless there is a newer one on the same part.
func (k *Keeper) done(v Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[v.Part] == v {
		delete(k.pending, v.Part)
	}
}

// Run writes verdicts until the context is done. It returns no error.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		v, ok := k.next()
		if !ok {
			select {
			case <-k.added:
			case <-ctx.Done():
			}
			continue
		}
		if err := k.write(ctx, v); err != nil {
			klog.InfoS("parts: verdict not written", "part", v.Part, "crashes", v.Crashes, "err", err)
			clock.Sleep(ctx, verdictRetryDelay+rand.N(verdictRetryDelay))
			continue
		}
		klog.InfoS("parts: verdict written", "part", v.Part, "crashes", v.Crashes)
		k.done(v)
	}
	return nil
}

// write writes a verdict, or removes one that has ended.
func (k *Keeper) write(ctx context.Context, v Verdict) error {
	if v.Crashes == 0 {
		return k.store.Remove(ctx, v)
	}
	return k.store.Put(ctx, v)
}
