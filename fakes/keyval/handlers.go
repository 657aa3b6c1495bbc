package keyval

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

const (
	textCompacted = "etcdserver: mvcc: required revision has been compacted"
	textNoLease   = "etcdserver: requested lease not found"
	textTooLarge  = "etcdserver: request is too large"
	textNoKey     = "etcdserver: key is not provided"
)

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", s.serveRange)
	m.HandleFunc("POST /v3/kv/put", s.servePut)
	m.HandleFunc("POST /v3/kv/deleterange", s.serveDelete)
	m.HandleFunc("POST /v3/kv/txn", s.serveTxn)
	m.HandleFunc("POST /v3/lease/grant", s.serveGrant)
	m.HandleFunc("POST /v3/lease/keepalive", s.serveRenew)
	m.HandleFunc("POST /v3/lease/revoke", s.serveRevoke)
	m.HandleFunc("POST /v3/watch", s.serveWatch)
	m.HandleFunc("/fault", func(w http.ResponseWriter, r *http.Request) {
		s.faults.ServeHTTP(w, r)
		s.applyOutage()
	})
	m.HandleFunc("POST /fault/compact", func(http.ResponseWriter, *http.Request) { s.Compact() })
	m.HandleFunc("GET /fault/calls", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Calls())
	})
	return m
}

// kind is what the limits and faults tell apart.
type kind int

const (
	read kind = iota
	write
	leasing
)

// run handles one call other than a watch. The function do runs under the lock and
// answers through its result.
func run[T any](s *Server, w http.ResponseWriter, r *http.Request, count *int64, k kind, do func(*T) (any, *problem)) {
	var q T
	if !serve.ReadJSON(w, r, &q) || !s.admit(w, count, k) {
		return
	}
	if k == write && s.take(loseWrites) {
		serve.Abort()
	}
	s.mu.Lock()
	s.lapseNow()
	v, p := do(&q)
	s.mu.Unlock()
	if k == write && s.take(loseAnswers) {
		serve.Abort()
	}
	if p != nil {
		fail(w, p.status, p.code, p.text)
		return
	}
	serve.WriteJSON(w, http.StatusOK, v)
}

type problem struct {
	status int
	code   int
	text   string
}

func invalid(text string) *problem {
	return &problem{status: http.StatusBadRequest, code: codeInvalid, text: text}
}

func (s *Server) header() header { return header{Revision: s.revision} }

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Range, read, func(q *rangeRequest) (any, *problem) {
		v, p := s.doRange(q)
		return v, p
	})
}

func (s *Server) doRange(q *rangeRequest) (*rangeResponse, *problem) {
	if len(q.Key) == 0 {
		return nil, invalid(textNoKey)
	}
	data, ok := s.at(q.Revision)
	if !ok {
		return nil, &problem{status: http.StatusBadRequest, code: codeOutOfRange, text: textCompacted}
	}
	keys := s.keys(data, string(q.Key), string(q.RangeEnd))
	v := &rangeResponse{Header: s.header(), Count: int64(len(keys))}
	if q.Limit > 0 && int64(len(keys)) > q.Limit {
		keys = keys[:q.Limit]
		v.More = true
	}
	for _, k := range keys {
		kv := data[k]
		if q.KeysOnly {
			kv.Value = nil
		}
		v.Kvs = append(v.Kvs, kv)
	}
	return v, nil
}

func (s *Server) checkPut(q *putRequest) *problem {
	switch {
	case len(q.Key) == 0:
		return invalid(textNoKey)
	case len(q.Value) > maxValueBytes:
		return invalid(textTooLarge)
	case q.Lease != 0 && s.leases[q.Lease] == nil:
		return &problem{status: http.StatusNotFound, code: codeNotFound, text: textNoLease}
	}
	return nil
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Put, write, func(q *putRequest) (any, *problem) {
		if p := s.checkPut(q); p != nil {
			return nil, p
		}
		s.put(string(q.Key), q.Value, q.Lease)
		return putResponse{Header: s.header()}, nil
	})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Delete, write, func(q *deleteRequest) (any, *problem) {
		n := s.remove(string(q.Key), string(q.RangeEnd))
		return deleteResponse{Header: s.header(), Deleted: n}, nil
	})
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Txn, write, func(q *txnRequest) (any, *problem) {
		holds := true
		for _, c := range q.Compare {
			ok, p := s.holds(c)
			if p != nil {
				return nil, p
			}
			holds = holds && ok
		}
		operations := q.Success
		if !holds {
			operations = q.Failure
		}
		for _, o := range operations {
			if o.Put == nil {
				continue
			}
			if p := s.checkPut(o.Put); p != nil {
				return nil, p
			}
		}
		v := &txnResponse{Succeeded: holds}
		for _, o := range operations {
			a, p := s.operate(o)
			if p != nil {
				return nil, p
			}
			v.Responses = append(v.Responses, a)
		}
		v.Header = s.header()
		return v, nil
	})
}

