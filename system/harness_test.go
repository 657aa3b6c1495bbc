package system_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	secret = "0123456789abcdef"
	key    = "key-of-the-court"
	// bootstrap is the credential of the fleet administrator.
	bootstrap = "credential-of-the-administrator"
	// readyTimeout covers the start of all processes on a busy machine.
	readyTimeout = 20 * time.Second
	modelBytes   = 1 << 30
)

var errCut = errors.New("the end is missing")

var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "system")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "magnolialever")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a gateway or an agent.
type process struct {
	id     string
	cmd    *exec.Cmd
	public string
	// ops is the address of a gateway for operators.
	ops    string
	peer   string
	admin  string
	log    bytes.Buffer
	exited chan error
}

// fleet is a running system.
type fleet struct {
	t        *testing.T
	store    *keyval.Server
	vms      *vms.Server
	weights  *weight.Server
	engines  []*engine.Server
	services []*plain.Server
	agents   []*process
	gateways []*process
	kv       *store.Client
	team     *tree.Team
	revision units.Revision
}

type options struct {
	gateways int
	engines  int
	services int
	engine   engine.Options
	team     func(*tree.Team)
}

func defaults() options {
	return options{
		gateways: 2, engines: 3, services: 1,
		engine: engine.Options{
			Capacity: 80 << 30, StepTime: 5, Models: []engine.Model{{ID: "m", Bytes: modelBytes}},
		},
	}
}

// start runs a fleet in three availability zones and waits until it serves.
func start(t *testing.T, o options) *fleet {
	t.Helper()
	f := &fleet{t: t}
	var err error
	f.store, err = keyval.New(keyval.Options{})
	assert.NilError(t, err)
	f.vms, err = vms.New(vms.Options{})
	assert.NilError(t, err)
	f.weights, err = weight.New(weight.Options{})
	assert.NilError(t, err)
	f.serve(f.store, f.vms, f.weights)
	f.kv = store.New(store.Options{Address: f.store.Addr()})
	t.Cleanup(f.kv.Close)
	f.team = &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 100_000, Burst: 100_000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret(key), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: modelBytes}},
		Services: []tree.Service{{
			ID:         "booking",
			Idempotent: []tree.Route{{Method: "GET", Path: "/*"}},
			Open:       []tree.Route{{Method: "GET", Path: "/open/*"}},
		}},
	}
	if o.team != nil {
		o.team(f.team)
	}
	f.write()
	for i := range o.engines {
		eo := o.engine
		eo.WeightStore = f.weights.Addr()
		e, err := engine.New(eo)
		assert.NilError(t, err)
		f.serve(e)
		f.engines = append(f.engines, e)
		f.agents = append(f.agents, f.agent(fmt.Sprint("engine", i), i, map[string]any{
			"kind": "engine", "address": e.Addr(), "capacity": eo.Capacity, "fences": eo.CheckFence,
		}))
	}
	for i := range o.services {
		p, err := plain.New(plain.Options{})
		assert.NilError(t, err)
		f.serve(p)
		f.services = append(f.services, p)
		f.agents = append(f.agents, f.agent(fmt.Sprint("service", i), i, map[string]any{
			"kind": "service", "address": p.Addr(), "services": []string{"booking"},
		}))
	}
	for i := range o.gateways {
		f.gateways = append(f.gateways, f.gateway(fmt.Sprint("gateway", i), i))
	}
	f.ready()
	return f
}

type server interface{ Run(context.Context) error }

// serve runs stand-ins until the end of the test.
func (f *fleet) serve(list ...server) {
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

// write stores the team's value.
func (f *fleet) write() {
	f.t.Helper()
	b, err := tree.Encode(f.team)
	assert.NilError(f.t, err)
	f.revision, err = f.kv.CompareAndSwap(context.Background(), syncer.TeamKey("court"), f.revision, b, 0)
	assert.NilError(f.t, err)
}

func zone(i int) string { return fmt.Sprint("zone-", string(rune('a'+i%3))) }

var hosts atomic.Int64

// free returns an address of loopback that nobody listens on. Each has an IP address of
// its own: on 127.0.0.1, another process could take the port before its use.
func free(t *testing.T) string {
	t.Helper()
	n := hosts.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) spawn(command, id string, i int, sections map[string]any) *process {
	f.t.Helper()
	p := &process{id: id, peer: free(f.t), admin: free(f.t), exited: make(chan error, 1)}
	sections["node.json"] = map[string]any{"id": id, "zone": zone(i), "peer": p.peer, "admin": p.admin}
	sections["fleet.json"] = map[string]any{"store": f.store.Addr(), "vms": f.vms.Addr(), "secret": secret}
	dir := f.t.TempDir()
	for name, s := range sections {
		b, err := json.Marshal(s)
		assert.NilError(f.t, err)
		assert.NilError(f.t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
	}
	p.cmd = exec.Command(binary, command, "--settings", dir)
	p.cmd.Stderr = &p.log
	assert.NilError(f.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", id, tail(p.log.String()))
		}
	})
	return p
}

