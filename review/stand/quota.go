package main

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

// quota: a tenant asks for more than its limit all the time. The replicas of the service are down for two seconds and come back
// cold. Afterwards the tenant gets more than its quota.
func quota(w *World, trouble bool) (bool, error) {
	const (
		rate, burst = 85_000.0, 85_000.0
		// cost is plainTokens: requests without Token-Counts.
		cost   = 500.0
		window = 8 * time.Second
		// lead is the time between the start of the machines and that of traffic.
		lead                  = 10 * time.Second
		quotaOver, quotaSlack = 0.1, 17_000.0
		// usual and hot are requests per second: the tenant begins below its limit, and sends six times as much later.
		usual, hot        = 100, 600
		hotAt             = 5 * time.Second
		downFor           = 2 * time.Second
		coldFor           = 3 * time.Second
		length, troubleAt = 32 * time.Second, 15 * time.Second
		limit             = (rate*8+burst)*(1+quotaOver) + quotaSlack
	)
	for _, z := range []string{"zone-a", "zone-b", "zone-c"} {
		w.AddGateway(z)
	}
	w.store.Put("op/config", config(3000, map[string]any{
		"name": "hule930", "apiKeys": []string{apiKey}, "unit": "token_stream", "plainTokens": cost, "ratePerS": rate, "burst": burst,
	}))
	var replicas []*Replica
	for _, n := range []string{"1", "2"} {
		p := &Replica{world: w, service: "registry", zone: "zone-a", name: n, slots: 64, queue: 64, work: 20 * time.Millisecond}
		if err := p.Start(0); err != nil {
			return false, err
		}
		replicas = append(replicas, p)
	}
	if err := w.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(lead)
	w.note("traffic begins: %d requests/s of %g tokens, %d after %v, for a limit of %g tokens/s", usual, cost, hot, hotAt, rate)
	begin := time.Now()
	if trouble {
		time.AfterFunc(troubleAt, func() {
			w.note("the replicas of zone-a crash")
			for _, p := range replicas {
				p.Crash()
			}
			time.Sleep(downFor)
			for _, p := range replicas {
				if err := p.Start(coldFor); err != nil {
					w.note("restart: %v", err)
				}
			}
			w.note("they are back, cold for %v", coldFor)
		})
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	next := begin
	for i := 0; time.Since(begin) < length; i++ {
		time.Sleep(time.Until(next))
		pause := time.Second / usual
		if next.Sub(begin) >= hotAt {
			pause = time.Second / hot
		}
		next = next.Add(pause)
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
	// Requests that were sent and arrived at a replica that ran them within a window.
	type served struct{ sent, ran time.Time }
	var list []served
	for _, r := range w.Runs() {
		list = append(list, served{w.SentAt(r.request), r.at})
	}
	slices.SortFunc(list, func(a, b served) int { return a.sent.Compare(b.sent) })
	most, at := 0.0, time.Time{}
	for i, s := range list {
		end, sum := s.sent.Add(window), 0.0
		for _, o := range list[i:] {
			if o.sent.After(end) {
				break
			}
			if !o.ran.After(end) {
				sum += cost
			}
		}
		if sum > most {
			most, at = sum, s.sent
		}
	}
	w.note("most tokens in %v: %.0f, from %.3f s; allowed %.0f", window, most, at.Sub(w.started).Seconds(), limit)
	return most > limit, nil
}
