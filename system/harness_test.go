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

	"github.com/magnolialever/magnolialever/fakes/build"
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
	fleetSecret = "0123456789abcdef"
	customerKey = "key-of-the-court"
	// adminCredential is the bootstrap credential of the fleet administrator.
	adminCredential = "credential-of-the-administrator"
	// readyTimeout covers the start of all processes on a busy machine.
	readyTimeout = 20 * time.Second
	modelBytes   = 1 << 30
)

var errTruncated = errors.New("stream has no end marker")

var binary string

func TestMain(m *testing.M) { os.Exit(build.Run(m, &binary)) }

// process is a gateway or agent process. exited receives the result of its Wait.
type process struct {
	id         string
	cmd        *exec.Cmd
	publicAddr string
	// opsAddr is the address of a gateway's operator API.
	opsAddr   string
	peerAddr  string
	adminAddr string
	stderr    bytes.Buffer
	exited    chan error
}

// fleet is a running system: processes, and the fakes that they use. The agents of the engines come
// before those of the services.
type fleet struct {
	t            *testing.T
	store        *keyval.Server
	vms          *vms.Server
	weights      *weight.Server
	engines      []*engine.Server
	services     []*plain.Server
	agents       []*process
	gateways     []*process
	storeClient  *store.Client
	team         *tree.Team
	teamRevision units.Revision
}

// options configures a fleet. team may change the team configuration before it is stored.
type options struct {
	gateways int
	engines  int
	services int
	engine   engine.Options
	team     func(*tree.Team)
}

func defaultOptions() options {
	return options{
		gateways: 2, engines: 3, services: 1,
		engine: engine.Options{
			Capacity: 80 << 30, StepTime: 5, Models: []engine.Model{{ID: "m", Bytes: modelBytes}},
		},
	}
}

// startFleet starts a fleet in three availability zones and waits until every gateway serves requests.
func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f := &fleet{t: t}
	var err error
	f.store, err = keyval.New(keyval.Options{})
	assert.NilError(t, err)
	f.vms, err = vms.New(vms.Options{})
	assert.NilError(t, err)
	f.weights, err = weight.New(weight.Options{})
	assert.NilError(t, err)
	f.runFakes(f.store, f.vms, f.weights)
	f.storeClient = store.New(store.Options{Address: f.store.Addr()})
	t.Cleanup(f.storeClient.Close)
	f.team = &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 100_000, Burst: 100_000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret(customerKey), Customer: "court"}},
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
	f.writeTeam()
	for i := range o.engines {
		eo := o.engine
		eo.WeightStore = f.weights.Addr()
		e, err := engine.New(eo)
		assert.NilError(t, err)
		f.runFakes(e)
		f.engines = append(f.engines, e)
		f.agents = append(f.agents, f.startAgent(fmt.Sprint("engine", i), i, map[string]any{
			"kind": "engine", "address": e.Addr(), "capacity": eo.Capacity, "fences": eo.CheckFence,
		}))
	}
	for i := range o.services {
		p, err := plain.New(plain.Options{})
		assert.NilError(t, err)
		f.runFakes(p)
		f.services = append(f.services, p)
		f.agents = append(f.agents, f.startAgent(fmt.Sprint("service", i), i, map[string]any{
			"kind": "service", "address": p.Addr(), "services": []string{"booking"},
		}))
	}
	for i := range o.gateways {
		f.gateways = append(f.gateways, f.startGateway(fmt.Sprint("gateway", i), i))
	}
	f.waitReady()
	return f
}

type server interface{ Run(context.Context) error }

// runFakes runs the fake servers until the end of the test.
func (f *fleet) runFakes(list ...server) {
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

// writeTeam writes the team configuration to the store.
func (f *fleet) writeTeam() {
	f.t.Helper()
	b, err := tree.Encode(f.team)
	assert.NilError(f.t, err)
	f.teamRevision, err = f.storeClient.CompareAndSwap(context.Background(), syncer.TeamKey("court"), f.teamRevision, b, 0)
	assert.NilError(f.t, err)
}

// zoneName returns the zone of the i-th process of its kind.
func zoneName(i int) string { return fmt.Sprint("zone-", string(rune('a'+i%3))) }

var nextHost atomic.Int64

// freeAddr returns an unused loopback address. Each has its own IP address, since on 127.0.0.1
// another process could bind the port before the test does.
func freeAddr(t *testing.T) string {
	t.Helper()
	n := nextHost.Add(1)
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/250, 1+n%250)
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startProcess runs the command with a settings directory of the given files, in zone i. The process
// is killed at the end of the test, and its stderr is logged if the test failed.
func (f *fleet) startProcess(command, id string, i int, sections map[string]any) *process {
	f.t.Helper()
	p := &process{id: id, peerAddr: freeAddr(f.t), adminAddr: freeAddr(f.t), exited: make(chan error, 1)}
	sections["node.json"] = map[string]any{"id": id, "zone": zoneName(i), "peer": p.peerAddr, "admin": p.adminAddr}
	sections["fleet.json"] = map[string]any{"store": f.store.Addr(), "vms": f.vms.Addr(), "secret": fleetSecret}
	dir := f.t.TempDir()
	for name, s := range sections {
		b, err := json.Marshal(s)
		assert.NilError(f.t, err)
		assert.NilError(f.t, os.WriteFile(filepath.Join(dir, name), b, 0o600))
	}
	p.cmd = exec.Command(binary, command, "--settings", dir)
	p.cmd.Stderr = &p.stderr
	assert.NilError(f.t, p.cmd.Start())
	go func() { p.exited <- p.cmd.Wait() }()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			f.t.Logf("stderr of %s:\n%s", id, tail(p.stderr.String()))
		}
	})
	return p
}

