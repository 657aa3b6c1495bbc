package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/fakes/plain"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/fakes/weight"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

const (
	agentGateways, agentEngines, agentServices = 3, 3, 2
	agentCallers                               = 12
	fleetSecret                                = "0123456789abcdef"
	modelBytes                                 = 1 << 30
	// streamTokens is the length of a completion.
	streamTokens = 12
	// mostResetBytes bounds what is sent of a response that is reset. Whole ones are longer.
	mostResetBytes = 60
)

// agentFleet is gateways with agents, the stand-ins of their platform, engines and plain services.
type agentFleet struct {
	*fleet
	keys     *keyval.Server
	list     *vms.Server
	models   []*engine.Server
	services []*plain.Server
	// links are those to processes and from agents to engines and services.
	links []*link
	// crashes crash an engine or a service for a time.
	crashes []func(span time.Duration)
	team    *teamOperator
}

// teamOperator writes the configuration of a team. Each version adds a key and withdraws that of two versions before.
type teamOperator struct {
	client *store.Client

	mu       sync.Mutex // guards the fields below
	revision units.Revision
	version  int
	// writtenAt is when the store had answered to the write of each version.
	writtenAt map[int]time.Time
}

// change writes the next version.
func (o *teamOperator) change() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.version + 1
	team := &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 1_000_000, Burst: 1_000_000}},
		Keys:      []tree.Key{{ID: "k", Hash: tree.HashSecret(apiKey), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: modelBytes}},
		Services:  []tree.Service{{ID: "app", Idempotent: []tree.Route{{Method: http.MethodGet, Path: "/*"}}}},
	}
	for v := 1; v <= next; v++ {
		team.Keys = append(team.Keys, tree.Key{ID: units.KeyID(keyOf(v)), Hash: tree.HashSecret(keyOf(v)), Customer: "court", Withdrawn: v+2 <= next})
	}
	value, err := tree.Encode(team)
	if err != nil {
		return fmt.Errorf("encode version %d: %w", next, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	key := syncer.TeamKey("court")
	if o.version > 0 {
		// The answer to the write before may have been lost.
		e, err := o.client.Get(ctx, key)
		if err != nil {
			return fmt.Errorf("read version %d: %w", o.version, err)
		}
		o.revision = e.Revision
	}
	if o.revision, err = o.client.CompareAndSwap(ctx, key, o.revision, value, 0); err != nil {
		return fmt.Errorf("write version %d: %w", next, err)
	}
	o.version = next
	o.writtenAt[next] = time.Now()
	return nil
}

// isWithdrawn reports whether no request sent from now on may run with the key of a version.
func (o *teamOperator) isWithdrawn(version int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.writtenAt[version+2]
	return ok && time.Since(at) > withdrawalTime
}

// current returns the last version written.
func (o *teamOperator) current() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// newAgentFleet starts a fleet and waits until its processes are ready.
func newAgentFleet(t *testing.T, seed uint64) *agentFleet {
	t.Helper()
	f := &agentFleet{fleet: &fleet{t: t, record: newRecord(), seed: seed, storeUp: newStopwatch()}}
	var err error
	f.keys, err = keyval.New(keyval.Options{})
	assert.NilError(t, err)
	f.list, err = vms.New(vms.Options{})
	assert.NilError(t, err)
	weights, err := weight.New(weight.Options{})
	assert.NilError(t, err)
	f.serve(f.keys, f.list, weights)
	client := store.New(store.Options{Address: f.keys.Addr()})
	t.Cleanup(client.Close)
	f.team = &teamOperator{client: client, writtenAt: map[int]time.Time{}}
	assert.NilError(t, f.team.change())
	t.Cleanup(f.close)
	for i := range agentEngines {
		e, err := engine.New(engine.Options{Models: []engine.Model{{ID: "m", Bytes: modelBytes}}, WeightStore: weights.Addr()})
		assert.NilError(t, err)
		f.serve(e)
		f.models = append(f.models, e)
		address := f.link(e.Addr())
		f.addCrash(e.Crash)
		f.startAgent(fmt.Sprint("engine-", i), map[string]any{"kind": "engine", "address": address, "capacity": 80 << 30})
	}
	for i := range agentServices {
		s, err := plain.New(plain.Options{CallTime: 10 * clock.Millisecond})
		assert.NilError(t, err)
		f.serve(s)
		f.services = append(f.services, s)
		address := f.link(s.Addr())
		f.addCrash(s.Crash)
		f.startAgent(fmt.Sprint("app-", i), map[string]any{"kind": "service", "address": address, "services": []string{"app"}})
	}
	for i := range agentGateways {
		name, port, first := fmt.Sprint("gate-", i), freePort(t), freePort(t)
		public := fmt.Sprintf("127.0.0.1:%d", port)
		g := f.startProcess("gateway", name, vms.RoleEntry, first, map[string]any{
			"gate.json": map[string]any{"public": public, "limits": map[string]any{"notice": 50}},
			"ops.json":  map[string]any{"address": fmt.Sprintf("127.0.0.1:%d", port+1), "bootstrap": "credential-of-the-administrator"},
		})
		g.public = public
		f.gateways = append(f.gateways, g)
	}
	f.waitReady()
	f.checkService()
	return f
}

// serve runs stand-ins until the end of the test.
func (f *agentFleet) serve(list ...interface{ Run(context.Context) error }) {
	for _, s := range list {
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- s.Run(ctx) }()
		f.t.Cleanup(func() {
			cancel()
			assert.NilError(f.t, <-end)
		})
	}
}

