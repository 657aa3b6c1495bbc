package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store, after PROTOCOL.md, "The platform's metadata store".
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]*lease
	last     int64
	changed  chan struct{}
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

const (
	// storeDelay is the time that an answer of the store takes.
	storeDelay = 4 * time.Millisecond
	pageItems  = 500
)

// NewStore starts a store on a free port of the IP address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, revision: 10, items: map[string]item{}, leases: map[int64]*lease{}, last: 1000, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.get)
	m.HandleFunc("GET /kv-range", s.page)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.txn)
	m.HandleFunc("POST /kv-lease", s.grant)
	m.HandleFunc("POST /kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.endCall)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// Address is the store's IP:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Put writes a key for the operator or a replica.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	s.wake()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{key, value, s.revision, s.revision, lease}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Revision: s.revision}, true})
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, 404, map[string]any{"storeRevision": s.revision})
		return
	}
	answer(w, 200, struct {
		item
		StoreRevision int64 `json:"storeRevision"`
	}{i, s.revision})
}

func (s *Store) page(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	list := []item{}
	for _, k := range keys {
		list = append(list, s.items[k])
	}
	answer(w, 200, map[string]any{"items": list, "morePages": more, "storeRevision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(storeDelay)
	for {
		s.mu.Lock()
		list := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("pathPrefix")) {
				list = append(list, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			answer(w, 200, map[string]any{"events": list, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": list, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t struct {
		Expected []struct {
			Key      string
			Revision int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current})
		return
	}
	for _, e := range t.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			answer(w, 403, map[string]any{})
			return
		}
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			answer(w, 404, map[string]any{})
			return
		}
	}
	// All changes of a transaction have one revision.
	s.revision++
	for _, e := range t.Writes {
		i := item{e.Key, e.Value, s.revision, s.revision, e.Lease}
		if old, ok := s.items[e.Key]; ok {
			i.CreateRevision = old.CreateRevision
		}
		s.items[e.Key] = i
		s.history = append(s.history, event{item: i})
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, event{item{Key: k, Revision: s.revision}, true})
		}
	}
	s.wake()
	answer(w, 200, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	var t struct{ TTLMs int64 }
	if json.NewDecoder(r.Body).Decode(&t) != nil || t.TTLMs < 1000 || t.TTLMs > 600_000 {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(t.TTLMs) * time.Millisecond
	s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, 200, map[string]any{"lease": s.last, "ttlMs": t.TTLMs})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, 404, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Store) endCall(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, 404, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, 200, map[string]any{})
}
