//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	revoke   = 5 * time.Second
	otherKey = "n2ctnfzs989anu6wsjnb"
	// age is how old the copy is that the store comes back from, copied how long before the key is taken away it was made.
	age, copied = 7 * time.Second, time.Second
	// rewriteTime is the time after which the operator has written again what the store has lost.
	rewriteTime = time.Second
)

// returnedCase: the store comes back from a copy of before a key was taken away, and all processes are killed at that moment.
// PART=kill and PART=return play one of the two disruptions alone.
func returnedCase(trouble bool, program string, r *record) bool {
	first, second := config(7), config(11)
	keys := func(c map[string]any, list ...string) {
		c["tenants"] = []any{map[string]any{
			"name": tenant, "apiKeys": list, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": quota, "burst": quota,
		}}
	}
	keys(first, apiKey, otherKey)
	keys(second, otherKey)
	w := newWorld(trouble, program, r, first)
	defer w.close()
	w.store.SetEra(1)
	var mu sync.Mutex
	var ackAt time.Time
	sentAt, late := map[string]time.Time{}, 0
	for i := range 2 {
		w.addReplica(fmt.Sprint("i-app-", i), apps, "praha-a", 6, nil, func(p *replica, rw http.ResponseWriter, q *http.Request) {
			mu.Lock()
			id := q.Header.Get("Request-Id")
			if sent, ok := sentAt[id]; ok && !ackAt.IsZero() && sent.Sub(ackAt) > revoke {
				late++
				r.logf("%s runs %s, sent %d ms after the ack that took its key away", p.id, id, sent.Sub(ackAt).Milliseconds())
			}
			mu.Unlock()
			p.respond(rw, http.StatusOK, "status")
		})
	}
	w.addGateway("front-praha-a-1", "praha-a", true)
	w.addGateway("front-praha-b-1", "praha-b", true)
	w.awaitReady()
	time.Sleep(2 * time.Second)
	old := w.store.Copy()
	time.Sleep(copied)
	w.store.Put("op/config", second)
	mu.Lock()
	ackAt = time.Now()
	mu.Unlock()
	r.logf("configuration 11 is acknowledged: it takes the key away")
	end := make(chan struct{})
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() {
			for {
				select {
				case <-end:
					return
				case <-time.After(30 * time.Millisecond):
				}
				q := call{newID("withdrawn"), http.MethodGet, "/cuti104/a", "", nil, 4 * time.Second}
				mu.Lock()
				sentAt[q.id] = time.Now()
				mu.Unlock()
				send(client, w.gateways[n%2], q)
			}
		})
	}
	time.Sleep(age - copied)
	part := os.Getenv("PART")
	if trouble && part != "kill" {
		r.logf("the store comes back from a copy %d s old", int(age.Seconds()))
		w.store.Return(old, nil)
	}
	if trouble && part != "return" {
		r.logf("all processes are killed")
		for _, g := range w.gateways {
			g.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(rewriteTime)
	if trouble && part != "kill" {
		w.store.Put("op/config", second)
		r.logf("the operator has written configuration 11 again, after %d ms", rewriteTime.Milliseconds())
	}
	time.Sleep(5 * time.Second)
	close(end)
	group.Wait()
	r.logf("CONFIG: %d requests with the key ran that were sent later than %d ms after the ack", late, revoke.Milliseconds())
	return late > 0
}
