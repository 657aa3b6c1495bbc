//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is one lifetime of a replica.
type replica struct {
	w             *world
	id            string
	service, zone string
	born          int64
	slots         int
	listener      net.Listener
	server        *http.Server
	// handle answers a request that the replica runs.
	handle func(p *replica, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	models  map[string][]string
	orders  int
	fence   int64
	busy    bool
	running map[string]int
	crashed bool
}

// addReplica starts a replica that has models in memory and describes it in the store.
func (w *world) addReplica(id, service, zone string, slots int, models []string, handle func(p *replica, w http.ResponseWriter, r *http.Request)) *replica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	p := &replica{
		w: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, listener: l, handle: handle,
		models: map[string][]string{}, running: map[string]int{},
	}
	for _, m := range models {
		p.models[m] = []string{}
	}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(l) }()
	w.replicas = append(w.replicas, p)
	p.describe("ready")
	return p
}

func (p *replica) key() string { return "servers/" + p.id }

// resident returns the models in memory, in the form of descriptions and reports. The caller holds p.mu.
func (p *replica) resident() []map[string]any {
	list := []map[string]any{}
	for m, adapters := range p.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return list
}

func (p *replica) describe(state string) {
	p.mu.Lock()
	models := p.resident()
	p.mu.Unlock()
	p.w.store.Put(p.key(), map[string]any{
		"service": p.service, "address": p.listener.Addr().String(), "zone": p.zone, "version": 1, "slots": p.slots, "state": state,
		"coldLeftMs": 0, "born": p.born, "seq": 1, "models": models, "atHand": map[string]any{"inMemory": []string{}, "onDisk": []string{}},
	})
}

// crash ends the process: its port and its connections are closed, and it sends nothing more. Its entry lapses after three
// intervals of silence.
func (p *replica) crash() {
	p.mu.Lock()
	was := p.crashed
	p.crashed = true
	p.mu.Unlock()
	if was {
		return
	}
	_ = p.server.Close()
	key, w := p.key(), p.w
	time.AfterFunc(3*heartbeat, func() {
		select {
		case <-w.stopped:
		default:
			w.store.Delete(key)
		}
	})
}

func (p *replica) isCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// ServeHTTP handles orders, reports, liveness checks and requests.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Instance-Id", p.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/order":
		p.order(w, r)
		return
	case "/report":
		p.mu.Lock()
		data, _ := json.Marshal(map[string]any{
			"stage": "mixed", "models": p.resident(), "busy": p.busy, "seq": p.orders, "queueDepth": 0, "inFlight": len(p.running), "kvUsed": 0,
			"kvTotal": 127918, "handles": 0,
		})
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
		return
	case "/health":
		return
	}
	if m := r.Header.Get("Model"); m != "" {
		name, _, _ := strings.Cut(m, "/")
		p.mu.Lock()
		_, ok := p.models[name]
		p.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	p.mu.Lock()
	full := len(p.running) >= 4*p.slots
	if !full {
		p.running[id]++
	}
	p.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		p.mu.Lock()
		delete(p.running, id)
		p.mu.Unlock()
	}()
	p.handle(p, w, r)
}

// order executes an order to load or unload a model, after the time that the load takes.
func (p *replica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Adapter string
		Holder             string
		Expected           *int
		FencingToken       int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case o.FencingToken < p.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case p.busy && o.Adapter == "", o.Expected != nil && *o.Expected != p.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.fence = o.FencingToken
	p.orders++
	p.w.record.logf("order at %s by %s: %s %s %s", p.id, o.Holder, o.Op, short(o.Model), o.Adapter)
	if o.Adapter == "" {
		p.busy = true
		time.AfterFunc(orderTime[o.Op], func() { p.finish(o.Op, o.Model) })
	}
	w.WriteHeader(http.StatusAccepted)
}

// orderTime is how long the orders for a model take.
var orderTime = map[string]time.Duration{"model_load": 3800 * time.Millisecond, "model_unload": 50 * time.Millisecond}

// finish ends an order for a model.
func (p *replica) finish(op, m string) {
	p.mu.Lock()
	p.busy = false
	if op == "model_unload" {
		delete(p.models, m)
	} else {
		p.models[m] = []string{}
	}
	crashed := p.crashed
	p.mu.Unlock()
	if !crashed {
		p.describe("ready")
	}
}

// stamp sets the receipt of a run.
func (p *replica) stamp(w http.ResponseWriter) {
	w.Header().Set("Server-Stamp", "stamp-"+w.Header().Get("Request-Id"))
}

// respond answers with a whole body.
func (p *replica) respond(w http.ResponseWriter, status int, body string) {
	p.stamp(w)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body))
}

// stream answers with events after the one that the caller has. It returns false if the connection ended.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, events int, pause time.Duration) bool {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	p.stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for i := first + 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil || c.Flush() != nil {
			return false
		}
	}
	return true
}

func short(s string) string {
	if len(s) > 24 {
		return s[:24] + "..."
	}
	return s
}