// link returns the address of a link.
func (f *agentFleet) link(address string) string {
	f.t.Helper()
	l, err := newLink(address)
	assert.NilError(f.t, err)
	f.t.Cleanup(l.close)
	f.links = append(f.links, l)
	return l.addr()
}

// addCrash adds the crash of the engine or service behind the last link, which refuses connections meanwhile: an agent
// takes a connection that ends without an answer for another crash.
func (f *agentFleet) addCrash(crash func(downtime clock.Span)) {
	l, busy := f.links[len(f.links)-1], &sync.Mutex{}
	f.crashes = append(f.crashes, func(span time.Duration) {
		if busy.TryLock() {
			f.lasting.Go(func() {
				defer busy.Unlock()
				l.down(span, func() { crash(clock.Span(span.Milliseconds())) })
			})
		}
	})
}

func (f *agentFleet) startAgent(name string, upstream map[string]any) {
	f.agents = append(f.agents, f.startProcess("agent", name, vms.RoleUpstream, freePort(f.t), map[string]any{"upstream.json": upstream}))
}

// startProcess starts a process with a folder of settings, its own addresses being at two ports, and lists its VM.
func (f *agentFleet) startProcess(command, name, role string, port int, sections map[string]any) *gateway {
	f.t.Helper()
	l, err := newLink(f.keys.Addr())
	assert.NilError(f.t, err)
	peer, admin := fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	sections["node.json"] = map[string]any{"id": name, "zone": "zone-a", "peer": peer, "admin": admin}
	sections["fleet.json"] = map[string]any{"store": l.addr(), "vms": f.list.Addr(), "secret": fleetSecret}
	dir := f.t.TempDir()
	for file, v := range sections {
		b, err := json.Marshal(v)
		assert.NilError(f.t, err)
		assert.NilError(f.t, os.WriteFile(filepath.Join(dir, file), b, 0o600))
	}
	g := &gateway{name: name, args: []string{command, "--settings", dir}, ready: "http://" + admin + "/readyz", storeLink: l}
	assert.NilError(f.t, g.start())
	f.list.Set(vms.VM{ID: name, Role: role, Address: f.link(peer), Zone: "zone-a", State: vms.StateLive})
	return g
}

