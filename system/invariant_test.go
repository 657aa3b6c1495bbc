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

// notRun is the value of header X-Run that guarantees that a refused request has not run.
const notRun = "not-run"

// runWorkers calls f repeatedly in each worker goroutine, with the worker's index and the call number.
// The returned function stops the workers and waits for them.
func runWorkers(workers int, f func(worker, n int)) (stop func()) {
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

// startLoad starts more concurrent requests through all gateways than a cold engine can process.
func (f *fleet) startLoad() (stop func()) {
	return runWorkers(24, func(i, n int) {
		a, err := f.gateways[i%len(f.gateways)].complete(fmt.Sprint("load ", i, " ", n), 20)
		if err != nil || a.status != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// Guards against a cold engine that gets more concurrent requests than its cold-start limit when all
// gateways send to it, after its start and after it becomes cold without a restart.
func TestColdStartLimitAcrossGateways(t *testing.T) {
	const (
		coldStartLimit = 2
		// reportDelay is the time within which the agent reads that the engine is cold.
		reportDelay = 500 * time.Millisecond
	)
	o := defaultOptions()
	o.gateways, o.engines, o.services = 3, 1, 0
	o.engine.StartCold, o.engine.WarmupResponses = true, 30
	f := startFleet(t, o)
	e := f.engines[0]
	stopLoad := f.startLoad()
	warmOrCollapsed := func(collapses int64) func() bool {
		return func() bool { return !e.Cold() || e.Counts().Collapses > collapses }
	}
	f.eventually(readyTimeout, "engine is warm", warmOrCollapsed(0))
	time.Sleep(time.Second)
	stopLoad()
	c := e.Counts()
	t.Logf("after the start: at most %d concurrent requests while cold", c.MaxColdRequests)
	assert.Equal(t, c.Collapses, int64(0))
	assert.Assert(t, c.MaxColdRequests <= coldStartLimit, "%d concurrent requests", c.MaxColdRequests)

	e.SetCold(true)
	time.Sleep(reportDelay)
	stopLoad = f.startLoad()
	f.eventually(readyTimeout, "engine is warm", warmOrCollapsed(0))
	stopLoad()
	c = e.Counts()
	t.Logf("became cold while idle: at most %d concurrent requests while cold", c.MaxColdRequests)
	assert.Equal(t, c.Collapses, int64(0))
	assert.Assert(t, c.MaxColdRequests <= coldStartLimit, "%d concurrent requests", c.MaxColdRequests)

	// Under full load, the requests in flight may already exceed the cold-start limit when the engine
	// becomes cold. It may collapse then, but not again.
	stopLoad = f.startLoad()
	time.Sleep(time.Second)
	e.SetCold(true)
	time.Sleep(reportDelay)
	before := e.Counts()
	f.eventually(readyTimeout, "engine is warm", warmOrCollapsed(before.Collapses))
	stopLoad()
	c = e.Counts()
	t.Logf("became cold under load: %d collapses within the report delay, %d later", before.Collapses, c.Collapses-before.Collapses)
	assert.Equal(t, c.Collapses, before.Collapses)
	assert.Assert(t, before.Collapses <= 1)
}

// Guards against a gateway that accepts new requests while it cannot reach the store or any other
// gateway: their API keys may have been withdrawn meanwhile. Streams in progress must complete.
func TestIsolatedGateway(t *testing.T) {
	const margin = 500 * time.Millisecond
	o := defaultOptions()
	o.gateways = 3
	f := startFleet(t, o)
	g := f.gateways[0]
	lookUpCase := func() response {
		a, err := g.request(http.MethodGet, "/svc/booking/cases/7", "", nil)
		assert.NilError(t, err)
		return a
	}
	streamResult := make(chan error, 1)
	go func() {
		got, err := g.stream("a long answer", 800, func(string) {})
		if err == nil && got != expectedText("a long answer", 800) {
			err = fmt.Errorf("unexpected completion: %q", got)
		}
		streamResult <- err
	}()
	time.Sleep(300 * time.Millisecond)
	f.store.SetOutage(true)
	f.gateways[1].signal(syscall.SIGSTOP)
	f.gateways[2].signal(syscall.SIGSTOP)
	isolatedAt := time.Now()
	var lastAccepted time.Duration
	for time.Since(isolatedAt) < 4*time.Second {
		sentAfter := time.Since(isolatedAt)
		a := lookUpCase()
		if a.status == http.StatusOK {
			lastAccepted = sentAfter
		} else {
			assert.Equal(t, a.code, string(units.Isolated), a.body)
			assert.Equal(t, a.header.Get("X-Run"), notRun)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("the last request was accepted after %v", lastAccepted)
	assert.Assert(t, lastAccepted <= 2*time.Second+margin, "request accepted after %v", lastAccepted)
	assert.NilError(t, <-streamResult, "a stream in progress was cut")

	f.gateways[1].signal(syscall.SIGCONT)
	f.gateways[2].signal(syscall.SIGCONT)
	f.eventually(propagationTimeout+2*time.Second, "gateway accepts requests again", func() bool { return lookUpCase().status == http.StatusOK })
}

// modelLoaded reports whether one of the engines with the given indexes has the model in memory.
func (f *fleet) modelLoaded(id units.ModelID, engines ...int) bool {
	return slices.ContainsFunc(engines, func(i int) bool {
		return slices.ContainsFunc(f.engines[i].Models(), func(m engine.Model) bool { return m.ID == id && m.State == engine.Resident })
	})
}

// Guards against models that stay unavailable after the zone with their only copy is excluded or fails.
func TestZoneWithOnlyCopies(t *testing.T) {
	for name, removeZone := range map[string]func(f *fleet){
		"excluded zone": func(f *fleet) { f.writeFleet(&tree.Team{ExcludedZones: []units.Zone{"zone-a"}}, 0) },
		"lost": func(f *fleet) {
			f.agents[0].kill()
			f.engines[0].Crash(0)
			f.gateways[0].kill()
		},
	} {
		t.Run(name, func(t *testing.T) { testZoneLoss(t, removeZone) })
	}
}

// testZoneLoss checks that models whose only copies are in zone-a are loaded elsewhere after removeZone.
func testZoneLoss(t *testing.T, removeZone func(f *fleet)) {
	const models = 6
	o := defaultOptions()
	o.gateways, o.services = 3, 0
	o.engine.Capacity, o.engine.LoadTime = 7*modelBytes, 100*clock.Millisecond
	o.engine.Models = nil
	modelIDs := []units.ModelID{"m"}
	o.team = func(v *tree.Team) {
		for i := range models {
			modelIDs = append(modelIDs, units.ModelID(fmt.Sprint("x", i)))
			v.Models = append(v.Models, tree.Model{ID: modelIDs[i+1], Bytes: modelBytes})
		}
	}
	f := startFleet(t, o)
	f.eventually(readyTimeout, "all models are loaded", func() bool {
		return !slices.ContainsFunc(modelIDs, func(id units.ModelID) bool { return !f.modelLoaded(id, 0, 1, 2) })
	})
	onlyCopies := slices.DeleteFunc(slices.Clone(modelIDs), func(id units.ModelID) bool { return f.modelLoaded(id, 1, 2) })
	assert.Assert(t, len(onlyCopies) > 0, "the zone has no model's only copy")
	removeZone(f)
	began := time.Now()
	f.eventually(readyTimeout, "models of the zone are loaded elsewhere", func() bool {
		return !slices.ContainsFunc(modelIDs, func(id units.ModelID) bool { return !f.modelLoaded(id, 1, 2) })
	})
	t.Logf("%d models of the zone loaded elsewhere after %v", len(onlyCopies), time.Since(began))
	for _, id := range modelIDs {
		body := strings.Replace(completionBody("hello", 3, false), `"m"`, fmt.Sprintf("%q", id), 1)
		a, err := f.gateways[1].request(http.MethodPost, "/v1/completions", body, nil)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.completionText(), engine.ResponseText(id, "hello", 0, 3))
	}
}

// refusals collects the requests that were refused with the guarantee that they have not run, and
// counts all refusals by code.
type refusals struct {
	mu       sync.Mutex
	services []string
	prompts  []string
	codes    map[string]int
}

// Guards against X-Run "not-run" on a request that has run, while upstreams crash, lose responses or
// fail, and agents are killed.
func TestNotRunGuarantee(t *testing.T) {
	o := defaultOptions()
	o.engines, o.services = 2, 2
	f := startFleet(t, o)
	p := &refusals{codes: map[string]int{}}
	var succeeded atomic.Int64
	recordResponse := func(kind string, a response, err error, list *[]string, name string) {
		if err != nil {
			return
		}
		if a.status == http.StatusOK {
			succeeded.Add(1)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.codes[strings.Join([]string{kind, a.code, a.header.Get("X-Run")}, " ")]++
		if a.header.Get("X-Run") == notRun {
			*list = append(*list, name)
		}
	}
	stopRequests := runWorkers(16, func(i, n int) {
		name := fmt.Sprintf("request %d of worker %d", n, i)
		g := f.gateways[i%len(f.gateways)]
		switch i % 4 {
		case 0, 1:
			a, err := g.request(http.MethodPost, "/svc/booking/book", name, map[string]string{plain.CallHeader: name})
			recordResponse("booking", a, err, &p.services, name)
		case 2:
			a, err := g.request(http.MethodGet, "/svc/booking/cases/"+fmt.Sprint(n), "", map[string]string{plain.CallHeader: name})
			recordResponse("lookup", a, err, &p.services, name)
		default:
			a, err := g.complete(name, 10)
			recordResponse("model", a, err, &p.prompts, name)
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
		f.restartServiceAgent(0)
	}
	stopRequests()
	runs := func(name string) int { return f.services[0].Runs(name) + f.services[1].Runs(name) }
	for _, name := range p.services {
		assert.Equal(t, runs(name), 0, "%s ran at a service although the response said not-run", name)
	}
	for _, prompt := range p.prompts {
		n := f.engines[0].Runs("m", prompt) + f.engines[1].Runs("m", prompt)
		assert.Equal(t, n, 0, "%s ran at an engine although the response said not-run", prompt)
	}
	t.Logf("%d successful responses, %d refusals with not-run; all refusals: %v", succeeded.Load(), len(p.services)+len(p.prompts), p.codes)
	assert.Assert(t, succeeded.Load() > 100)
	assert.Assert(t, len(p.services)+len(p.prompts) > 10, "too few refusals for the test")
	for _, s := range f.services {
		assert.Equal(t, len(slices.DeleteFunc(s.Repeated(), func(id string) bool { return !f.receivedPost(id) })), 0, "calls without an idempotency key ran twice")
	}
}

// receivedPost reports whether a service received the call as a POST, which must not be repeated.
func (f *fleet) receivedPost(id string) bool {
	for _, s := range f.services {
		for _, c := range s.Calls() {
			if c.ID == id && c.Method == http.MethodPost {
				return true
			}
		}
	}
	return false
}

// restartServiceAgent kills the agent of service i, with requests in flight, and starts another.
func (f *fleet) restartServiceAgent(i int) {
	f.t.Helper()
	at := len(f.engines) + i
	f.agents[at].kill()
	f.agents[at] = f.startAgent(fmt.Sprint("service", i), i, map[string]any{
		"kind": "service", "address": f.services[i].Addr(), "services": []string{"booking"},
	})
}

type operatorToken string

func (k operatorToken) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(k)}, nil
}

// operatorClient returns a client of the gateway's operator API.
func (p *process) operatorClient(t *testing.T) *opsapi.Client {
	t.Helper()
	c, err := opsapi.NewClient("http://"+p.opsAddr, operatorToken(adminCredential))
	assert.NilError(t, err)
	return c
}

// addModel adds a model to the team's current configuration and returns the type name of the result,
// such as Accepted, Conflict or Refused.
func addModel(ctx context.Context, c *opsapi.Client, model string) (string, error) {
	params := opsapi.GetTeamParams{Team: "court"}
	current, err := c.GetTeam(ctx, params)
	if err != nil {
		return "", fmt.Errorf("read team: %w", err)
	}
	v, err := tree.Decode([]byte(current.Value))
	if err != nil {
		return "", fmt.Errorf("decode team: %w", err)
	}
	v.Models = append(v.Models, tree.Model{ID: units.ModelID(model), Bytes: 1})
	data, err := tree.Encode(v)
	if err != nil {
		return "", fmt.Errorf("encode team: %w", err)
	}
	res, err := c.PutTeam(ctx, &opsapi.PutTeam{
		Revision: current.Revision, Attempt: opsapi.Attempt(model), Value: opsapi.Value(data),
	}, opsapi.PutTeamParams{Team: "court"})
	if err != nil {
		return "", fmt.Errorf("write team: %w", err)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", res), "*opsapi."), nil
}

// modelIDs returns the models in the gateway's configuration, or nil if the request fails.
func (p *process) modelIDs() map[string]bool {
	a, err := p.request(http.MethodGet, "/v1/models", "", nil)
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

// Guards against lost updates when operators write at several gateways and the store loses responses:
// an accepted change that is overwritten, reverted or late at a gateway, and a change that takes
// effect although its operator got a conflict.
func TestConcurrentOperators(t *testing.T) {
	f := startFleet(t, defaultOptions())
	var mu sync.Mutex
	results := map[string]string{}
	kinds := map[string]int{}
	clients := []*opsapi.Client{f.gateways[0].operatorClient(t), f.gateways[1].operatorClient(t)}
	stopWrites := runWorkers(6, func(i, n int) {
		name := fmt.Sprintf("model-%d-%d", i, n)
		kind, err := addModel(context.Background(), clients[i%len(clients)], name)
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
	stopReads := runWorkers(len(f.gateways), func(i, _ int) {
		models := f.gateways[i].modelIDs()
		for id := range seen[i] {
			if models != nil && !models[id] {
				reverted.Store(fmt.Sprintf("%s reverted %s", f.gateways[i].id, id))
			}
		}
		if models != nil {
			seen[i] = models
		}
		time.Sleep(10 * time.Millisecond)
	})
	stopFaults := runWorkers(1, func(int, int) {
		f.store.Update(func(v *keyval.Faults) { v.LoseResponses = 3 })
		time.Sleep(150 * time.Millisecond)
	})
	time.Sleep(4 * time.Second)
	stopFaults()
	stopWrites()
	f.eventually(2*time.Second, "accepted changes are effective at all gateways", func() bool {
		for _, g := range f.gateways {
			models := g.modelIDs()
			for id, kind := range results {
				if kind == "Accepted" && !models[id] {
					return false
				}
			}
		}
		return true
	})
	stopReads()
	assert.Equal(t, reverted.Load(), nil)
	t.Logf("results: %v", kinds)
	assert.Assert(t, kinds["Accepted"] > 10 && kinds["Conflict"] > 0)
	effective := slices.Collect(maps.Keys(f.gateways[0].modelIDs()))
	for id, kind := range results {
		if kind == "Conflict" || kind == "Refused" {
			assert.Assert(t, !slices.Contains(effective, id), "%s got the response %s and took effect", id, kind)
		}
	}
}
