package main

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

// cold: the only replica of a service is cold, and callers ask for more than it bears. The gateways are killed and started again;
// within one second of their last sends the new processes send the same number once more.
func cold(w *World, trouble bool) (bool, error) {
	const (
		perSecond    = 300
		coldFor      = 3 * time.Second
		restartAfter = 500 * time.Millisecond
		coldPerS     = 19.0
		coldOver     = 1.5
		coldSlack    = 5.0
		limit        = coldPerS*coldOver + coldSlack
		window       = time.Second
	)
	for _, z := range []string{"zone-a", "zone-b"} {
		w.AddGateway(z)
	}
	w.store.Put("op/config", config(1500, map[string]any{
		"name": "hule930", "apiKeys": []string{apiKey}, "unit": "token_stream", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	}))
	p := &Replica{world: w, service: "registry", zone: "zone-a", name: "1", slots: 64, queue: 64, work: 20 * time.Millisecond}
	if err := p.Start(0); err != nil {
		return false, err
	}
	if err := w.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	begin := time.Now()
	end := begin.Add(8 * time.Second)
	var group sync.WaitGroup
	var coldAt time.Time
	group.Go(func() {
		time.Sleep(time.Until(begin.Add(3 * time.Second)))
		p.TurnCold(coldFor)
		coldAt = time.Now()
		w.note("the replica is cold for %v", coldFor)
		if !trouble {
			return
		}
		// The gateways have learned of it, and send what it bears.
		time.Sleep(2000 * time.Millisecond)
		w.note("all gateways are killed")
		for _, g := range w.gateways {
			g.Kill()
		}
		time.Sleep(restartAfter)
		for _, g := range w.gateways {
			if err := g.Start(); err != nil {
				w.note("start: %v", err)
			}
		}
		if w.AwaitReady(5*time.Second) == nil {
			w.note("all gateways are ready again")
		}
	})
	statuses := map[int]int{}
	var mu sync.Mutex
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / perSecond)))
		g := w.gateways[i%len(w.gateways)]
		group.Go(func() {
			r := w.Call(g, "/lookup/"+strconv.Itoa(i), 3*time.Second)
			mu.Lock()
			statuses[r.status]++
			mu.Unlock()
		})
	}
	group.Wait()
	w.note("answers by status: %v", statuses)
	// Requests that were sent and arrived within a second in which the replica was cold. The gateways have a second to learn of it.
	from, to := coldAt.Add(1200*time.Millisecond), coldAt.Add(coldFor)
	type arrival struct{ sent, ran time.Time }
	var list []arrival
	for _, r := range w.Runs() {
		if r.at.After(from) && r.at.Before(to) {
			list = append(list, arrival{w.SentAt(r.request), r.at})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, s := range list {
		n := 0
		for _, o := range list[i:] {
			if !o.ran.After(s.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, at = n, s.sent
		}
	}
	w.note("most requests in %v: %d, from %.3f s; allowed %.1f", window, most, at.Sub(w.started).Seconds(), limit)
	return float64(most) > limit, nil
}