// kinds returns the kinds of faults of a fleet with agents.
func (f *agentFleet) kinds(x *faults) []func() {
	return []func(){x.freeze, x.kill, x.stop, x.disturbStore, x.disturbStore, func() { f.loseStore(x) }, func() { f.loseStore(x) },
		// A change that fails while the store is out is repeated with the next one.
		func() { f.lasting.Go(func() { _ = f.team.change() }) }, func() { f.lasting.Go(func() { _ = f.team.change() }) },
		func() { f.lasting.Go(x.disturb(f.links[x.random.IntN(len(f.links))])) },
		func() { f.lasting.Go(x.disturb(f.links[x.random.IntN(len(f.links))])) },
		func() { f.crashes[x.random.IntN(len(f.crashes))](x.span(200, 1000)) },
		func() { f.crashes[x.random.IntN(len(f.crashes))](x.span(200, 1000)) },
		func() {
			cut := x.random.IntN(streamTokens)
			f.models[x.random.IntN(agentEngines)].Update(func(v *engine.Faults) { v.CutStreams, v.CutAfter = 3, cut })
		},
		func() {
			cut, silence := x.random.IntN(streamTokens), f.silence(x)
			f.models[x.random.IntN(agentEngines)].Update(func(v *engine.Faults) {
				v.CutStreams, v.CutAfter, v.UnsizedStreams, v.CutSilence = 3, cut, 8, silence
			})
		},
		func() {
			f.services[x.random.IntN(agentServices)].Update(func(v *plain.Faults) { v.UnsizedResponses = 8 })
		},
		func() { f.resetResponses(x) },
		func() { f.resetResponses(x) },
		func() { f.services[x.random.IntN(agentServices)].Update(func(v *plain.Faults) { v.LoseResponses = 3 }) },
		func() { f.services[x.random.IntN(agentServices)].Update(func(v *plain.Faults) { v.LoseCalls = 3 }) },
	}
}

// resetResponses lets a service cut some responses without a length by a reset.
func (f *agentFleet) resetResponses(x *faults) {
	after, silence := x.random.IntN(mostResetBytes), f.silence(x)
	f.services[x.random.IntN(agentServices)].Update(func(v *plain.Faults) {
		v.ResetResponses, v.ResetUploads, v.ResetAfter, v.ResetSilence = 3, 5, after, silence
	})
}

// silence returns how long an upstream is silent before a reset: mostly not at all.
func (f *agentFleet) silence(x *faults) clock.Span {
	if x.random.IntN(silentShare) > 0 {
		return 0
	}
	return clock.FromDuration(x.span(int(leastSilence.Milliseconds()), int(mostSilence.Milliseconds())))
}

// loseStore lets the store be out for a time, or lose the answers to some calls that took effect.
func (f *agentFleet) loseStore(x *faults) {
	span := x.span(200, 1500)
	if x.random.IntN(2) == 0 {
		f.keys.LoseResponses(3)
		return
	}
	f.lasting.Go(func() {
		x.mu.Lock()
		x.outages++
		f.keys.SetOutage(true)
		x.mu.Unlock()
		time.Sleep(span)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.outages--
		f.keys.SetOutage(x.outages > 0)
	})
}

// agentCaller sends requests to gateways with agents.
type agentCaller struct {
	fleet  *agentFleet
	number int
	random *rand.Rand
	client http.Client
}

func newAgentCaller(f *agentFleet, number int, seed uint64) *agentCaller {
	return &agentCaller{f, number, rand.New(rand.NewPCG(seed, uint64(number))), http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}}
}

