package store_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/store"
)

// swapInput is the input of one CompareAndSwap. Every value is written by one call only, so the
// expected value identifies the expected revision.
type swapInput struct {
	expected, value string
}

// swapOutput is the result of one call; err is nil after success.
type swapOutput struct {
	err error
}

// swapModel is a single key with compare-and-swap; its state is the current value.
var swapModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		q, err := input.(swapInput), output.(swapOutput).err
		matches := state.(string) == q.expected
		switch {
		case err == nil:
			return matches, q.value
		case errors.Is(err, store.ErrUnknownResult) && matches:
			return true, q.value
		case errors.Is(err, store.ErrConflict):
			return !matches, state
		}
		return true, state
	},
}

// history records the operations of all clients, with times relative to begin.
type history struct {
	begin time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// runSwaps repeatedly reads the key and swaps its value at the revision that it has read, while
// it injects lost requests and lost responses.
func runSwaps(client *store.Client, server *keyval.Server, h *history, id, swaps int) {
	ctx := context.Background()
	for i := range swaps {
		e, err := client.Get(ctx, "/a")
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			continue
		}
		switch rand.N(4) {
		case 0:
			server.LoseResponses(rand.N(5))
		case 1:
			server.Update(func(f *keyval.Faults) { f.LoseWrites = rand.N(3) })
		}
		input := swapInput{string(e.Value), fmt.Sprintf("%d.%d", id, i)}
		op := porcupine.Operation{ClientId: id, Input: input, Call: time.Since(h.begin).Nanoseconds()}
		_, err = client.CompareAndSwap(ctx, "/a", e.Revision, []byte(input.value), 0)
		op.Return = time.Since(h.begin).Nanoseconds()
		if errors.Is(err, store.ErrUnknownResult) {
			// The write may take effect at any later time, or never.
			op.Return = math.MaxInt64
		}
		op.Output = swapOutput{err}
		h.add(op)
	}
}

// Guards against a success or conflict that is reported for a write with the opposite result
// when requests and responses are lost under contention.
func TestCompareAndSwapIsLinearizable(t *testing.T) {
	s, c := startStore(t, keyval.Options{})
	const clients, swaps = 4, 30
	h := history{begin: time.Now()}
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() { runSwaps(c, s, &h, i, swaps) })
	}
	w.Wait()
	done := 0
	for _, o := range h.ops {
		if o.Output.(swapOutput).err == nil {
			done++
		}
	}
	t.Logf("%d swaps, %d succeeded, counters %+v", len(h.ops), done, c.Counters())
	assert.Assert(t, done > 0)
	assert.Assert(t, c.Counters().RetriedWrites > 0)
	assert.Equal(t, porcupine.CheckOperationsTimeout(swapModel, h.ops, 30*time.Second), porcupine.Ok)
}
