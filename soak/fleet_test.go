package soak

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/build"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	gatewayCount = 4
	engineCount  = 6
	appCount     = 2
	apiKey       = "soak-key"
	// recoveryTime bounds the start of all processes, and the time until all gateways serve after the last fault.
	recoveryTime = 30 * time.Second
	// stopTimeout bounds a planned stop; the period of grace in the settings is 1 s, or stopGraceSeconds.
	stopTimeout = 10 * time.Second
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) { os.Exit(build.Run(m, &binary)) }

// gateway is a gateway, or an agent, that runs in one process after the other.
type gateway struct {
	name string
	// args and env are those of its processes, env in addition to the test's own.
	args, env []string
	// settingsFile is the path of the settings; empty for agents.
	settingsFile string
	// public is the address for callers, ready the URL that says whether it is ready.
	public, ready string
	// storeLink is its link to the store.
	storeLink *link
	// graceSeconds is the period of grace of its planned stops; 0 for agents and gateways with agents.
	graceSeconds int
	// stops are its planned stops, otherFaults those that end or freeze its process.
	stops, otherFaults spells

	mu sync.Mutex // guards the fields below
	// cmd is the process, exited receives the result of its Wait.
	cmd    *exec.Cmd
	exited chan error
	// logs are those of all processes; the next one begins when the output of the one before has ended.
	logs logBuffer
}

// nextPort is the next port to use; ports lie below those that the kernel gives to outgoing connections.
var nextPort atomic.Int64

func init() { nextPort.Store(10_000 + rand.Int64N(5_000)*4) }

// freePort returns the first of three ports that nothing uses.
func freePort(t *testing.T) int {
	t.Helper()
	for range 10_000 {
		port := int(nextPort.Add(4))
		if port > 32_000 {
			nextPort.Store(10_000)
			continue
		}
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		u.Close()
		free := true
		for i := range 3 {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// newGateway writes the settings of a gateway with a period of grace.
func newGateway(t *testing.T, name, store string, graceSeconds int) *gateway {
	t.Helper()
	first, front := freePort(t), freePort(t)
	l, err := newLink(store)
	assert.NilError(t, err)
	file, ready := filepath.Join(t.TempDir(), name+".toml"), fmt.Sprintf("127.0.0.1:%d", front+1)
	g := &gateway{
		name: name, args: []string{"entry"}, env: []string{platform.SettingsVariable + "=" + file},
		public: fmt.Sprintf("127.0.0.1:%d", front), ready: "http://" + ready + "/readiness", storeLink: l,
		graceSeconds: graceSeconds,
	}
	settings := fmt.Sprintf(`nodeName = %q
zone = "zone-a"
ip = "127.0.0.1"
portRange = [%d, %d]
[listen]
front = %q
ready = %q
[bounds]
revokeMs = %d
drainMs = 2000
graceS = %d
retryRatio = 0.5
retrySlack = 100
retryWindowS = 10
coldOver = 1.5
coldSlack = 50
%s[limits]
memoryMb = 284
[platform]
address = %q
`, name, first, first+1, g.public, ready, withdrawalTime.Milliseconds(), graceSeconds, usageBounds, l.addr())
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	g.settingsFile = file
	return g
}

// start starts a process. It returns an error if that fails.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.exited = exec.Command(binary, g.args...), make(chan error, 1)
	g.cmd.Env = append(os.Environ(), g.env...)
	g.cmd.Stdout, g.cmd.Stderr = &g.logs, &g.logs
	if err := build.Start(g.cmd); err != nil {
		return fmt.Errorf("start %s: %w", g.name, err)
	}
	go func(cmd *exec.Cmd, exited chan error) { exited <- cmd.Wait() }(g.cmd, g.exited)
	return nil
}

// signal sends a signal to the process, if it still runs.
func (g *gateway) signal(s syscall.Signal) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", g.name, err)
	}
	return nil
}

// restart ends the process by a signal and starts another one.
func (g *gateway) restart(s syscall.Signal) error {
	if err := g.signal(s); err != nil {
		return err
	}
	select {
	case <-g.exited:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s still runs %v after signal %v", g.name, stopTimeout, s)
	}
	return g.start()
}

// kill ends the process at the end of a test.
func (g *gateway) kill() {
	_ = g.signal(syscall.SIGKILL)
	<-g.exited
}