// run sends requests until the context is done; a request under way is completed.
func (c *agentCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := []string{"once", "keyed", "read", "key", "talk", "talk"}[c.random.IntN(6)]
		id := fmt.Sprintf("%s-%d-%d", kind, c.number, i)
		g := c.fleet.gateways[c.random.IntN(agentGateways)]
		key := apiKey
		if kind == "key" {
			key = c.chooseKey(g, id)
		}
		status := c.send(g, kind, id, key)
		for n := 0; kind == "keyed" && status != http.StatusOK && n < 3; n++ {
			// A caller that doesn't know repeats the call with its key, elsewhere too.
			status = c.send(c.fleet.gateways[c.random.IntN(agentGateways)], kind, id, key)
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// chooseKey returns the key of any version for a call, which may not run if the key is withdrawn.
func (c *agentCaller) chooseKey(g *gateway, id string) string {
	version := max(1, c.fleet.team.current()-c.random.IntN(8))
	if c.fleet.team.isWithdrawn(version) {
		c.fleet.record.bar(id, fmt.Sprintf("it was sent to %s more than %v after its key was withdrawn", g.name, withdrawalTime))
	}
	return keyOf(version)
}

// send sends a request and checks its answer. It returns the status; 0 if the connection broke.
func (c *agentCaller) send(g *gateway, kind, id, key string) int {
	method, path, body := http.MethodPost, "/svc/app/"+id, id
	switch kind {
	case "read", "key":
		method, body = http.MethodGet, ""
	case "talk":
		path = "/v1/completions"
		body = fmt.Sprintf(`{"model": "m", "prompt": %q, "max_tokens": %d, "stream": true}`, id, streamTokens)
	}
	// A call that is repeated with its key has the same body.
	if body == id && c.fleet.randomOf(id, 0).IntN(uploadShare) == 0 {
		body += uploadPadding
	}
	req, err := http.NewRequest(method, "http://"+g.public+path, strings.NewReader(body))
	if err != nil {
		c.fleet.record.breach("request %s: %v", id, err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(plain.CallHeader, id)
	if kind == "keyed" {
		req.Header.Set("Idempotency-Key", id)
	}
	res, err := c.client.Do(req)
	if err != nil {
		c.addAnswer(kind, id, 0, "")
		return 0
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	c.addAnswer(kind, id, res.StatusCode, res.Header.Get("X-Run"))
	switch {
	case res.StatusCode != http.StatusOK:
	case kind == "talk":
		c.checkStream(id, string(data))
	case err == nil:
		c.checkCall(id, req, data)
	}
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// addAnswer records an answer. A keyed call that was refused may be repeated and run then.
func (c *agentCaller) addAnswer(kind, id string, status int, run string) {
	r := c.fleet.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == http.StatusOK {
		r.served[kind]++
	}
	if kind == "once" || kind == "keyed" {
		r.once[id] = true
	}
	if kind == "once" && run == "not-run" {
		r.refused[id] = status
	}
}

// checkStream checks the events of a completion: the text up to where they end, and the whole text if they say that it
// is complete.
func (c *agentCaller) checkStream(id, body string) {
	text, done := "", false
	for lines := bufio.NewScanner(strings.NewReader(body)); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		done = done || ok && data == "[DONE]"
		if !ok || done {
			continue
		}
		var event struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			break
		}
		for _, choice := range event.Choices {
			text += choice.Text
		}
	}
	want := engine.ResponseText("m", id, 0, streamTokens)
	if !strings.HasPrefix(want, text) || done && text != want {
		c.fleet.record.breach("request %s: stream %q, complete %v", id, text, done)
	}
}

// checkCall checks the answer of a plain service.
func (c *agentCaller) checkCall(id string, req *http.Request, data []byte) {
	var got plain.Response
	if err := json.Unmarshal(data, &got); err != nil || got.ID != id || got.Method != req.Method || !strings.HasSuffix(got.Path, id) {
		c.fleet.record.breach("request %s: body %q", id, data)
	}
}

// checkService waits until each gateway serves a request of each kind.
func (f *agentFleet) checkService() {
	f.t.Helper()
	c := newAgentCaller(f, agentCallers, 0)
	defer c.client.CloseIdleConnections()
	for _, g := range f.gateways {
		for _, kind := range []string{"once", "keyed", "read", "talk"} {
			end := time.Now().Add(recoveryTime)
			for n, status := 0, 0; status != http.StatusOK; n++ {
				if time.Now().After(end) {
					f.t.Fatalf("%s does not serve %s after %v without faults, status %d", g.name, kind, recoveryTime, status)
				}
				time.Sleep(50 * time.Millisecond)
				status = c.send(g, kind, fmt.Sprintf("%s-%d-%s-%d", kind, time.Now().UnixNano(), g.name, n), apiKey)
			}
		}
	}
}

// Guards against broken promises of gateways with agents under faults that come in series and overlap: calls that run twice,
// or although they were refused, texts of other requests, cut texts that look complete, calls with withdrawn keys, and gateways that don't serve
// afterwards.
func TestSoakAgents(t *testing.T) {
	for i := range *runCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakAgents(t, seed) })
	}
}

func soakAgents(t *testing.T, seed uint64) {
	f := newAgentFleet(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range agentCallers {
		group.Go(func() { newAgentCaller(f, i, seed).run(ctx) })
	}
	x := &faults{fleet: f.fleet, random: rand.New(rand.NewPCG(seed, 2_000_000)), busy: map[*gateway]bool{}}
	x.run(ctx, f.kinds(x))
	group.Wait()
	f.lasting.Wait()
	f.waitReady()
	f.checkService()
	for _, s := range f.services {
		for id := range f.record.once {
			f.record.runs[id] += s.Runs(id)
		}
		for id := range f.record.barred {
			f.record.runs[id] += s.Runs(id)
		}
	}
	for _, b := range f.record.check() {
		t.Error(b)
	}
	t.Logf("served %v, %d gateways or agents ended or stood still", f.record.served, f.faultsBegun.Load())
}
