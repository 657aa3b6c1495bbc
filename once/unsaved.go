package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// unsavedInterval is the time between two tries to store answers.
	unsavedInterval = time.Second
	// maxUnsaved and maxUnsavedBytes bound the answers that wait for the store. An agent
	// has the same answers for ten minutes.
	maxUnsaved      = 4096
	maxUnsavedBytes = 16 << 20
)

// unsaved is an answer that the store has not taken.
type unsaved struct {
	key      string
	revision units.Revision
	record   Record
}

func (u *unsaved) bytes() int { return len(u.record.Response.Body) }

// backlog holds answers until the store is back.
type backlog struct {
	mu    sync.Mutex
	list  []unsaved
	bytes int
}

func (b *backlog) add(u unsaved) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) >= maxUnsaved || b.bytes+u.bytes() > maxUnsavedBytes {
		stats.Event("once_answer_dropped")
		return
	}
	b.list = append(b.list, u)
	b.bytes += u.bytes()
}

func (b *backlog) first() (unsaved, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		return unsaved{}, false
	}
	return b.list[0], true
}

// drop removes the first answer. Run is the only caller.
func (b *backlog) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= b.list[0].bytes()
	b.list[0] = unsaved{}
	b.list = b.list[1:]
}

// Run stores the answers that the store has not taken at their end. It returns after
// a last try when the context is done.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(unsavedInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			k.save(context.WithoutCancel(ctx))
			return nil
		case <-t.C:
			k.save(ctx)
		}
	}
}

// save stores answers until one fails.
func (k *Keeper) save(ctx context.Context) {
	for {
		u, ok := k.backlog.first()
		if !ok {
			return
		}
		_, err := k.swap(ctx, u.key, u.revision, &u.record)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			klog.V(1).Infof("once: can't store an answer: %v", err)
			return
		}
		k.backlog.drop()
	}
}
