//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crowdTime = 95 * time.Second
	// crowdRate is the number of requests of the crowd in a second, over all gateways.
	crowdRate = 800
	// nameBytes is the length of the model's name, well within maxHeaderBytes.
	nameBytes = 15000
)

// memoryCase: a few callers, each within all limits and the tenant's quota, ask for models that don't exist, under long names.
func memoryCase(trouble bool, program string, r *record) bool {
	w := newWorld(trouble, program, r, config(7))
	defer w.close()
	engine := func(p *replica, rw http.ResponseWriter, q *http.Request) { p.stream(rw, q, 4, 10*time.Millisecond) }
	app := func(p *replica, rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		p.respond(rw, http.StatusOK, "status")
	}
	for i := range 2 {
		zone := []string{"praha-a", "praha-b"}[i]
		w.addReplica(fmt.Sprint("i-engine-", i), engines, zone, 64, []string{model}, engine)
		w.addReplica(fmt.Sprint("i-app-", i), apps, zone, 6, nil, app)
	}
	w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-b-1", "praha-b", true)
	w.awaitReady()
	time.Sleep(2 * time.Second)

	var sent, ordinary, served, exceeded atomic.Int64
	end := time.Now().Add(crowdTime)
	var group sync.WaitGroup
	group.Go(func() {
		for time.Now().Before(end) && exceeded.Load() < 1 {
			time.Sleep(time.Second / crowdRate)
			group.Go(func() { crowdRequest(w, r, sent.Add(1)) })
		}
	})
	group.Go(func() {
		for i := 0; time.Now().Before(end) && exceeded.Load() < 1; i++ {
			a := send(client, w.gateways[i%2], call{newID("status"), http.MethodGet, fmt.Sprint("/cuti104/", i), "", nil, 4 * time.Second})
			ordinary.Add(1)
			if a.status == http.StatusOK && a.whole {
				served.Add(1)
			} else {
				r.logf("an ordinary request at %s: %v", w.gateways[i%2].name, a)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	peak := make([]int, len(w.gateways))
	for next := time.Now(); time.Now().Before(end) && exceeded.Load() < 1; time.Sleep(50 * time.Millisecond) {
		for i, g := range w.gateways {
			now := g.residentKilobytes() >> 10
			peak[i] = max(peak[i], now)
			if now > memoryMegabytes {
				exceeded.Add(1)
				r.logf("%s: %d MB resident, more than memoryMb = %d: the platform kills the process", g.name, now, memoryMegabytes)
				g.signal(syscall.SIGKILL)
				time.Sleep(100 * time.Millisecond)
			}
		}
		if time.Now().After(next) {
			next = next.Add(5 * time.Second)
			r.logf("memory: %d MB and %d MB; %d requests of the crowd sent", w.gateways[0].residentKilobytes()>>10, w.gateways[1].residentKilobytes()>>10, sent.Load())
		}
	}
	group.Wait()
	r.logf("crowd: %d requests, %d a second at most; ordinary requests: %d of %d served; peak memory %d MB and %d MB", sent.Load(), crowdRate, served.Load(), ordinary.Load(), peak[0], peak[1])
	return exceeded.Load() > 0
}

// crowdRequest sends one request of the crowd. Without the disruption it names a model that exists, and is as long.
func crowdRequest(w *world, r *record, n int64) {
	name := strings.Repeat(fmt.Sprintf("%08x", rand.Uint32()), nameBytes/8)
	q := call{newID("crowd"), http.MethodPost, "/lohu930/a", "prompt", map[string]string{"Model": name, "Token-Counts": "20,10"}, 4 * time.Second}
	if !w.trouble {
		q.headers["Model"], q.headers["Note"] = model, name
	}
	a := send(keeping, w.gateways[rand.IntN(len(w.gateways))], q)
	if n <= 3 || n%2000 == 0 {
		r.logf("%s: POST with Model %s (%d bytes), Token-Counts 20,10: %v", q.id, short(q.headers["Model"]), len(q.headers["Model"]), a)
	}
}
