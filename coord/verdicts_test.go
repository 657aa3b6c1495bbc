package coord

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/store"
)

// newPartsCoord returns a Coord of which only the decisions by the parts of prompts are used.
func newPartsCoord(kv store.KV) *Coord {
	return New(Options{Self: "gate-0", Store: kv, Clock: clock.System{}})
}

// Guards against a part that crashes upstreams anew after a restart of all gateways.
func TestVerdictOutlivesAllGateways(t *testing.T) {
	s, err := keyval.New(keyval.Options{})
	assert.NilError(t, err)
	storeCtx, stopStore := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(storeCtx) }()
	defer func() {
		stopStore()
		assert.NilError(t, <-stopped)
	}()
	kv := store.New(store.Options{Address: s.Addr()})
	defer kv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	first, done := newPartsCoord(kv), make(chan error, 1)
	go func() { done <- first.verdicts.Run(ctx) }()
	const deadly parts.ID = 7
	for i := range retry.CrashID(2) {
		ticket, _ := first.parts.Acquire(ctx, parts.Prompt{Parts: []parts.ID{deadly}})
		assert.Assert(t, ticket != nil)
		reply, _ := ticket.Confirm(ctx)
		assert.Equal(t, reply, parts.Granted)
		ticket.End(&parts.Crash{ID: i, SentAt: ticket.SentAt()})
	}
	for range 500 {
		if list, _, err := kv.ListKeys(ctx, parts.VerdictPrefix); err == nil && len(list) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-done)

	second := newPartsCoord(kv)
	_, err = second.readVerdicts(context.Background())
	assert.NilError(t, err)
	ticket, wait := second.parts.Acquire(context.Background(), parts.Prompt{Parts: []parts.ID{deadly}})
	assert.Assert(t, ticket == nil && wait > 0)
}
