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
	maxEvents         = 8192
	eventPollInterval = 10 * time.Millisecond
	eventStored       = "stored"
	eventRemoved      = "removed"
	eventCleared      = "cleared"
)

// PrefixEvent is one event of GET /events. A gap in Sequence means that events were lost.
type PrefixEvent struct {
	Sequence int64 `json:"sequence"`
	// Op is "stored", "removed" or "cleared".
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

// prefixCache is an LRU cache of prompt blocks; s.mu guards it.
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
		maxBlocks: o.PrefixCacheBlocks, lossProbability: o.EventLossProbability,
		blocks: make(map[string]*list.Element), lru: list.New(),
	}
}

// store adds the blocks of the prompt and returns how many of its leading blocks were cached
// before.
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

// emit records the event. A lost event uses a sequence number too.
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

// eventsAfter returns the events with a higher sequence number that were emitted up to the
// cutoff.
func (c *prefixCache) eventsAfter(sequence int64, cutoff clock.Time) []PrefixEvent {
	var events []PrefixEvent
	first, _ := slices.BinarySearchFunc(c.events, sequence+1, func(e timedEvent, n int64) int {
		return cmp.Compare(e.Sequence, n)
	})
	for _, e := range c.events[first:] {
		if e.emittedAt.After(cutoff) {
			break
		}
		events = append(events, e.PrefixEvent)
	}
	return events
}

// serveEvents streams the events whose sequence numbers are above the query parameter "after",
// by default all.
func (s *Server) serveEvents(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0, for all events, if it isn't a number
	w.Header().Set("Content-Type", "text/event-stream")
	t := time.NewTicker(eventPollInterval)
	defer t.Stop()
	rc := http.NewResponseController(w)
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
		if rc.Flush() != nil {
			return
		}
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}
