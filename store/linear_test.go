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

// swap is one call of Swap; every value is written by one call only, so that the
// value expected stands for the revision.
type swap struct {
	old, value string
}

// outcome is the result; err is nil after success.
type outcome struct {
	err error
}

// register is a key with compare-and-swap.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		q, err := input.(swap), output.(outcome).err
		matches := state.(string) == q.old
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

// compete swaps the key, each time expecting what it has just read.
func compete(c *store.Client, s *keyval.Server, h *history, id, swaps int) {
	ctx := context.Background()
	for i := range swaps {
		e, err := c.Get(ctx, "/a")
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			continue
		}
		switch rand.N(4) {
		case 0:
			s.LoseResponses(rand.N(5))
		case 1:
			s.Update(func(f *keyval.Faults) { f.LoseWrites = rand.N(3) })
		}
		q := swap{string(e.Value), fmt.Sprintf("%d.%d", id, i)}
		o := porcupine.Operation{ClientId: id, Input: q, Call: time.Since(h.begin).Nanoseconds()}
		_, err = c.CompareAndSwap(ctx, "/a", e.Revision, []byte(q.value), 0)
		o.Return = time.Since(h.begin).Nanoseconds()
		if errors.Is(err, store.ErrUnknownResult) {
			// It may take effect at any later time, or never.
			o.Return = math.MaxInt64
		}
		o.Output = outcome{err}
		h.add(o)
	}
}

// Guards against a success or conflict that is reported for a write with the
// opposite result when answers and calls are lost under contention.
func TestSwapIsLinearizable(t *testing.T) {
	s, c := start(t, keyval.Options{})
	const clients, swaps = 4, 30
	h := history{begin: time.Now()}
	var w sync.WaitGroup
	for i := range clients {
		w.Go(func() { compete(c, s, &h, i, swaps) })
	}
	w.Wait()
	done := 0
	for _, o := range h.ops {
		if o.Output.(outcome).err == nil {
			done++
		}
	}
	t.Logf("%d swaps, %d done, counters %+v", len(h.ops), done, c.Counters())
	assert.Assert(t, done > 0)
	assert.Assert(t, c.Counters().RetriedWrites > 0)
	assert.Equal(t, porcupine.CheckOperationsTimeout(register, h.ops, 30*time.Second), porcupine.Ok)
}
