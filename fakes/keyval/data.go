package keyval

import (
	"maps"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// keyChange is one change of a key. previous and existed are the state before it, from which
// dataAt restores past revisions.
type keyChange struct {
	kv       keyValue
	deleted  bool
	previous keyValue
	existed  bool
}

// lease holds the keys that are deleted when it expires or is revoked.
type lease struct {
	ttl    clock.Span
	expiry clock.Time
	keys   map[string]struct{}
}

// The methods in this file need s.mu.

// The methods in this file require s.mu to be held.

// appendHistory records the change, compacts the history and wakes the watches.
func (s *Server) appendHistory(c keyChange) {
	s.history = append(s.history, c)
	// Old changes are dropped in large batches, because each deletion moves all later changes.
	if excess := len(s.history) - s.minHistory; excess > s.minHistory/4 {
		s.compacted = s.history[excess-1].kv.ModRevision
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the key and binds it to the lease; a leaseID of 0 means none.
func (s *Server) put(key string, value []byte, leaseID int64) {
	s.revision++
	previous, existed := s.data[key]
	kv := keyValue{
		Key: []byte(key), Value: value, CreateRevision: s.revision, ModRevision: s.revision, Version: 1, Lease: leaseID,
	}
	if existed {
		kv.CreateRevision = previous.CreateRevision
		kv.Version = previous.Version + 1
		s.unbindLease(previous)
	}
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.data[key] = kv
	s.appendHistory(keyChange{kv: kv, previous: previous, existed: existed})
}

func (s *Server) unbindLease(kv keyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// deleteRange deletes the keys in the range at one revision and returns their number.
func (s *Server) deleteRange(key, end string) int64 {
	keys := s.keysInRange(s.data, key, end)
	if len(keys) == 0 {
		return 0
	}
	s.revision++
	for _, k := range keys {
		previous := s.data[k]
		s.unbindLease(previous)
		delete(s.data, k)
		deletion := keyValue{Key: []byte(k), ModRevision: s.revision}
		s.appendHistory(keyChange{kv: deletion, deleted: true, previous: previous, existed: true})
	}
	return int64(len(keys))
}

// keysInRange returns the keys in the range [key, end), sorted. An empty end means the one
// key, and an end of one zero byte means no upper bound.
func (s *Server) keysInRange(data map[string]keyValue, key, end string) []string {
	if end == "" {
		if _, ok := data[key]; ok {
			return []string{key}
		}
		return nil
	}
	var keys []string
	for k := range data {
		if inRange(k, key, end) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	return keys
}

// inRange reports whether k is in the range [key, end), see keysInRange.
func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || k < end)
}

// dataAt returns the data at revision r, for which it reverts later changes. An r of 0 means
// the current revision. It returns false if r is compacted.
func (s *Server) dataAt(r units.Revision) (map[string]keyValue, bool) {
	if r == 0 || r >= s.revision {
		return s.data, true
	}
	if r < s.compacted {
		return nil, false
	}
	data := maps.Clone(s.data)
	for _, c := range slices.Backward(s.history) {
		if c.kv.ModRevision <= r {
			break
		}
		if c.existed {
			data[string(c.kv.Key)] = c.previous
		} else {
			delete(data, string(c.kv.Key))
		}
	}
	return data, true
}

// changesSince returns the changes of keys in the range at revision r and later.
func (s *Server) changesSince(r units.Revision, key, end string) []keyChange {
	i, _ := slices.BinarySearchFunc(s.history, r, func(c keyChange, r units.Revision) int {
		return int(c.kv.ModRevision - r)
	})
	var found []keyChange
	for _, c := range s.history[i:] {
		if inRange(string(c.kv.Key), key, end) {
			found = append(found, c)
		}
	}
	return found
}

// deleteLease deletes the lease and its keys. It returns false if the lease doesn't exist.
func (s *Server) deleteLease(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	delete(s.leases, id)
	for k := range l.keys {
		s.deleteRange(k, "")
	}
	return true
}

// expireDueLeases deletes the leases whose TTL is over.
func (s *Server) expireDueLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiry) {
			s.deleteLease(id)
		}
	}
}
