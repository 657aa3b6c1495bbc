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
	at clock.Time
}

type cachedBlock struct {
	id     string
	target units.ModelID
}

// prefixCache holds prompt blocks and drops the least recently used; it needs
// s.mu.
type prefixCache struct {
	limit  int
	gaps   float64
	blocks map[string]*list.Element
	recent *list.List
	events []timedEvent
	last   int64
}

func newPrefixCache(o Options) *prefixCache {
	return &prefixCache{
		limit: o.PrefixCacheBlocks, gaps: o.EventLossProbability, blocks: make(map[string]*list.Element), recent: list.New(),
	}
}

// use stores the blocks of the prompt and returns how many of its first blocks were
// there before.
func (c *prefixCache) use(target units.ModelID, prompt string, now clock.Time) int {
	hit := 0
	var stored []string
	for _, id := range PrefixBlocks(target, prompt) {
		if e := c.blocks[id]; e != nil {
			c.recent.MoveToFront(e)
			if len(stored) == 0 {
				hit++
			}
			continue
		}
		c.blocks[id] = c.recent.PushFront(cachedBlock{id, target})
		stored = append(stored, id)
	}
	if len(stored) > 0 {
		c.emit(PrefixEvent{Op: eventStored, Model: target, Blocks: stored}, now)
	}
	for c.recent.Len() > c.limit {
		b, _ := c.recent.Remove(c.recent.Back()).(cachedBlock)
		delete(c.blocks, b.id)
		c.emit(PrefixEvent{Op: eventRemoved, Model: b.target, Blocks: []string{b.id}}, now)
	}
	return hit
}

func (c *prefixCache) clear(now clock.Time) {
	clear(c.blocks)
	c.recent.Init()
	c.emit(PrefixEvent{Op: eventCleared}, now)
}

// emit records the event; a lost one takes a sequence number all the same.
func (c *prefixCache) emit(e PrefixEvent, now clock.Time) {
	c.last++
	if rand.Float64() < c.gaps {
		return
	}
	e.Sequence = c.last
	c.events = append(c.events, timedEvent{e, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the events with a higher number that happened before the limit.
func (c *prefixCache) after(sequence int64, limit clock.Time) []PrefixEvent {
	var found []PrefixEvent
	first, _ := slices.BinarySearchFunc(c.events, sequence+1, func(e timedEvent, n int64) int {
		return cmp.Compare(e.Sequence, n)
	})
	for _, e := range c.events[first:] {
		if e.at.After(limit) {
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
		events := s.prefix.after(last, clock.System{}.Now().Add(-s.options.EventLag))
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
