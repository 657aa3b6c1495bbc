package budget

import (
	"container/list"

	"github.com/magnolialever/magnolialever/clock"
)

// unservedPart divides the limit on connections to give the number of those without an answer from which on they give way to
// each other, so that connections of callers that were served stay.
const unservedPart = 2

// closingPart divides the limit on connections to give the number of those that may be closing besides.
const closingPart = 8

// Progress is how far the request on a connection has come.
type Progress struct {
	// Incomplete is set if a part of a request has arrived and not all of it.
	Incomplete bool
	// Arriving is set if the first bytes of a request have arrived.
	Arriving bool
	// At is when bytes arrived last.
	At clock.Time
}

// Connections decides which connection of a listener gives way to a new one. It is not safe for concurrent use. K identifies a
// connection.
type Connections[K comparable] struct {
	limit int
	all   map[K]*connection[K]
	// closing is the number of connections of all that are being closed.
	closing int
	// unserved lists the connections that have carried no answer, in the order of their opening, idle those without a request
	// in progress, least recently used first.
	unserved, idle *list.List
}

type connection[K comparable] struct {
	key K
	// unserved and idle are the places in the lists; nil if it is in none.
	unserved, idle *list.Element
	closing        bool
}

// NewConnections returns an empty set of which so many may be open.
func NewConnections[K comparable](limit int) *Connections[K] {
	return &Connections[K]{limit: limit, all: map[K]*connection[K]{}, unserved: list.New(), idle: list.New()}
}

// Opened adds a connection.
func (s *Connections[K]) Opened(k K) {
	c := &connection[K]{key: k}
	c.unserved, c.idle = s.unserved.PushBack(c), s.idle.PushBack(c)
	s.all[k] = c
}

// Busy records that a request is in progress on the connection.
func (s *Connections[K]) Busy(k K) {
	if c := s.all[k]; c != nil {
		remove(s.idle, &c.idle)
	}
}

// Idle records that the connection has carried an answer and waits.
func (s *Connections[K]) Idle(k K) {
	c := s.all[k]
	if c == nil || c.closing {
		return
	}
	remove(s.unserved, &c.unserved)
	remove(s.idle, &c.idle)
	c.idle = s.idle.PushBack(c)
}

// Closing records that the connection is being closed. It counts no longer as open, but until Closed it is known.
func (s *Connections[K]) Closing(k K) {
	c := s.all[k]
	if c == nil || c.closing {
		return
	}
	c.closing = true
	s.closing++
	remove(s.unserved, &c.unserved)
	remove(s.idle, &c.idle)
}

// IsClosing reports whether Closing was called for the connection.
func (s *Connections[K]) IsClosing(k K) bool {
	c := s.all[k]
	return c != nil && c.closing
}

// Closed removes a connection.
func (s *Connections[K]) Closed(k K) {
	c := s.all[k]
	if c == nil {
		return
	}
	remove(s.unserved, &c.unserved)
	remove(s.idle, &c.idle)
	if c.closing {
		s.closing--
	}
	delete(s.all, k)
}

// Known returns the number of connections, those included that are being closed.
func (s *Connections[K]) Known() int { return len(s.all) }

// Full reports whether the limit is reached.
func (s *Connections[K]) Full() bool { return len(s.all)-s.closing >= s.limit }

// Overfull reports whether connections that are being closed, whose descriptors the system may still hold, take too many
// beyond the limit. Then a new connection has to wait.
func (s *Connections[K]) Overfull() bool { return len(s.all) >= s.limit+max(s.limit/closingPart, 1) }

// IdleOnes returns the connections without a request in progress, least recently used first.
func (s *Connections[K]) IdleOnes() []K {
	var keys []K
	for e := s.idle.Front(); e != nil; e = e.Next() {
		keys = append(keys, e.Value.(*connection[K]).key)
	}
	return keys
}

// IsUnserved reports whether the connection has carried no answer.
func (s *Connections[K]) IsUnserved(k K) bool {
	c := s.all[k]
	return c != nil && c.unserved != nil
}

// Victim returns the connection that gives way to a new one, and false if all have a request in progress that has arrived. In
// this order: if those without an answer are more than their part, the one of them that has stood still, or else that has
// been open, for longest; the one that has been idle for longest; the one whose request has stood still for longest.
// progress tells how far the request on a connection is.
func (s *Connections[K]) Victim(now clock.Time, progress func(k K) Progress) (K, bool) {
	if s.unserved.Len() > s.limit/unservedPart {
		if c := s.staleUnserved(now, progress); c != nil {
			return c.key, true
		}
	}
	for e := s.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection[K]); !progress(c.key).Arriving {
			return c.key, true
		}
	}
	var stalest *connection[K]
	var since clock.Time
	for _, c := range s.all {
		p := progress(c.key)
		if !c.closing && p.Incomplete && now.Sub(p.At) >= IdleSpan && (stalest == nil || p.At.Before(since)) {
			stalest, since = c, p.At
		}
	}
	if stalest == nil {
		var none K
		return none, false
	}
	return stalest.key, true
}

// staleUnserved returns the connection without an answer that gives way first; nil if the requests of all have arrived.
func (s *Connections[K]) staleUnserved(now clock.Time, progress func(k K) Progress) *connection[K] {
	var oldest *connection[K]
	for e := s.unserved.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection[K])
		p := progress(c.key)
		if !p.Incomplete && (c.idle == nil || p.Arriving) {
			continue
		}
		if now.Sub(p.At) >= IdleSpan {
			return c
		}
		if oldest == nil {
			oldest = c
		}
	}
	return oldest
}

// remove removes an element from its list, if it is in one.
func remove(l *list.List, e **list.Element) {
	if *e != nil {
		l.Remove(*e)
		*e = nil
	}
}
