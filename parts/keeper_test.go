package parts_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/units"
)

// memoryVerdicts is a VerdictStore in memory.
type memoryVerdicts struct {
	mu      sync.Mutex
	puts    int
	current map[parts.ID]parts.Verdict
}

func (m *memoryVerdicts) Put(_ context.Context, v parts.Verdict) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.puts++
	m.current[v.Part] = v
	return nil
}

func (m *memoryVerdicts) Remove(_ context.Context, v parts.Verdict) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.current, v.Part)
	return nil
}

// counts returns the number of writes and of verdicts that are stored.
func (m *memoryVerdicts) counts() (puts, stored int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.puts, len(m.current)
}

// Guards against a sound part that stays refused after a restart of all gateways, because many upstreams ended at
// once: a verdict that answers end, at this gateway or at another one, is not written, or is removed.
func TestEndedVerdictIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := bubbleClock{time.Now()}
		g, store := parts.NewGuard(c), &memoryVerdicts{current: map[parts.ID]parts.Verdict{}}
		k := parts.NewKeeper(g, store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		refuse := func() {
			now := c.Now()
			ticket, _ := g.Acquire(ctx, parts.Prompt{Parts: []parts.ID{deadly}})
			assert.Assert(t, ticket != nil)
			reply, _ := ticket.Confirm(ctx)
			assert.Equal(t, reply, parts.Granted)
			g.Merge(parts.Suspect{Part: deadly, Crashes: []parts.Crash{{ID: 1, SentAt: now}, {ID: 2, SentAt: now}}})
			time.Sleep(time.Millisecond)
			ticket.End(&parts.Crash{ID: 3, SentAt: now})
			assert.Equal(t, g.Verdict(deadly).Crashes, 3)
		}
		// Others end it within the delay.
		refuse()
		g.Merge(parts.Suspect{Part: deadly, BeganAt: c.Now()})
		time.Sleep(3 * time.Second)
		puts, _ := store.counts()
		assert.Equal(t, puts, 0)
		// Others end it after it was written.
		later := c.Now()
		g.Merge(parts.Suspect{Part: deadly, Crashes: []parts.Crash{{ID: 4, SentAt: later + 1}, {ID: 5, SentAt: later + 1}}})
		time.Sleep(2 * time.Millisecond)
		ticket, _ := g.Acquire(ctx, parts.Prompt{Parts: []parts.ID{deadly}})
		assert.Assert(t, ticket != nil)
		ticket.Confirm(ctx)
		time.Sleep(time.Millisecond)
		ticket.End(&parts.Crash{ID: 6, SentAt: ticket.SentAt()})
		assert.Equal(t, g.Verdict(deadly).Crashes, 3)
		time.Sleep(3 * time.Second)
		_, stored := store.counts()
		assert.Equal(t, stored, 1)
		g.Merge(parts.Suspect{Part: deadly, BeganAt: c.Now() + clock.Time(1)})
		time.Sleep(time.Second)
		_, stored = store.counts()
		assert.Equal(t, stored, 0)
		cancel()
		assert.NilError(t, <-done)
	})
}

// eraRevision returns a revision in an era.
func eraRevision(era epoch.Era, own int64) units.Revision {
	r, _ := epoch.Join(era, own)
	return r
}

// Guards against verdicts that are lost with a store that comes back from an older copy, so that the part ends upstreams again
// after a restart of all gateways, and against ones that come back although answers had ended them.
func TestVerdictsOutliveReturnOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := parts.NewGuard(bubbleClock{time.Now()}), &memoryVerdicts{current: map[parts.ID]parts.Verdict{}}
		k := parts.NewKeeper(g, store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- k.Run(ctx) }()
		// Another gateway, which has ended since, wrote both.
		lost, ended := parts.Verdict{Part: 7, Crashes: 2}, parts.Verdict{Part: 8, Crashes: 2}
		k.Stored(lost)
		k.Stored(ended)
		g.Merge(parts.Suspect{Part: ended.Part, BeganAt: bubbleClock{time.Now()}.Now() + 1})
		k.Removed(ended.Part, eraRevision(1, 60))
		synctest.Wait()
		store.current[ended.Part] = ended
		k.Returned(ended, eraRevision(2, 51))
		k.StoreReturned(map[parts.ID]bool{ended.Part: true}, false)
		assert.Equal(t, g.Verdict(ended.Part).Crashes, 0)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		_, isLost := store.current[lost.Part]
		_, isEnded := store.current[ended.Part]
		assert.Assert(t, isLost && !isEnded, "%v", store.current)
		// One that is reached anew stays, although the store gives it a lower revision than the end of the one before.
		k.Removed(9, eraRevision(1, 60))
		store.current[9] = parts.Verdict{Part: 9, Crashes: 2}
		k.Stored(store.current[9])
		assert.Equal(t, g.Verdict(9).Crashes, 2)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(store.current), 2, "%v", store.current)
		cancel()
		assert.NilError(t, <-done)
	})
}