// isReady reports whether the gateway counts as ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(g.ready)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// fleet is gateways, a store and upstreams.
type fleet struct {
	t        *testing.T
	store    *fakes.Store
	gateways []*gateway
	// agents are the agents of a fleet that has them.
	agents   []*gateway
	engines  []*upstream
	apps     []*upstream
	record   *record
	operator *operator
	// cloud is the control API, to which the gateways report usage; nil if they don't.
	cloud *fakes.Cloud
	// seed is that of the run. spoil is set while upstreams spoil some of their answers.
	seed  uint64
	spoil atomic.Bool
	// endings is set if answers end in all ways in which those of real upstreams do, and some requests are long.
	endings bool
	// silence is that of the upstreams; nil while they are not silent.
	silence atomic.Pointer[silence]
	// storeUp counts the time in which all gateways reach the store.
	storeUp *stopwatch
	// lasting has what goes on in the background and ends by itself.
	lasting sync.WaitGroup
	// faultsBegun and faultsEnded count the ends and pauses of gateways' processes, which may lose or miss what
	// others know.
	faultsBegun, faultsEnded atomic.Int64
	// returns counts the returns of the store from an older copy.
	returns atomic.Int64
	// orders is the number of orders that were accepted, eras is set if the store states its era.
	orders int
	eras   bool
}

// logBuffer collects what processes write. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// Bytes returns a copy of all that was written.
func (b *logBuffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.data.Bytes())
}

// stopwatch counts time, except while pauses, which may overlap, last.
type stopwatch struct {
	mu      sync.Mutex // guards the fields below
	pauses  int
	counted time.Duration
	since   time.Time
}

func newStopwatch() *stopwatch { return &stopwatch{since: time.Now()} }

func (w *stopwatch) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pauses == 0 {
		w.counted += time.Since(w.since)
	}
	w.pauses++
}

func (w *stopwatch) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pauses--
	if w.pauses == 0 {
		w.since = time.Now()
	}
}

// read returns the time counted so far.
func (w *stopwatch) read() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pauses > 0 {
		return w.counted
	}
	return w.counted + time.Since(w.since)
}

// newFleet starts a fleet and waits until its gateways are ready.
func newFleet(t *testing.T, seed uint64, eras, endings bool) *fleet {
	t.Helper()
	f := &fleet{t: t, store: fakes.NewStore(), record: newRecord(), seed: seed, eras: eras, endings: endings, storeUp: newStopwatch(), cloud: fakes.NewCloud()}
	if eras {
		f.store.SetEra(1)
	}
	f.operator = newOperator(f)
	for i := range engineCount {
		f.engines = append(f.engines, newUpstream(f, fmt.Sprint("engine-", i), fakes.EngineService))
	}
	for i := range appCount {
		f.apps = append(f.apps, newUpstream(f, fmt.Sprint("app-", i), fakes.AppService))
	}
	for i := range gatewayCount {
		g := newGateway(t, fmt.Sprint("gate-", i), f.store.Addr(), 1)
		g.addSettings(t, usageSettings(f.cloud))
		assert.NilError(t, g.start())
		f.gateways = append(f.gateways, g)
	}
	t.Cleanup(f.close)
	f.waitReady()
	return f
}

// randomOf returns the source of the choices in one attempt of a request: the same ones with the same seed.
func (f *fleet) randomOf(id string, attempt int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, id, " ", attempt)
	return rand.New(rand.NewPCG(f.seed, h.Sum64()))
}

// callers returns the number of callers.
func (f *fleet) callers() int {
	if f.endings {
		return manyCallers
	}
	return fewCallers
}

// processes returns the gateways and agents.
func (f *fleet) processes() []*gateway { return slices.Concat(f.gateways, f.agents) }

func (f *fleet) close() {
	for _, g := range f.processes() {
		g.kill()
		g.storeLink.close()
		if f.t.Failed() {
			f.saveLog(g)
		}
	}
	for _, u := range slices.Concat(f.engines, f.apps) {
		u.close()
	}
	if f.store != nil {
		f.store.Close()
	}
	if f.cloud != nil {
		f.cloud.Close()
	}
}

// saveLog writes the logs of a gateway's processes to a file that outlives the test.
func (f *fleet) saveLog(g *gateway) {
	file, err := os.CreateTemp("", "soak-"+g.name+"-*.log")
	if err != nil {
		f.t.Logf("log of %s: %v", g.name, err)
		return
	}
	defer file.Close()
	if _, err := file.Write(g.logs.Bytes()); err != nil {
		f.t.Logf("log of %s: %v", g.name, err)
	}
	f.t.Logf("log of %s: %s", g.name, file.Name())
}

// waitReady waits until all gateways are ready.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, g := range f.processes() {
		for end := time.Now().Add(recoveryTime); !g.isReady(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("%s is not ready after %v", g.name, recoveryTime)
			}
		}
	}
}
