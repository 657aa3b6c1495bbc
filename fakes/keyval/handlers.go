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
	msgCompacted = "etcdserver: mvcc: required revision has been compacted"
	msgNoLease   = "etcdserver: requested lease not found"
	msgTooLarge  = "etcdserver: request is too large"
	msgNoKey     = "etcdserver: key is not provided"
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

// callClass is the class of a call. Reads have a rate limit of their own, and the faults
// LoseResponses and LoseWrites apply to writeCall only.
type callClass int

const (
	readCall callClass = iota
	writeCall
	leaseCall
)

// handleCall serves one call other than a watch. It calls do while s.mu is held, and writes
// the returned response or error.
func handleCall[T any](s *Server, w http.ResponseWriter, r *http.Request, counter *int64, class callClass, do func(*T) (any, *callError)) {
	var q T
	if !serve.ReadJSON(w, r, &q) || !s.admit(w, counter, class) {
		return
	}
	if class == writeCall && s.faults.Consume(loseWrites) {
		serve.Abort()
	}
	s.mu.Lock()
	s.expireDueLeases()
	v, e := do(&q)
	s.mu.Unlock()
	if class == writeCall && s.faults.Consume(loseResponses) {
		serve.Abort()
	}
	if e != nil {
		writeError(w, e.status, e.code, e.message)
		return
	}
	serve.WriteJSON(w, http.StatusOK, v)
}

// callError is an error response: an HTTP status, a gRPC code and a message.
type callError struct {
	status  int
	code    int
	message string
}

func invalidArgument(text string) *callError {
	return &callError{status: http.StatusBadRequest, code: codeInvalid, message: text}
}

func (s *Server) header() header { return header{Revision: s.revision} }

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Range, readCall, func(q *rangeRequest) (any, *callError) {
		v, e := s.doRange(q)
		return v, e
	})
}

func (s *Server) doRange(q *rangeRequest) (*rangeResponse, *callError) {
	if len(q.Key) == 0 {
		return nil, invalidArgument(msgNoKey)
	}
	data, ok := s.dataAt(q.Revision)
	if !ok {
		return nil, &callError{status: http.StatusBadRequest, code: codeOutOfRange, message: msgCompacted}
	}
	keys := s.keysInRange(data, string(q.Key), string(q.RangeEnd))
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

func (s *Server) checkPut(q *putRequest) *callError {
	switch {
	case len(q.Key) == 0:
		return invalidArgument(msgNoKey)
	case len(q.Value) > maxValueBytes:
		return invalidArgument(msgTooLarge)
	case q.Lease != 0 && s.leases[q.Lease] == nil:
		return &callError{status: http.StatusNotFound, code: codeNotFound, message: msgNoLease}
	}
	return nil
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Put, writeCall, func(q *putRequest) (any, *callError) {
		if e := s.checkPut(q); e != nil {
			return nil, e
		}
		s.put(string(q.Key), q.Value, q.Lease)
		return putResponse{Header: s.header()}, nil
	})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Delete, writeCall, func(q *deleteRequest) (any, *callError) {
		n := s.deleteRange(string(q.Key), string(q.RangeEnd))
		return deleteResponse{Header: s.header(), Deleted: n}, nil
	})
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Txn, writeCall, func(q *txnRequest) (any, *callError) {
		succeeded := true
		for _, c := range q.Compare {
			ok, e := s.evaluate(c)
			if e != nil {
				return nil, e
			}
			succeeded = succeeded && ok
		}
		operations := q.Success
		if !succeeded {
			operations = q.Failure
		}
		for _, o := range operations {
			if o.Put == nil {
				continue
			}
			if e := s.checkPut(o.Put); e != nil {
				return nil, e
			}
		}
		resp := &txnResponse{Succeeded: succeeded}
		for _, o := range operations {
			a, e := s.execute(o)
			if e != nil {
				return nil, e
			}
			resp.Responses = append(resp.Responses, a)
		}
		resp.Header = s.header()
		return resp, nil
	})
}

