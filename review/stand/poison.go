package main

import (
	"strconv"
	"sync"
	"time"
)

// poison: a request crashes each replica that begins to run it, and comes again every few seconds. All gateways are killed once. From
// contactMs after their restart the request reaches replicas again more than three times.
func poison(w *World, trouble bool) (bool, error) {
	const (
		contact      = 3 * time.Second
		allowed      = 3
		pause        = 5 * time.Second
		rounds       = 6
		killAfter    = 2
		restartAfter = 300 * time.Millisecond
	)
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w.AddGateway(z)
	}
	w.store.Put("op/config", config(1500, map[string]any{
		"name": "hule930", "apiKeys": []string{apiKey}, "unit": "token_stream", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	}))
	for i, n := range []string{"1", "2", "3", "4", "5", "6"} {
		p := &Replica{
			world: w, service: "registry", zone: []string{"zone-a", "zone-b", "zone-c"}[i%3], name: n, slots: 6, queue: 24,
			work: 60 * time.Millisecond, deadly: "/lookup/deadly", downFor: 2 * time.Second,
		}
		if err := p.Start(0); err != nil {
			return false, err
		}
	}
	if err := w.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			group.Go(func() { w.Call(w.gateways[i%len(w.gateways)], "/lookup/"+strconv.Itoa(i), 3*time.Second) })
		}
	})
	deadly := map[string]bool{}
	var inTouchFrom time.Time
	for round := range rounds {
		at := time.Now()
		// The caller repeats it twice, at other gateways, as after any failure of an idempotent request.
		for try := range 3 {
			r := w.Call(w.gateways[(round+try)%len(w.gateways)], "/lookup/deadly", 3*time.Second)
			deadly[r.id] = true
			w.note("the deadly request is answered %d", r.status)
			if r.status == 200 {
				break
			}
			time.Sleep(min(r.retryAfter, time.Second))
		}
		if trouble && round == killAfter {
			time.Sleep(time.Until(at.Add(pause / 2)))
			w.note("all gateways are killed")
			for _, g := range w.gateways {
				g.Kill()
			}
			time.Sleep(restartAfter)
			for _, g := range w.gateways {
				if err := g.Start(); err != nil {
					return false, err
				}
			}
			if err := w.AwaitReady(10 * time.Second); err != nil {
				return false, err
			}
			inTouchFrom = time.Now().Add(contact)
			w.note("all gateways are ready again, and in touch %v later", contact)
			at = time.Now()
		}
		time.Sleep(time.Until(at.Add(pause)))
	}
	close(stop)
	group.Wait()
	crashes, later := 0, 0
	var third time.Time
	for _, r := range w.Runs() {
		if !deadly[r.request] {
			continue
		}
		crashes++
		if crashes == 3 {
			third = r.at.Add(60 * time.Millisecond)
		}
		if crashes > 3 && r.at.After(third.Add(contact)) && r.at.After(inTouchFrom) {
			later++
		}
	}
	w.note("the deadly request reached replicas %d times, %d of them later than %v after it had crashed the third; allowed %d", crashes, later, contact, allowed)
	return later > allowed, nil
}
