package keyval

import (
	"maps"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// change is one change of a key, with what is needed to undo it.
type change struct {
	kv      keyValue
	deleted bool
	before  keyValue
	existed bool
}

type lease struct {
	ttl    clock.Span
	expiry clock.Time
	keys   map[string]struct{}
}

// The methods in this file need s.mu.

func (s *Server) record(c change) {
	s.log = append(s.log, c)
	// Changes are dropped in large pieces, since each drop moves the rest.
	if drop := len(s.log) - s.keep; drop > s.keep/4 {
		s.compacted = s.log[drop-1].kv.ModRevision
		s.log = slices.Delete(s.log, 0, drop)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) put(key string, value []byte, id int64) {
	s.revision++
	before, existed := s.data[key]
	kv := keyValue{
		Key: []byte(key), Value: value, CreateRevision: s.revision, ModRevision: s.revision, Version: 1, Lease: id,
	}
	if existed {
		kv.CreateRevision = before.CreateRevision
		kv.Version = before.Version + 1
		s.unbind(before)
	}
	if l := s.leases[id]; l != nil {
		l.keys[key] = struct{}{}
	}
	s.data[key] = kv
	s.record(change{kv: kv, before: before, existed: existed})
}

func (s *Server) unbind(kv keyValue) {
	if l := s.leases[kv.Lease]; l != nil {
		delete(l.keys, string(kv.Key))
	}
}

// remove deletes the keys of the range at one revision.
func (s *Server) remove(key, end string) int64 {
	keys := s.keys(s.data, key, end)
	if len(keys) == 0 {
		return 0
	}
	s.revision++
	for _, k := range keys {
		before := s.data[k]
		s.unbind(before)
		delete(s.data, k)
		gone := keyValue{Key: []byte(k), ModRevision: s.revision}
		s.record(change{kv: gone, deleted: true, before: before, existed: true})
	}
	return int64(len(keys))
}

// keys returns the sorted keys of the range; an empty end means one key, and an
// end of one zero byte means no end.
func (s *Server) keys(data map[string]keyValue, key, end string) []string {
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

func inRange(k, key, end string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || k < end)
}

// at returns the data as of the revision by undoing later changes. It returns
// false when that revision is compacted.
func (s *Server) at(r units.Revision) (map[string]keyValue, bool) {
	if r == 0 || r >= s.revision {
		return s.data, true
	}
	if r < s.compacted {
		return nil, false
	}
	data := maps.Clone(s.data)
	for _, c := range slices.Backward(s.log) {
		if c.kv.ModRevision <= r {
			break
		}
		if c.existed {
			data[string(c.kv.Key)] = c.before
		} else {
			delete(data, string(c.kv.Key))
		}
	}
	return data, true
}

// since returns the changes of the range from the revision on, at most one batch.
func (s *Server) since(r units.Revision, key, end string) []change {
	i, _ := slices.BinarySearchFunc(s.log, r, func(c change, r units.Revision) int {
		return int(c.kv.ModRevision - r)
	})
	var found []change
	for _, c := range s.log[i:] {
		if inRange(string(c.kv.Key), key, end) {
			found = append(found, c)
		}
	}
	return found
}

func (s *Server) drop(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	delete(s.leases, id)
	for k := range l.keys {
		s.remove(k, "")
	}
	return true
}

// lapseNow ends the leases whose time is over.
func (s *Server) lapseNow() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiry) {
			s.drop(id)
		}
	}
}
