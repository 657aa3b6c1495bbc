package system_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/fakes/plain"
	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// notRun is the value of the header that promises that a refused request has not run.
const notRun = "not-run"

// repeat calls f in goroutines until the returned function is called, which waits for
// their end.
func repeat(workers int, f func(worker, n int)) (stop func()) {
	end := make(chan struct{})
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
					f(i, n)
				}
			}
		})
	}
	return func() {
		close(end)
		group.Wait()
	}
}

// load sends more requests than a cold engine bears, from all gateways.
func (f *fleet) load() (stop func()) {
	return repeat(24, func(i, n int) {
		a, err := f.gateways[i%len(f.gateways)].ask(fmt.Sprint("load ", i, " ", n), 20)
		if err != nil || a.status != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// Guards against an engine in cold start that gets more than its allowance when all
// gateways send at once, from its start and after it turned cold without warning.
func TestColdAcrossGateways(t *testing.T) {
	const (
		allowance = 2
		// reported is the time within which the agent reads that the engine is cold.
		reported = 500 * time.Millisecond
	)
	o := defaults()
	o.gateways, o.engines, o.services = 3, 1, 0
	o.engine.StartCold, o.engine.WarmupResponses = true, 30
	f := start(t, o)
	e := f.engines[0]
	stop := f.load()
	settled := func(collapses int64) func() bool {
		return func() bool { return !e.Cold() || e.Counts().Collapses > collapses }
	}
	f.eventually(readyTimeout, "engine is warm", settled(0))
	time.Sleep(time.Second)
	stop()
	c := e.Counts()
	t.Logf("from the start: at most %d at once while cold", c.MaxColdRequests)
	assert.Equal(t, c.Collapses, int64(0))
	assert.Assert(t, c.MaxColdRequests <= allowance, "%d at once", c.MaxColdRequests)

	e.SetCold(true)
	time.Sleep(reported)
	stop = f.load()
	f.eventually(readyTimeout, "engine is warm", settled(0))
	stop()
	c = e.Counts()
	t.Logf("turned cold while idle: at most %d at once while cold", c.MaxColdRequests)
	assert.Equal(t, c.Collapses, int64(0))
	assert.Assert(t, c.MaxColdRequests <= allowance, "%d at once", c.MaxColdRequests)

	// Under full load, requests in progress alone may exceed what the engine bears. It
	// may collapse at that moment, but not again.
	stop = f.load()
	time.Sleep(time.Second)
	e.SetCold(true)
	time.Sleep(reported)
	before := e.Counts()
	f.eventually(readyTimeout, "engine is warm", settled(before.Collapses))
	stop()
	c = e.Counts()
	t.Logf("turned cold under load: %d collapses at that moment, %d later", before.Collapses, c.Collapses-before.Collapses)
	assert.Equal(t, c.Collapses, before.Collapses)
	assert.Assert(t, before.Collapses <= 1)
}

// Guards against a gateway that is cut off from the store and from the other gateways
// and takes new requests, with keys that may have been withdrawn meanwhile.
func TestGatewayCutOff(t *testing.T) {
	const margin = 500 * time.Millisecond
	o := defaults()
	o.gateways = 3
	f := start(t, o)
	g := f.gateways[0]
	lookup := func() answer {
		a, err := g.do(http.MethodGet, "/svc/booking/cases/7", "", nil)
		assert.NilError(t, err)
		return a
	}
	streamed := make(chan error, 1)
	go func() {
		got, err := g.stream("a long answer", 800, func(string) {})
		if err == nil && got != text("a long answer", 800) {
			err = fmt.Errorf("answer differs: %q", got)
		}
		streamed <- err
	}()
	time.Sleep(300 * time.Millisecond)
	f.store.SetOutage(true)
	f.gateways[1].signal(syscall.SIGSTOP)
	f.gateways[2].signal(syscall.SIGSTOP)
	cut := time.Now()
	var last time.Duration
	for time.Since(cut) < 4*time.Second {
		sent := time.Since(cut)
		a := lookup()
		if a.status == http.StatusOK {
			last = sent
		} else {
			assert.Equal(t, a.code, string(units.Isolated), a.body)
			assert.Equal(t, a.header.Get("X-Run"), notRun)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the last request was taken after %v", last)
	assert.Assert(t, last <= 2*time.Second+margin, "request taken after %v", last)
	assert.NilError(t, <-streamed, "a running stream was cut")

	f.gateways[1].signal(syscall.SIGCONT)
	f.gateways[2].signal(syscall.SIGCONT)
	f.eventually(effect+2*time.Second, "peers are reached again", func() bool { return lookup().status == http.StatusOK })
}

// resident reports whether one of the engines holds the model.
func (f *fleet) resident(id units.ModelID, engines ...int) bool {
	return slices.ContainsFunc(engines, func(i int) bool {
		return slices.ContainsFunc(f.engines[i].Models(), func(m engine.Model) bool { return m.ID == id && m.State == engine.Resident })
	})
}

// Guards against models that nobody can reach after the availability zone with their
// only copy has been taken out or lost.
func TestZoneWithOnlyCopies(t *testing.T) {
	for name, leave := range map[string]func(f *fleet){
		"taken out": func(f *fleet) { f.writeFleet(&tree.Team{ExcludedZones: []units.Zone{"zone-a"}}, 0) },
		"lost": func(f *fleet) {
			f.agents[0].kill()
			f.engines[0].Crash(0)
			f.gateways[0].kill()
		},
	} {
		t.Run(name, func(t *testing.T) { zoneLeaves(t, leave) })
	}
}

func zoneLeaves(t *testing.T, leave func(f *fleet)) {
	const models = 6
	o := defaults()
	o.gateways, o.services = 3, 0
	o.engine.Capacity, o.engine.LoadTime = 7*modelBytes, 100*clock.Millisecond
	o.engine.Models = nil
	ids := []units.ModelID{"m"}
	o.team = func(v *tree.Team) {
		for i := range models {
			ids = append(ids, units.ModelID(fmt.Sprint("x", i)))
			v.Models = append(v.Models, tree.Model{ID: ids[i+1], Bytes: modelBytes})
		}
	}
	f := start(t, o)
	f.eventually(readyTimeout, "all models are loaded", func() bool {
		return !slices.ContainsFunc(ids, func(id units.ModelID) bool { return !f.resident(id, 0, 1, 2) })
	})
	only := slices.DeleteFunc(slices.Clone(ids), func(id units.ModelID) bool { return f.resident(id, 1, 2) })
	assert.Assert(t, len(only) > 0, "the zone holds no only copy")
	leave(f)
	began := time.Now()
	f.eventually(readyTimeout, "models of the zone are loaded elsewhere", func() bool {
		return !slices.ContainsFunc(ids, func(id units.ModelID) bool { return !f.resident(id, 1, 2) })
	})
	t.Logf("%d models of the zone loaded elsewhere after %v", len(only), time.Since(began))
	for _, id := range ids {
		body := strings.Replace(completion("hello", 3, false), `"m"`, fmt.Sprintf("%q", id), 1)
		a, err := f.gateways[1].do(http.MethodPost, "/v1/completions", body, nil)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.text(), engine.ResponseText(id, "hello", 0, 3))
	}
}

// promised collects the requests that callers were told had not run.
type promised struct {
	mu       sync.Mutex
	services []string
	prompts  []string
	codes    map[string]int
}

// Guards against "not run" for a request that ran, when upstreams crash, lose answers
// or fail and agents die at any moment.
func TestNotRunIsTrue(t *testing.T) {
	o := defaults()
	o.engines, o.services = 2, 2
	f := start(t, o)
	p := &promised{codes: map[string]int{}}
	var ok atomic.Int64
	note := func(kind string, a answer, err error, list *[]string, name string) {
		if err != nil {
			return
		}
		if a.status == http.StatusOK {
			ok.Add(1)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.codes[strings.Join([]string{kind, a.code, a.header.Get("X-Run")}, " ")]++
		if a.header.Get("X-Run") == notRun {
			*list = append(*list, name)
		}
	}
	stop := repeat(16, func(i, n int) {
		name := fmt.Sprintf("request %d of worker %d", n, i)
		g := f.gateways[i%len(f.gateways)]
		switch i % 4 {
		case 0, 1:
			a, err := g.do(http.MethodPost, "/svc/booking/book", name, map[string]string{plain.CallHeader: name})
			note("booking", a, err, &p.services, name)
		case 2:
			a, err := g.do(http.MethodGet, "/svc/booking/cases/"+fmt.Sprint(n), "", map[string]string{plain.CallHeader: name})
			note("lookup", a, err, &p.services, name)
		default:
			a, err := g.ask(name, 10)
			note("model", a, err, &p.prompts, name)
		}
	})
	for range 4 {
		for i := range f.engines {
			f.services[i].Update(func(v *plain.Faults) { v.LoseResponses, v.LoseCalls, v.FailCalls = 20, 10, 2 })
			f.engines[i].Update(func(v *engine.Faults) { v.FailRequests = 5 })
			time.Sleep(300 * time.Millisecond)
			f.services[i].Crash(200)
			f.engines[i].Crash(200)
			time.Sleep(300 * time.Millisecond)
		}
		f.restartService(0)
	}
	stop()
	runs := func(name string) int { return f.services[0].Runs(name) + f.services[1].Runs(name) }
	for _, name := range p.services {
		assert.Equal(t, runs(name), 0, "%s ran at a service although its caller was told that it did not", name)
	}
	for _, prompt := range p.prompts {
		n := f.engines[0].Runs("m", prompt) + f.engines[1].Runs("m", prompt)
		assert.Equal(t, n, 0, "%s ran at an engine although its caller was told that it did not", prompt)
	}
	t.Logf("%d answers, %d refusals that promise not to have run, of all: %v", ok.Load(), len(p.services)+len(p.prompts), p.codes)
	assert.Assert(t, ok.Load() > 100)
	assert.Assert(t, len(p.services)+len(p.prompts) > 10, "too few refusals to test")
	for _, s := range f.services {
		assert.Equal(t, len(slices.DeleteFunc(s.Repeated(), func(id string) bool { return !f.posted(id) })), 0, "calls without a key ran twice")
	}
}

// posted reports whether a service got the call as one that must not be repeated.
func (f *fleet) posted(id string) bool {
	for _, s := range f.services {
		for _, c := range s.Calls() {
			if c.ID == id && c.Method == http.MethodPost {
				return true
			}
		}
	}
	return false
}

// restartService kills the agent of a service, without its requests being answered, and
// starts another.
func (f *fleet) restartService(i int) {
	f.t.Helper()
	at := len(f.engines) + i
	f.agents[at].kill()
	f.agents[at] = f.agent(fmt.Sprint("service", i), i, map[string]any{
		"kind": "service", "address": f.services[i].Addr(), "services": []string{"booking"},
	})
}

type token string

func (k token) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(k)}, nil
}

// operator returns a client of the operators' interface of a gateway.
func (p *process) operator(t *testing.T) *opsapi.Client {
	t.Helper()
	c, err := opsapi.NewClient("http://"+p.ops, token(bootstrap))
	assert.NilError(t, err)
	return c
}

// add adds a model to the team's newest value and returns the kind of the result.
func add(ctx context.Context, c *opsapi.Client, model string) (string, error) {
	params := opsapi.GetTeamParams{Team: "court"}
	now, err := c.GetTeam(ctx, params)
	if err != nil {
		return "", fmt.Errorf("read: %w", err)
	}
	v, err := tree.Decode([]byte(now.Value))
	if err != nil {
		return "", fmt.Errorf("decode: %w", err)
	}
	v.Models = append(v.Models, tree.Model{ID: units.ModelID(model), Bytes: 1})
	data, err := tree.Encode(v)
	if err != nil {
		return "", fmt.Errorf("encode: %w", err)
	}
	res, err := c.PutTeam(ctx, &opsapi.PutTeam{
		Revision: now.Revision, Attempt: opsapi.Attempt(model), Value: opsapi.Value(data),
	}, opsapi.PutTeamParams{Team: "court"})
	if err != nil {
		return "", fmt.Errorf("write: %w", err)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", res), "*opsapi."), nil
}

// names returns the models that a gateway has in force.
func (p *process) names() map[string]bool {
	a, err := p.do(http.MethodGet, "/v1/models", "", nil)
	var l struct{ Data []struct{ ID string } }
	if err != nil || json.Unmarshal([]byte(a.body), &l) != nil {
		return nil
	}
	m := map[string]bool{}
	for _, d := range l.Data {
		m[d.ID] = true
	}
	return m
}

// Guards against an accepted change that another operator's change at another gateway
// overwrites, one that took effect although its operator saw a conflict, and one that
// a gateway takes back or gets late, while the store loses answers.
func TestRacingOperators(t *testing.T) {
	f := start(t, defaults())
	var mu sync.Mutex
	results := map[string]string{}
	kinds := map[string]int{}
	clients := []*opsapi.Client{f.gateways[0].operator(t), f.gateways[1].operator(t)}
	write := repeat(6, func(i, n int) {
		name := fmt.Sprintf("model-%d-%d", i, n)
		kind, err := add(context.Background(), clients[i%len(clients)], name)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			kind = "error"
		}
		results[name] = kind
		kinds[kind]++
	})
	var reverted atomic.Value
	seen := make([]map[string]bool, len(f.gateways))
	watch := repeat(len(f.gateways), func(i, _ int) {
		now := f.gateways[i].names()
		for id := range seen[i] {
			if now != nil && !now[id] {
				reverted.Store(fmt.Sprintf("%s took back %s", f.gateways[i].id, id))
			}
		}
		if now != nil {
			seen[i] = now
		}
		time.Sleep(10 * time.Millisecond)
	})
	lose := repeat(1, func(int, int) {
		f.store.Update(func(v *keyval.Faults) { v.LoseResponses = 3 })
		time.Sleep(150 * time.Millisecond)
	})
	time.Sleep(4 * time.Second)
	lose()
	write()
	f.eventually(2*time.Second, "accepted changes are in force at all gateways", func() bool {
		for _, g := range f.gateways {
			now := g.names()
			for id, kind := range results {
				if kind == "Accepted" && !now[id] {
					return false
				}
			}
		}
		return true
	})
	watch()
	assert.Equal(t, reverted.Load(), nil)
	t.Logf("results: %v", kinds)
	assert.Assert(t, kinds["Accepted"] > 10 && kinds["Conflict"] > 0)
	force := slices.Collect(maps.Keys(f.gateways[0].names()))
	for id, kind := range results {
		if kind == "Conflict" || kind == "Refused" {
			assert.Assert(t, !slices.Contains(force, id), "%s was answered with %s and took effect", id, kind)
		}
	}
}
