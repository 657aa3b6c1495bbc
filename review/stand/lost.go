package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lost: a gateway gets SIGTERM while it passes on streams of a model that one replica holds. The replica preempts these requests in the middle
// of their streams and goes on 1.6 s later, well within the grace period. The gateway cuts the streams.
func lost(w *World, trouble bool) (bool, error) {
	const (
		streams  = 20
		events   = 40
		pauseFor = 1600 * time.Millisecond
		grace    = 8 * time.Second
		model    = "daka510000"
	)
	for _, z := range []string{"zone-a", "zone-b"} {
		w.AddGateway(z)
	}
	models := []any{}
	for _, m := range []string{model, "rada7437b5"} {
		models = append(models, map[string]any{"name": m, "weightsMb": 72700.0, "loadS": 4.2, "adapters": 0, "adapterMb": 66.0, "warmS": 0.4, "diskS": 1.2})
	}
	c := config(12000, map[string]any{
		"name": "hule930", "apiKeys": []string{apiKey}, "unit": "token_stream", "plainTokens": 200, "ratePerS": 1e6, "burst": 1e6,
	})
	c["routes"] = []any{map[string]any{
		"name": "r-caption", "host": host, "pathPrefix": "/caption/", "kind": "stream", "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 1,
		"service": "engines", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 300,
	}}
	c["services"] = []any{map[string]any{
		"name": "engines", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 19.0,
		"engine": map[string]any{
			"slots": 64, "kvCapTokens": 127918, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5, "cap": 12,
			"hostMb": 150000.0, "diskMb": 450000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": models,
			"weightsMb": 80000.0, "adapterSlots": 8, "loadsPerS": 1.6,
		},
	}}
	w.store.Put("op/config", c)
	var engines []*Engine
	for i, m := range []string{model, "rada7437b5"} {
		e := &Engine{
			world: w, service: "engines", zone: []string{"zone-a", "zone-b"}[i], id: "i-engine-" + strconv.Itoa(i+1), model: m, loadFor: 1200 * time.Millisecond,
			events: events, eventPause: 50 * time.Millisecond, pauseFor: pauseFor,
		}
		if err := e.Start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := w.StartAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	g := w.gateways[0]
	// Some streams end before the stop, so that the gateway knows how long they take.
	w.note("%d streams without a pause", streams)
	before := w.streams(g, streams, model, events)
	w.note("complete: %d of %d", before.complete, streams)
	engines[0].Preempt(trouble)
	w.note("%d streams, SIGTERM of %s after 0.8 s", streams, g.name)
	var stopped time.Time
	time.AfterFunc(800*time.Millisecond, func() {
		stopped = time.Now()
		w.log("SIGTERM", g.name, "")
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
	})
	after := w.streams(g, streams, model, events)
	w.note("complete: %d of %d, the last ended %v after SIGTERM, grace period %v", after.complete, streams, time.Since(stopped).Round(10*time.Millisecond), grace)
	cut := 0
	for _, r := range after.ended {
		// Streams that the replica was still at work on in the last sixth of the grace period don't count.
		if r.passedOn && !r.complete && r.at.Before(stopped.Add(grace*5/6)) {
			cut++
		}
	}
	w.note("streams that had begun and ended without their end, before the last sixth of the grace period: %d; allowed 0", cut)
	if before.complete != streams {
		return false, errors.New("the streams before the stop are not complete")
	}
	return cut > 0, nil
}

type streamEnd struct {
	passedOn, complete bool
	at                 time.Time
}

type streamEnds struct {
	complete int
	ended    []streamEnd
}

// streams sends a number of requests for streams to the gateway, within 0.4 s, and waits for their ends.
func (w *World) streams(g *Gateway, n int, model string, events int) streamEnds {
	var mu sync.Mutex
	var out streamEnds
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond / time.Duration(n))
			e := w.stream(g, model, events)
			mu.Lock()
			defer mu.Unlock()
			out.ended = append(out.ended, e)
			if e.complete {
				out.complete++
			}
		})
	}
	group.Wait()
	return out
}

func (w *World) stream(g *Gateway, model string, events int) streamEnd {
	const deadline = 12 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := strings.Repeat("p", 1700)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/caption/a", g.ip, g.front), strings.NewReader(body))
	if err != nil {
		return streamEnd{}
	}
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("s%07d", w.nextID)
	w.lines = append(w.lines, line{time.Now(), "sent " + id + " to " + g.name})
	w.mu.Unlock()
	r.Host = host
	h := r.Header
	h.Set("Request-Id", id)
	h.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set("Authorization", "Bearer "+apiKey)
	h.Set("Model", model)
	h.Set("Token-Counts", "628,200")
	h.Set("Prompt-Prefix", "5c1e07a2:119,"+fmt.Sprintf("%08x", 0x91bd0000+w.nextID)+":79")
	res, err := w.client.Do(r)
	if err != nil {
		w.log("ended", id, "no answer")
		return streamEnd{at: time.Now()}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		w.log("answered", id, strconv.Itoa(res.StatusCode))
		return streamEnd{at: time.Now()}
	}
	last := 0
	lines := bufio.NewReader(res.Body)
	for {
		text, readErr := lines.ReadString('\n')
		if v, ok := strings.CutPrefix(strings.TrimSpace(text), "id: "); ok {
			last, _ = strconv.Atoi(v)
		}
		if readErr != nil {
			err = readErr
			break
		}
	}
	complete := errors.Is(err, io.EOF) && last == events
	w.log("ended", id, fmt.Sprintf("after event %d, complete: %v, %v", last, complete, err))
	return streamEnd{passedOn: true, complete: complete, at: time.Now()}
}