// tail returns the last bytes of a log.
func tail(s string) string {
	const maxBytes = 3000
	return s[max(0, len(s)-maxBytes):]
}

// startAgent starts an agent with the given upstream.json and adds it to the VM list.
func (f *fleet) startAgent(id string, i int, upstream map[string]any) *process {
	p := f.startProcess("agent", id, i, map[string]any{"upstream.json": upstream})
	f.vms.Set(vms.VM{ID: id, Role: vms.RoleUpstream, Address: p.peerAddr, Zone: zoneName(i), State: vms.StateLive})
	return p
}

// startGateway starts a gateway in zone i and adds it to the VM list.
func (f *fleet) startGateway(id string, i int) *process {
	public, ops := freeAddr(f.t), freeAddr(f.t)
	p := f.startProcess("gateway", id, i, map[string]any{
		"gate.json": map[string]any{"public": public, "limits": map[string]any{"notice": 50}},
		"ops.json":  map[string]any{"address": ops, "bootstrap": adminCredential},
	})
	p.publicAddr, p.opsAddr = public, ops
	f.vms.Set(vms.VM{ID: id, Role: vms.RoleEntry, Address: p.peerAddr, Zone: zoneName(i), State: vms.StateLive})
	return p
}

// waitReady waits until each gateway completes a request at an engine.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, g := range f.gateways {
		f.eventually(readyTimeout, g.id+" serves requests", func() bool {
			a, err := g.complete("ready", 1)
			return err == nil && a.status == http.StatusOK
		})
	}
}

// eventually polls the condition and fails the test if it is not met within the limit.
func (f *fleet) eventually(limit time.Duration, description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("condition not met within %v: %s", limit, description)
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill terminates the process with SIGKILL and waits up to 5 s for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	select {
	case err := <-p.exited:
		p.exited <- err
	case <-time.After(5 * time.Second):
	}
}

// stop sends SIGTERM and returns the process's exit error, or an error if it runs longer than limit.
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

// response is a complete HTTP response. code is the error code of its body, if any.
type response struct {
	status int
	header http.Header
	body   string
	code   string
}

var httpClient = &http.Client{Timeout: 30 * time.Second}

// request sends a request with the customer's API key; header overrides the default headers.
func (p *process) request(method, path, body string, header map[string]string) (response, error) {
	r, err := http.NewRequest(method, "http://"+p.publicAddr+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+customerKey)
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	res, err := httpClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}, err
	}
	var e struct{ Error struct{ Code string } }
	_ = json.Unmarshal(b, &e) // bodies without an error leave the code empty
	return response{res.StatusCode, res.Header, string(b), e.Error.Code}, nil
}

func completionBody(prompt string, tokens int, stream bool) string {
	b, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(b)
}

// complete requests a completion of up to the given number of tokens.
func (p *process) complete(prompt string, tokens int) (response, error) {
	return p.request(http.MethodPost, "/v1/completions", completionBody(prompt, tokens, false), nil)
}

// completionText returns the text of a completion, or an empty string if the body has none.
func (a response) completionText() string {
	var c struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// stream requests a streamed completion, calls onText with the text so far after each event and
// returns the text. It fails if the stream ends with an error or without its end marker.
func (p *process) stream(prompt string, tokens int, onText func(text string)) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.publicAddr+"/v1/completions", strings.NewReader(completionBody(prompt, tokens, true)))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+customerKey)
	r.Header.Set("Content-Type", "application/json")
	res, err := httpClient.Do(r)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body) // the error reports the status even if the body cannot be read
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
			onText(text)
		}
	}
	return text, fmt.Errorf("stream ended early after %d bytes: %w", len(text), errors.Join(errTruncated, lines.Err()))
}

// writeFleet writes the fleet-wide configuration if the store has the expected revision, and returns
// the new revision.
func (f *fleet) writeFleet(v *tree.Team, expected units.Revision) units.Revision {
	f.t.Helper()
	b, err := tree.Encode(v)
	assert.NilError(f.t, err)
	r, err := f.storeClient.CompareAndSwap(context.Background(), syncer.TeamKey(tree.FleetTeam), expected, b, 0)
	assert.NilError(f.t, err)
	return r
}
