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
	// storeRetryInterval is the time between two attempts to store pending responses.
	storeRetryInterval = time.Second
	// maxPendingResponses and maxPendingBytes limit the backlog. Agents keep the same
	// responses for ten minutes, so a dropped one can still be queried during that time.
	maxPendingResponses = 4096
	maxPendingBytes     = 16 << 20
)

// pendingResponse is a response that could not be stored yet.
type pendingResponse struct {
	key      string
	revision units.Revision
	record   Record
}

func (r *pendingResponse) bytes() int { return len(r.record.Response.Body) }

// backlog is a queue of the responses that could not be stored yet.
type backlog struct {
	mu        sync.Mutex
	responses []pendingResponse
	bytes     int
}

// add appends a response, or drops it if the backlog is full.
func (b *backlog) add(r pendingResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.responses) >= maxPendingResponses || b.bytes+r.bytes() > maxPendingBytes {
		stats.Event("once_answer_dropped")
		return
	}
	b.responses = append(b.responses, r)
	b.bytes += r.bytes()
}

// first returns the oldest response, or false if there is none.
func (b *backlog) first() (pendingResponse, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.responses) == 0 {
		return pendingResponse{}, false
	}
	return b.responses[0], true
}

// removeFirst removes the response that first returned. Only Run may call it, as another
// caller could remove a response between the two calls.
func (b *backlog) removeFirst() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= b.responses[0].bytes()
	b.responses[0] = pendingResponse{}
	b.responses = b.responses[1:]
}

// Run stores the responses in the backlog until the context is done. It then makes a last
// attempt and returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	t := time.NewTicker(storeRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			k.storePending(context.WithoutCancel(ctx))
			return nil
		case <-t.C:
			k.storePending(ctx)
		}
	}
}

// storePending stores the responses in the backlog in order, and stops at the first failure.
func (k *Keeper) storePending(ctx context.Context) {
	for {
		r, ok := k.backlog.first()
		if !ok {
			return
		}
		_, err := k.writeRecord(ctx, r.key, r.revision, &r.record)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			klog.V(1).Infof("once: can't store a response: %v", err)
			return
		}
		k.backlog.removeFirst()
	}
}
