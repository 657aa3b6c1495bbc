package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
)

const (
	// verdictTTL is the TTL of a verdict in the store. A verdict that is reached again is written again.
	verdictTTL = 10 * clock.Minute
	// maxVerdicts bounds the verdicts that wait to be written; each needs several upstreams that crashed.
	maxVerdicts = 64
	// verdictRetryDelay is the least delay after a failed call; the jitter is at most as long.
	verdictRetryDelay = 500 * time.Millisecond
)

// verdictStore keeps verdicts on parts of prompts in the store, so that they outlive all gateways. One
// goroutine runs it; add and setStored may be called by others.
type verdictStore struct {
	store *platform.Store
	added chan struct{}

	mu sync.Mutex // guards the fields below
	// pending are the verdicts to write, by part.
	pending map[parts.ID]parts.Verdict
	// stored are the parts with a verdict in the store.
	stored map[parts.ID]bool
}

func newVerdictStore(s *platform.Store) *verdictStore {
	return &verdictStore{
		store: s, added: make(chan struct{}, 1), pending: map[parts.ID]parts.Verdict{}, stored: map[parts.ID]bool{},
	}
}

// add adds a verdict that this gateway has reached or ended. It does not block.
func (s *verdictStore) add(v parts.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, waiting := s.pending[v.Part]
	switch {
	case v.Crashes == 0 && !waiting && !s.stored[v.Part]:
		return
	case !waiting && len(s.pending) >= maxVerdicts:
		stats.Event("part_verdicts_dropped")
		klog.InfoS("entry: verdict not kept, too many wait", "part", v.Part, "crashes", v.Crashes)
		return
	}
	s.pending[v.Part] = v
	select {
	case s.added <- struct{}{}:
	default:
	}
}

// setStored records whether the store has a verdict on the part.
func (s *verdictStore) setStored(part parts.ID, stored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored {
		s.stored[part] = true
		return
	}
	delete(s.stored, part)
}

// next returns a verdict to write, and false if there is none.
func (s *verdictStore) next() (parts.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.pending {
		return v, true
	}
	return parts.Verdict{}, false
}

// done removes a verdict that was written, unless there is a newer one on the same part.
func (s *verdictStore) done(v parts.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[v.Part] == v {
		delete(s.pending, v.Part)
	}
}

// run writes verdicts until the context is done. It returns no error.
func (s *verdictStore) run(ctx context.Context) error {
	for ctx.Err() == nil {
		v, ok := s.next()
		if !ok {
			select {
			case <-s.added:
			case <-ctx.Done():
			}
			continue
		}
		if err := s.write(ctx, v); err != nil {
			klog.InfoS("entry: verdict not written", "part", v.Part, "crashes", v.Crashes, "err", err)
			clock.Sleep(ctx, verdictRetryDelay+rand.N(verdictRetryDelay))
			continue
		}
		klog.InfoS("entry: verdict written", "part", v.Part, "crashes", v.Crashes)
		s.done(v)
	}
	return nil
}

// write writes a verdict, or removes one that has ended.
func (s *verdictStore) write(ctx context.Context, v parts.Verdict) error {
	if v.Crashes == 0 {
		_, err := s.store.Commit(ctx, platform.Txn{Delete: []string{v.Key()}})
		return err
	}
	value, err := v.Encode()
	if err != nil {
		return err
	}
	lease, _, err := s.store.GrantLease(ctx, verdictTTL)
	if err != nil {
		return err
	}
	_, err = s.store.Commit(ctx, platform.Txn{Put: []platform.Write{{Key: v.Key(), Value: value, Lease: lease}}})
	return err
}

// handleVerdict handles a change of a verdict in the store, by any gateway.
func (c *controller) handleVerdict(part parts.ID, item platform.Item) {
	c.gateway.verdicts.setStored(part, !item.Deleted)
	if item.Deleted {
		return
	}
	v, err := parts.DecodeVerdict(part, item.Value)
	if err != nil {
		klog.InfoS("entry: invalid verdict ignored", "key", item.Key, "revision", item.Revision, "err", err)
		return
	}
	if c.gateway.parts.Restore(v) {
		klog.InfoS("entry: part refused on the store's word", "part", v.Part, "crashes", v.Crashes, "revision", item.Revision)
	}
}
