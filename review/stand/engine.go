package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine is a stand-in of a replica of a model service, after PROTOCOL.md, "Requests" and "Model placement". It holds one model at a time.
type Engine struct {
	world   *World
	service string
	zone    string
	id      string
	model   string
	loadFor time.Duration
	// events is the number of events of a stream, one each eventPause. A request that is preempted makes none for pauseFor after half of them.
	events     int
	eventPause time.Duration
	pauseFor   time.Duration

	address string
	born    int64

	mu      sync.Mutex
	preempt bool
	seq     int64
	busy    bool
	running int
}

// Start starts the replica; its entry is in the store when it returns.
func (e *Engine) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born = l.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ErrorLog: quiet}
	go func() { _ = server.Serve(l) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report()
	return nil
}

// Preempt makes the replica preempt the requests that reach the middle of their streams, or ends that.
func (e *Engine) Preempt(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preempt = on
}

func (e *Engine) models() []any {
	if e.model == "" {
		return []any{}
	}
	return []any{map[string]any{"name": e.model, "version": 1, "adapters": []string{}}}
}

func (e *Engine) report() {
	e.world.store.Put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
		"born": e.born, "stage": "mixed", "models": e.models(), "seq": 4,
	})
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		answer(w, 200, map[string]any{
			"stage": "mixed", "models": e.models(), "busy": e.busy, "seq": e.seq, "queueDepth": 0, "inFlight": e.running, "kvUsed": 0, "kvTotal": 127918, "handles": 0,
		})
	case "/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter string
		Expected           *int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.log("order", e.id, o.Op+" "+o.Model)
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.seq:
		w.WriteHeader(409)
	case o.Adapter != "":
		w.WriteHeader(400)
	case o.Op == "model_load" && o.Model == e.model || o.Op == "model_unload" && o.Model != e.model:
		w.WriteHeader(200)
	case o.Op == "model_load" && e.model != "":
		e.world.log("overcommitted", e.id, o.Model)
		w.WriteHeader(400)
	default:
		e.seq++
		e.busy = true
		time.AfterFunc(e.loadFor, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy, e.model = false, o.Model
			if o.Op == "model_unload" {
				e.model = ""
			}
			e.report()
		})
		w.WriteHeader(202)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", request)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	holds := e.model == r.Header.Get("Model")
	preempt := e.preempt
	if holds {
		e.running++
	}
	e.mu.Unlock()
	if !holds {
		h.Set("Instance-Id", e.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.world.arrived(request, e.id)
	h.Set("Server-Stamp", "stamp."+request)
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= e.events; i++ {
		pause := e.eventPause
		if preempt && i == e.events/2 && from == 0 {
			pause = e.pauseFor
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.world.log("cut", request, e.id+" after event "+strconv.Itoa(i-1))
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	e.world.log("ends", request, e.id)
}
