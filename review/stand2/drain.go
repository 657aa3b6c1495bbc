//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// linger is how much longer than drainMs a replica serves whose entry is removed.
	linger = 150 * time.Millisecond
	// cutBefore is the time between the end of the watch and the removal of the entry.
	cutBefore = 100 * time.Millisecond
)

// drainCase: a watch that waits is cut, and a replica leaves a moment later without having reported draining.
func drainCase(trouble bool, program string, r *record) bool {
	w := newWorld(trouble, program, r, config(7))
	defer w.close()
	var mu sync.Mutex
	var removedAt time.Time
	leaving, late := "", 0
	sentAt := map[string]time.Time{}
	handle := func(p *replica, rw http.ResponseWriter, q *http.Request) {
		now, id := time.Now(), q.Header.Get("Request-Id")
		mu.Lock()
		if p.id == leaving && !removedAt.IsZero() && now.Sub(removedAt) > drain {
			late++
			r.logf("%s, sent %d ms after the removal was acknowledged, reaches %s %d ms after it", id, sentAt[id].Sub(removedAt).Milliseconds(),
				p.id, now.Sub(removedAt).Milliseconds())
		}
		mu.Unlock()
		time.Sleep(40 * time.Millisecond)
		p.respond(rw, http.StatusOK, "done")
	}
	for i := range 3 {
		w.addReplica(fmt.Sprint("i-app-", i), apps, "praha-a", 6, nil, handle)
	}
	g := w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-b-1", "praha-b", true)
	w.addGateway("front-praha-c-1", "praha-c", true)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	end := make(chan struct{})
	var group sync.WaitGroup
	for range 6 {
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				q := call{newID("booking"), http.MethodPost, "/rapu33/a", "sign interpreter", nil, 4 * time.Second}
				mu.Lock()
				sentAt[q.id] = time.Now()
				mu.Unlock()
				if a := send(client, g, q); a.status != 200 || !a.whole {
					r.logf("%s: %v", q.id, a)
				}
			}
		})
	}
	for n := range 3 {
		// The machine is in touch: nothing has happened for longer than contactMs.
		time.Sleep(contact + 2*time.Second)
		if trouble {
			await("a watch that waits", func() bool { return g.link.cutWatches() > 0 })
			r.logf("a watch that waited was cut")
		}
		time.Sleep(cutBefore)
		p := w.replicas[n]
		w.store.Delete(p.key())
		mu.Lock()
		removedAt, leaving = time.Now(), p.id
		mu.Unlock()
		r.logf("the removal of %s is acknowledged", p.id)
		time.AfterFunc(drain+linger, p.crash)
		w.addReplica(fmt.Sprint("i-app-", 3+n), apps, "praha-a", 6, nil, handle)
	}
	time.Sleep(contact)
	close(end)
	group.Wait()
	r.logf("DRAIN: %d requests reached a replica later than %d ms after its removal was acknowledged", late, drain.Milliseconds())
	return late > 0
}
