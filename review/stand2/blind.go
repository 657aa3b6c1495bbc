//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// adapter is an adapter that no replica holds at the start.
	adapter = "a3"
	// oddPause is the time between two requests for the model with the odd name.
	oddPause = 2 * time.Second
	// oddName is the word of a Czech caller in ISO 8859-2, plainName the same word in ASCII. No configuration has such a model.
	oddName, plainName = "p\xf8epis", "prepis"
)

// blindCase: a caller asks now and then for a model that does not exist, under a name that is not UTF-8. Other callers of the
// same gateway use a route that was added, whose requests name an adapter.
func blindCase(trouble bool, program string, r *record) bool {
	first := config(7)
	w := newWorld(trouble, program, r, first)
	defer w.close()
	engine := func(p *replica, rw http.ResponseWriter, q *http.Request) { p.stream(rw, q, 6, 20*time.Millisecond) }
	for i := range 4 {
		w.addReplica(fmt.Sprint("i-engine-", i), engines, []string{"praha-a", "praha-b"}[i%2], 64, []string{model, rare}, engine)
	}
	w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-b-1", "praha-b", true)
	w.awaitReady()
	leader := ""
	await("a leader", func() bool { leader = string(w.store.Value("duties/orders")); return leader != "" })
	g := w.gateways[0]
	if g.name == leader {
		g = w.gateways[1]
	}
	r.logf("%s gives the orders; the callers are those of %s", leader, g.name)
	time.Sleep(3 * time.Second)

	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			name := plainName
			if trouble {
				name = oddName
			}
			q := call{newID("odd"), http.MethodPost, "/lohu930/a", "prompt", map[string]string{"Model": name, "Token-Counts": "800,60"}, 4 * time.Second}
			a := send(client, g, q)
			if i < 3 {
				r.logf("%s: Model %q: %v", q.id, name, a)
			}
			select {
			case <-end:
				return
			case <-time.After(oddPause):
			}
		}
	})
	time.Sleep(time.Second)
	w.store.Put("op/config", config(11, route("added", "/volo102/", "stream", engines, map[string]any{
		"timeoutMs": 3000, "targetLatencyMs": 500, "sticky": true, "resumable": true, "gapAimMs": 300,
	})))
	r.logf("configuration 11 is acknowledged: it adds the route /volo102/")
	// The bound on configurations, and the time in which all machines are in touch again.
	time.Sleep(configApply + contact)

	counts := map[string][2]int{}
	var mu sync.Mutex
	for i := range 100 {
		for _, path := range []string{"/lohu930/a", "/volo102/a"} {
			group.Go(func() {
				q := call{newID("added"), http.MethodPost, path, "prompt " + fmt.Sprint(i), map[string]string{"Model": model + "/" + adapter, "Token-Counts": "300,30"}, 3 * time.Second}
				if path == "/lohu930/a" {
					q.id = newID("first")
					q.headers["Model"] = model
				}
				a := send(client, g, q)
				mu.Lock()
				defer mu.Unlock()
				n := counts[path]
				n[0]++
				if a.status == 200 && a.whole {
					n[1]++
				}
				counts[path] = n
				if i%20 == 0 || a.status != 200 && i < 3 {
					r.logf("%s with Model %s: %v", q.id, q.headers["Model"], a)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	close(end)
	group.Wait()
	f, a := counts["/lohu930/a"], counts["/volo102/a"]
	r.logf("CONFIG: served on the first route: %d of %d; on the route that was added: %d of %d", f[1], f[0], a[1], a[0])
	if f[1] == 0 {
		panic(cantRun("nothing is served on the first route"))
	}
	return float64(a[1])/float64(a[0]) < 0.25*float64(f[1])/float64(f[0])
}