func tail(s string) string {
	const most = 3000
	return s[max(0, len(s)-most):]
}

func (f *fleet) agent(id string, i int, upstream map[string]any) *process {
	p := f.spawn("agent", id, i, map[string]any{"upstream.json": upstream})
	f.vms.Set(vms.VM{ID: id, Role: vms.RoleUpstream, Address: p.peer, Zone: zone(i), State: vms.StateLive})
	return p
}

func (f *fleet) gateway(id string, i int) *process {
	public, ops := free(f.t), free(f.t)
	p := f.spawn("gateway", id, i, map[string]any{
		"gate.json": map[string]any{"public": public, "limits": map[string]any{"notice": 50}},
		"ops.json":  map[string]any{"address": ops, "bootstrap": bootstrap},
	})
	p.public, p.ops = public, ops
	f.vms.Set(vms.VM{ID: id, Role: vms.RoleEntry, Address: p.peer, Zone: zone(i), State: vms.StateLive})
	return p
}

// ready waits until each gateway answers from an engine.
func (f *fleet) ready() {
	f.t.Helper()
	for _, g := range f.gateways {
		f.eventually(readyTimeout, g.id+" serves", func() bool {
			a, err := g.ask("ready", 1)
			return err == nil && a.status == http.StatusOK
		})
	}
}

func (f *fleet) eventually(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not within %v: %s", limit, what)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	select {
	case err := <-p.exited:
		p.exited <- err
	case <-time.After(5 * time.Second):
	}
}

// stop asks for a graceful stop and returns the result of the process.
func (p *process) stop(limit time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s still runs after %v", p.id, limit)
	}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	code   string
}

var client = &http.Client{Timeout: 30 * time.Second}

func (p *process) do(method, path, body string, header map[string]string) (answer, error) {
	r, err := http.NewRequest(method, "http://"+p.public+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	res, err := client.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}, err
	}
	var e struct{ Error struct{ Code string } }
	_ = json.Unmarshal(b, &e) // other answers have no code
	return answer{res.StatusCode, res.Header, string(b), e.Error.Code}, nil
}

func completion(prompt string, tokens int, stream bool) string {
	b, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(b)
}

// ask requests a completion of the given number of tokens.
func (p *process) ask(prompt string, tokens int) (answer, error) {
	return p.do(http.MethodPost, "/v1/completions", completion(prompt, tokens, false), nil)
}

// text returns the text of a completion.
func (a answer) text() string {
	var c struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// stream reads a streamed completion and calls each with the text so far.
func (p *process) stream(prompt string, tokens int, each func(text string)) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.public+"/v1/completions", strings.NewReader(completion(prompt, tokens, true)))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	res, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body) // the status tells enough
		return "", fmt.Errorf("status %d: %s", res.StatusCode, b)
	}
	text := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, nil
		}
		var c struct {
			Choices []struct{ Text string }
			Error   *struct{ Code string }
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return text, err
		}
		if c.Error != nil {
			return text, fmt.Errorf("stream ended with %s", c.Error.Code)
		}
		if len(c.Choices) > 0 {
			text += c.Choices[0].Text
			each(text)
		}
	}
	return text, fmt.Errorf("stream was cut after %d bytes: %w", len(text), errors.Join(errCut, lines.Err()))
}

// writeFleet stores the value of the team that concerns the whole fleet.
func (f *fleet) writeFleet(v *tree.Team, old units.Revision) units.Revision {
	f.t.Helper()
	b, err := tree.Encode(v)
	assert.NilError(f.t, err)
	r, err := f.kv.CompareAndSwap(context.Background(), syncer.TeamKey(tree.FleetTeam), old, b, 0)
	assert.NilError(f.t, err)
	return r
}