// evaluate reports whether the comparison holds. Only equality is implemented, as package
// store uses no other operator.
func (s *Server) evaluate(c compare) (bool, *callError) {
	if c.Result != "EQUAL" && c.Result != "" {
		return false, invalidArgument("unsupported comparison operator")
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
	return false, invalidArgument("unsupported comparison target")
}

// execute runs one operation of a transaction.
func (s *Server) execute(o operation) (operationResponse, *callError) {
	switch {
	case o.Put != nil:
		s.put(string(o.Put.Key), o.Put.Value, o.Put.Lease)
		return operationResponse{Put: &putResponse{Header: s.header()}}, nil
	case o.Delete != nil:
		n := s.deleteRange(string(o.Delete.Key), string(o.Delete.RangeEnd))
		return operationResponse{Delete: &deleteResponse{Header: s.header(), Deleted: n}}, nil
	case o.Range != nil:
		v, e := s.doRange(o.Range)
		return operationResponse{Range: v}, e
	}
	return operationResponse{}, invalidArgument("empty operation")
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Grant, leaseCall, func(q *leaseRequest) (any, *callError) {
		if q.TTL <= 0 {
			return nil, invalidArgument("etcdserver: too small lease TTL")
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
	handleCall(s, w, r, &s.calls.KeepAlive, leaseCall, func(q *leaseRequest) (any, *callError) {
		v := leaseResponse{Header: s.header(), ID: q.ID}
		if l := s.leases[q.ID]; l != nil {
			l.expiry = s.clock.Now().Add(l.ttl)
			v.TTL = int64(l.ttl / clock.Second)
		}
		return renewResponse{Result: v}, nil
	})
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	handleCall(s, w, r, &s.calls.Revoke, leaseCall, func(q *leaseRequest) (any, *callError) {
		if !s.deleteLease(q.ID) {
			return nil, &callError{status: http.StatusNotFound, code: codeNotFound, message: msgNoLease}
		}
		return putResponse{Header: s.header()}, nil
	})
}

// expireLeases deletes expired leases at intervals, so that they expire without calls too.
func (s *Server) expireLeases(ctx context.Context) {
	t := time.NewTicker(leaseCheckInterval.Duration())
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.mu.Lock()
			s.expireDueLeases()
			s.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q watchRequest
	if !serve.ReadJSON(w, r, &q) || !s.admit(w, &s.calls.Watch, readCall) {
		return
	}
	key, end := string(q.Create.Key), string(q.Create.RangeEnd)
	s.mu.Lock()
	next, outage, respHeader := q.Create.StartRevision, s.watchOutage, s.header()
	if next == 0 {
		next = s.revision + 1
	}
	s.mu.Unlock()
	e := json.NewEncoder(w)
	if !send(w, e, watchResult{Header: respHeader, Created: true}) {
		return
	}
	for {
		m, current, changed := s.pollEvents(next, key, end)
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
		next = current + 1
		select {
		case <-changed:
		case <-outage:
			serve.Abort()
		case <-r.Context().Done():
			return
		}
	}
}

// pollEvents returns the events from revision next on, the current revision, and a channel
// that is closed at the next change. The result is canceled if next is compacted.
func (s *Server) pollEvents(next units.Revision, key, end string) (watchResult, units.Revision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := watchResult{Header: s.header()}
	if next <= s.compacted {
		m.Canceled = true
		m.CompactRevision = s.compacted + 1
		return m, s.revision, s.changed
	}
	for _, c := range s.changesSince(next, key, end) {
		v := watchEvent{Kv: c.kv}
		if c.deleted {
			v.Type = "DELETE"
		}
		m.Events = append(m.Events, v)
	}
	return m, s.revision, s.changed
}

// sendEvents sends the events and returns the next revision to watch, or 0 if the client has
// disconnected.
func (s *Server) sendEvents(w http.ResponseWriter, e *json.Encoder, m watchResult) units.Revision {
	if d := s.faults.Get().WatchDelayMillis; d > 0 {
		time.Sleep(d.Duration())
	}
	if !send(w, e, m) {
		return 0
	}
	if s.faults.Consume(cutWatches) {
		serve.Abort()
	}
	return m.Events[len(m.Events)-1].Kv.ModRevision + 1
}

// send writes one watch message and flushes it. It returns false if that fails.
func send(w http.ResponseWriter, e *json.Encoder, m watchResult) bool {
	if err := e.Encode(watchResponse{Result: m}); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
