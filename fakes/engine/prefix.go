package engine

import (
	"cmp"
	"container/list"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	maxEvents    = 8192
	eventPoll    = 10 * time.Millisecond
	eventStored  = "stored"
	eventRemoved = "removed"
	eventCleared = "cleared"
)

// PrefixEvent is one event of GET /events. A jump of Sequence shows a gap.
type PrefixEvent struct {
	Sequence int64 `json:"sequence"`
	// Op is stored, removed or cleared.
	Op     string        `json:"op"`
	Model  units.ModelID `json:"model,omitempty"`
	Blocks []string      `json:"blocks,omitempty"`
}

type timedEvent struct {
	PrefixEvent
	emittedAt clock.Time
}

type cachedBlock struct {
	id     string
	target units.ModelID
}

// prefixCache holds prompt blocks and drops the least recently used; it needs
// s.mu.
type prefixCache struct {
	maxBlocks       int
	lossProbability float64
	blocks          map[string]*list.Element
	lru             *list.List
	events          []timedEvent
	lastSequence    int64
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		maxBlocks: o.PrefixCacheBlocks, lossProbability: o.EventLossProbability, blocks: make(map[string]*list.Element), lru: list.New(),
	}
}

// store stores the blocks of the prompt and returns how many of its first blocks were
// there before.
func (c *prefixCache) store(target units.ModelID, prompt string, now clock.Time) int {
	hits := 0
	var stored []string
	for _, id := range PrefixBlocks(target, prompt) {
		if e := c.blocks[id]; e != nil {
			c.lru.MoveToFront(e)
			if len(stored) == 0 {
				hits++
			}
			continue
		}
		c.blocks[id] = c.lru.PushFront(cachedBlock{id, target})
		stored = append(stored, id)
	}
	if len(stored) > 0 {
		c.emit(PrefixEvent{Op: eventStored, Model: target, Blocks: stored}, now)
	}
	for c.lru.Len() > c.maxBlocks {
		b, _ := c.lru.Remove(c.lru.Back()).(cachedBlock)
		delete(c.blocks, b.id)
		c.emit(PrefixEvent{Op: eventRemoved, Model: b.target, Blocks: []string{b.id}}, now)
	}
	return hits
}

func (c *prefixCache) clear(now clock.Time) {
	clear(c.blocks)
	c.lru.Init()
	c.emit(PrefixEvent{Op: eventCleared}, now)
}

// emit records the event; a lost one takes a sequence number all the same.
func (c *prefixCache) emit(e PrefixEvent, now clock.Time) {
	c.lastSequence++
	if rand.Float64() < c.lossProbability {
		return
	}
	e.Sequence = c.lastSequence
	c.events = append(c.events, timedEvent{e, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events with a higher number that happened before the limit.
func (c *prefixCache) eventsAfter(sequence int64, cutoff clock.Time) []PrefixEvent {
	var found []PrefixEvent
	first, _ := slices.BinarySearchFunc(c.events, sequence+1, func(e timedEvent, n int64) int {
		return cmp.Compare(e.Sequence, n)
	})
	for _, e := range c.events[first:] {
		if e.emittedAt.After(cutoff) {
			break
		}
		found = append(found, e.PrefixEvent)
	}
	return found
}

// serveEvents streams the events after the number in the query parameter "after".
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // without a number: all
	w.Header().Set("Content-Type", "text/event-stream")
	t := time.NewTicker(eventPoll)
	defer t.Stop()
	out := http.NewResponseController(w)
	for {
		s.mu.Lock()
		events := s.prefix.eventsAfter(last, clock.System{}.Now().Add(-s.options.EventLag))
		s.mu.Unlock()
		for _, e := range events {
			b, err := json.Marshal(e)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "data: %s\n\n", b); err != nil {
				return
			}
			last = e.Sequence
		}
		if out.Flush() != nil {
			return
		}
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}
