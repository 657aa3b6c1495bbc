package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Replica is a stand-in of a replica of a plain service, after PROTOCOL.md, "Replicas". It keeps its address over restarts
// and has a new id each time.
type Replica struct {
	world   *World
	service string
	zone    string
	name    string
	slots   int
	queue   int
	work    time.Duration
	// deadly is the begin of the path of requests that crash each replica that begins to run them; empty for none.
	deadly string
	// downFor is how long the replica is down after such a crash.
	downFor time.Duration
	address string

	mu       sync.Mutex
	lives    int
	id       string
	born     int64
	up       bool
	coldEnds time.Time
	running  int
	listener net.Listener
	conns    map[net.Conn]bool
}

// heartbeat is the pause between two reports of a replica to the store; an entry ends after three of them.
const heartbeat = 1200 * time.Millisecond

// Start starts the replica, cold for the time. The entry is in the store when it returns.
func (p *Replica) Start(cold time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", cmpOr(p.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	p.lives++
	p.id = fmt.Sprintf("i-%s-%d", p.name, p.lives)
	p.born, p.up, p.running = time.Now().UnixMilli(), true, 0
	p.coldEnds = time.Now().Add(cold)
	p.listener, p.conns = l, map[net.Conn]bool{}
	go p.accept(l, p.conns, p.id, p.lives)
	p.report()
	go p.beat(p.lives)
	return nil
}

// TurnCold makes the replica cold again for the time, and reports it at once.
func (p *Replica) TurnCold(cold time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldEnds = time.Now().Add(cold)
	p.report()
	go p.beat(p.lives)
}

// beat reports each heartbeat while the entry changes: as long as the replica is cold.
func (p *Replica) beat(life int) {
	for {
		time.Sleep(heartbeat)
		p.mu.Lock()
		if p.lives != life || !p.up {
			p.mu.Unlock()
			return
		}
		warm := !time.Now().Before(p.coldEnds)
		p.report()
		p.mu.Unlock()
		if warm {
			return
		}
	}
}

func (p *Replica) report() {
	p.world.store.Put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready",
		"coldLeftMs": max(time.Until(p.coldEnds).Milliseconds(), 0), "born": p.born, "seq": 4,
	})
}

// Leave removes the replica's entry, as for one that leaves and never says so, and returns its id. The replica serves on until Stop.
func (p *Replica) Leave() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.store.Delete("servers/" + p.id)
	p.world.log("removed", p.id, "")
	return p.id
}

// Stop ends a replica that has left.
func (p *Replica) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.up = false
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

// Crash ends the replica at once. Its entry goes after three heartbeats.
func (p *Replica) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return
	}
	p.up = false
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	id := p.id
	time.AfterFunc(3*heartbeat, func() { p.world.store.Delete("servers/" + id) })
	p.world.log("crash", id, "")
}

func (p *Replica) accept(l net.Listener, conns map[net.Conn]bool, id string, life int) {
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, id, life) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			p.mu.Lock()
			defer p.mu.Unlock()
			switch s {
			case http.StateNew:
				conns[c] = true
				if p.lives != life || !p.up {
					_ = c.Close()
				}
			case http.StateClosed:
				delete(conns, c)
			}
		},
		ErrorLog: quiet,
	}
	_ = server.Serve(l)
}

func (p *Replica) serve(w http.ResponseWriter, r *http.Request, id string, life int) {
	switch r.URL.Path {
	case "/report":
		answer(w, 200, map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "seq": 0, "queueDepth": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 0, "handles": 0})
		return
	case "/health":
		w.Header().Set("Instance-Id", id)
		return
	}
	request := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", request)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != id {
		h.Set("Instance-Id", id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	p.mu.Lock()
	if p.lives != life || !p.up {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if p.running >= p.slots+p.queue {
		p.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(503)
		p.world.log("shed", request, id)
		return
	}
	p.running++
	waits := max(p.running-p.slots, 0)
	p.mu.Unlock()
	p.world.arrived(request, id)
	if p.deadly != "" && strings.HasPrefix(r.URL.Path, p.deadly) {
		time.Sleep(p.work)
		p.Crash()
		time.AfterFunc(p.downFor, func() {
			if err := p.Start(0); err != nil {
				p.world.log("error", p.name, err.Error())
			}
		})
		panic(http.ErrAbortHandler)
	}
	time.Sleep(p.work + time.Duration(waits)*p.work/time.Duration(p.slots))
	p.mu.Lock()
	p.running--
	running := p.running
	p.mu.Unlock()
	h.Set("Server-Stamp", "stamp."+request)
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, p.slots), max(running-p.slots, 0), p.slots))
	body := strings.Repeat("x", 800)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}