// holds evaluates one comparison. Only equality is used by package store.
func (s *Server) holds(c compare) (bool, *problem) {
	if c.Result != "EQUAL" && c.Result != "" {
		return false, invalid("comparison not supported")
	}
	kv := s.data[string(c.Key)]
	switch c.Target {
	case "MOD":
		return kv.ModRevision == c.ModRevision, nil
	case "CREATE":
		return kv.CreateRevision == c.CreateRevision, nil
	case "VALUE":
		return bytes.Equal(kv.Value, c.Value), nil
	case "VERSION", "":
		return kv.Version == c.Version, nil
	}
	return false, invalid("target not supported")
}

func (s *Server) operate(o operation) (operationResponse, *problem) {
	switch {
	case o.Put != nil:
		s.put(string(o.Put.Key), o.Put.Value, o.Put.Lease)
		return operationResponse{Put: &putResponse{Header: s.header()}}, nil
	case o.Delete != nil:
		n := s.remove(string(o.Delete.Key), string(o.Delete.RangeEnd))
		return operationResponse{Delete: &deleteResponse{Header: s.header(), Deleted: n}}, nil
	case o.Range != nil:
		v, p := s.doRange(o.Range)
		return operationResponse{Range: v}, p
	}
	return operationResponse{}, invalid("empty operation")
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Grant, leasing, func(q *leaseRequest) (any, *problem) {
		if q.TTL <= 0 {
			return nil, invalid("etcdserver: too small lease TTL")
		}
		if q.ID == 0 {
			s.lastLease++
			q.ID = s.lastLease
		}
		ttl := clock.Span(q.TTL) * clock.Second
		s.leases[q.ID] = &lease{ttl: ttl, expiry: s.clock.Now().Add(ttl), keys: make(map[string]struct{})}
		return leaseResponse{Header: s.header(), ID: q.ID, TTL: q.TTL}, nil
	})
}

func (s *Server) serveRenew(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.KeepAlive, leasing, func(q *leaseRequest) (any, *problem) {
		v := leaseResponse{Header: s.header(), ID: q.ID}
		if l := s.leases[q.ID]; l != nil {
			l.expiry = s.clock.Now().Add(l.ttl)
			v.TTL = int64(l.ttl / clock.Second)
		}
		return renewResponse{Result: v}, nil
	})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	run(s, w, r, &s.calls.Revoke, leasing, func(q *leaseRequest) (any, *problem) {
		if !s.drop(q.ID) {
			return nil, &problem{status: http.StatusNotFound, code: codeNotFound, text: textNoLease}
		}
		return putResponse{Header: s.header()}, nil
	})
}

// lapse ends leases in time also without calls.
func (s *Server) lapse(ctx context.Context) {
	t := time.NewTicker(lapseInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.lapseNow()
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q watchRequest
	if !serve.ReadJSON(w, r, &q) || !s.admit(w, &s.calls.Watch, read) {
		return
	}
	key, end := string(q.Create.Key), string(q.Create.RangeEnd)
	s.mu.Lock()
	next, outage, head := q.Create.StartRevision, s.outage, s.header()
	if next == 0 {
		next = s.revision + 1
	}
	s.mu.Unlock()
	e := json.NewEncoder(w)
	if !send(w, e, watchResult{Header: head, Created: true}) {
		return
	}
	for {
		m, seen, changed := s.poll(next, key, end)
		if m.CompactRevision > 0 {
			send(w, e, m)
			return
		}
		if len(m.Events) > 0 {
			next = s.sendEvents(w, e, m)
			if next == 0 {
				return
			}
			continue
		}
		next = seen + 1
		select {
		case <-changed:
		case <-outage:
			serve.Abort()
		case <-r.Context().Done():
			return
		}
	}
}

// poll returns the events from the revision on, the current revision, and the
// channel that is closed at the next change.
func (s *Server) poll(next units.Revision, key, end string) (watchResult, units.Revision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := watchResult{Header: s.header()}
	if next <= s.compacted {
		m.Canceled = true
		m.CompactRevision = s.compacted + 1
		return m, s.revision, s.changed
	}
	for _, c := range s.since(next, key, end) {
		v := watchEvent{Kv: c.kv}
		if c.deleted {
			v.Type = "DELETE"
		}
		m.Events = append(m.Events, v)
	}
	return m, s.revision, s.changed
}

// sendEvents returns the revision to go on from, or 0 when the watch has ended.
func (s *Server) sendEvents(w http.ResponseWriter, e *json.Encoder, m watchResult) units.Revision {
	if d := s.faults.Get().WatchDelayMillis; d > 0 {
		time.Sleep(d.Duration())
	}
	if !send(w, e, m) {
		return 0
	}
	if s.take(cutWatches) {
		serve.Abort()
	}
	return m.Events[len(m.Events)-1].Kv.ModRevision + 1
}

func send(w http.ResponseWriter, e *json.Encoder, m watchResult) bool {
	if err := e.Encode(watchResponse{Result: m}); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
