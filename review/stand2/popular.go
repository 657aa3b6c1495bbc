//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart is the part of prompts that crashes each replica that begins to write an answer on it.
	deadlyPart = "dead01"
	// deadlyPause is the time between two requests with it; calm is how long sound requests are counted before the first one.
	deadlyPause = 500 * time.Millisecond
	calm        = 8 * time.Second
	// counted is how long they are counted from two contact times after the last crash on.
	counted = 15 * time.Second
	// soundCallers ask for the same text over and over, as many listeners of one court do.
	soundCallers = 12
)

// popularCase: requests with a deadly part end two replicas, at which a sound request that many callers send alike ran too.
func popularCase(trouble bool, program string, r *record) bool {
	w := newWorld(trouble, program, r, config(7))
	defer w.close()
	var mu sync.Mutex
	var crashes int
	var lastCrash time.Time
	begunIDs := map[string]bool{}
	number := 0
	var add func(zone string)
	handle := func(p *replica, rw http.ResponseWriter, q *http.Request) {
		if trouble && strings.Contains(q.Header.Get("Prompt-Prefix"), deadlyPart) {
			time.Sleep(20 * time.Millisecond)
			if p.isCrashed() {
				return
			}
			p.crash()
			mu.Lock()
			crashes++
			lastCrash = time.Now()
			n := crashes
			mu.Unlock()
			r.logf("%s crashes on %s (crash %d)", p.id, q.Header.Get("Request-Id"), n)
			// It is back after some seconds, as another lifetime.
			time.AfterFunc(4*time.Second, func() {
				select {
				case <-w.stopped:
				default:
					add(p.zone)
				}
			})
			return
		}
		mu.Lock()
		begunIDs[q.Header.Get("Request-Id")] = true
		mu.Unlock()
		p.stream(rw, q, 20, 20*time.Millisecond)
	}
	add = func(zone string) {
		mu.Lock()
		number++
		n := number
		mu.Unlock()
		p := w.addReplica(fmt.Sprint("i-engine-", n), engines, zone, 64, []string{model}, handle)
		r.logf("%s is there", p.id)
	}
	for i := range 6 {
		add([]string{"praha-a", "praha-b"}[i%2])
	}
	w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-b-1", "praha-b", true)
	w.awaitReady()
	time.Sleep(3 * time.Second)

	type period struct{ sent, begun int }
	var before, after period
	beganAt := time.Now()
	end := make(chan struct{})
	var group sync.WaitGroup
	for i := range soundCallers {
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				q := call{newID("sound"), http.MethodPost, "/lohu930/ruling", "Summarise ruling 4711.", map[string]string{
					"Model": model, "Token-Counts": "600,60", "Prompt-Prefix": "5c1e07a2:300,91bd3f06:200,e4402b7d:100",
				}, 12 * time.Second}
				sentAt := time.Now()
				a := send(client, w.gateways[i%2], q)
				mu.Lock()
				begun := begunIDs[q.id]
				settled := !lastCrash.IsZero() && sentAt.Sub(lastCrash) >= 2*contact
				switch {
				case sentAt.Sub(beganAt) < calm:
					before.sent++
					if begun {
						before.begun++
					}
				case settled || !trouble && sentAt.Sub(beganAt) >= calm+2*contact:
					after.sent++
					if begun {
						after.begun++
					}
				}
				show := after.sent%200 == 1
				mu.Unlock()
				if a.status != 200 || !a.whole {
					if show || !settled {
						r.logf("%s at %s: %v; begun %v", q.id, w.gateways[i%2].name, a, begun)
					}
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(calm)
	stop := time.Now().Add(2*contact + counted + 4*time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		group.Go(func() {
			q := call{newID("deadly"), http.MethodPost, "/lohu930/ruling", fmt.Sprint("prompt ", rand.Uint64()), map[string]string{
				"Model": model, "Token-Counts": "600,60", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:300,%s:200,%x:100", deadlyPart, rand.Uint32()),
			}, 4 * time.Second}
			a := send(client, w.gateways[i%2], q)
			if i < 6 || i%10 == 0 {
				r.logf("%s at %s: %v", q.id, w.gateways[i%2].name, a)
			}
		})
		time.Sleep(deadlyPause)
	}
	close(end)
	group.Wait()
	r.logf("crashes: %d", crashes)
	r.logf("LOST: sound requests begun at the first attempt: %d of %d before, %d of %d from two contact times after the last crash on",
		before.begun, before.sent, after.begun, after.sent)
	if before.sent < 20 || after.sent < 20 {
		panic(cantRun("too few requests"))
	}
	return float64(after.begun)/float64(after.sent) < 0.5*float64(before.begun)/float64(before.sent)
}
