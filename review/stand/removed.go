package main

import (
	"strconv"
	"sync"
	"time"
)

// removed: a gateway is partitioned from the store for some seconds. Just after the link has healed a replica leaves: its entry is removed, and
// it serves on for a while. The gateway sends it requests later than drainMs after that, though it is in touch again.
func removed(w *World, trouble bool) (bool, error) {
	const (
		perSecond = 300
		cutFor    = 5500 * time.Millisecond
		contact   = 3 * time.Second
		drain     = 2 * time.Second
		observed  = 3800 * time.Millisecond
		rounds    = 10
	)
	var proxies []*Proxy
	for i, z := range []string{"zone-a", "zone-b"} {
		g := w.AddGateway(z)
		p, err := NewProxy("127.0.12."+strconv.Itoa(i+1), w.store.Address())
		if err != nil {
			return false, err
		}
		g.storeAddress = p.Address()
		proxies = append(proxies, p)
	}
	w.store.Put("op/config", config(1500, map[string]any{
		"name": "hule930", "apiKeys": []string{apiKey}, "unit": "token_stream", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	}))
	var replicas []*Replica
	for i, n := range []string{"1", "2"} {
		p := &Replica{world: w, service: "registry", zone: []string{"zone-a", "zone-b"}[i%2], name: n, slots: 16, queue: 48, work: 20 * time.Millisecond}
		if err := p.Start(0); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	if err := w.StartAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		begin := time.Now()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(begin.Add(time.Duration(i) * time.Second / perSecond))):
			}
			group.Go(func() { w.Call(w.gateways[i%2], "/lookup/"+strconv.Itoa(i), 3*time.Second) })
		}
	})
	time.Sleep(2 * time.Second)
	late := 0
	for round := range rounds {
		g, proxy, p := w.gateways[round%2], proxies[round%2], replicas[round%len(replicas)]
		if trouble {
			if err := proxy.Cut(); err != nil {
				return false, err
			}
		}
		time.Sleep(cutFor)
		if trouble {
			if err := proxy.Heal(); err != nil {
				return false, err
			}
		}
		healed := time.Now()
		time.Sleep(100 * time.Millisecond)
		id := p.Leave()
		gone := time.Now()
		time.Sleep(time.Until(healed.Add(observed)))
		n, last := 0, time.Duration(0)
		for _, r := range w.Runs() {
			if r.replica == id && r.at.After(gone.Add(drain)) && r.at.After(healed.Add(contact)) {
				n, last = n+1, r.at.Sub(gone)
			}
		}
		if n > 0 {
			w.note("round %d: after the cut of %s, %s got %d requests later than %v after its entry was removed, the last %v after", round, g.name, id, n, drain, last)
		}
		late += n
		p.Stop()
		if err := p.Start(0); err != nil {
			return false, err
		}
	}
	close(stop)
	group.Wait()
	w.note("late requests in %d rounds: %d; allowed 0", rounds, late)
	return late > 0, nil
}
