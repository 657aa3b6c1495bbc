//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	apiKey = "i9n73hh2b9wu3fexd9dn"
	tenant = "hule930"
	host   = "ficu95.example"
	// Bounds of the settings, as on the sheet of the small deployments.
	memoryMegabytes = 284
	contact         = 3 * time.Second
	drain           = 2 * time.Second
	configApply     = 2 * time.Second
	heartbeat       = 1200 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
)

// world is a small deployment: gateways, the platform's store and replicas.
type world struct {
	trouble  bool
	program  string
	dir      string
	store    *fakes.Store
	links    []*link
	gateways []*gateway
	replicas []*replica
	record   *record
	// stopped is closed when no process is started any more.
	stopped  chan struct{}
	stopOnce sync.Once
}

// record is the text of record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// gateway is a process of the role entry on one front machine.
type gateway struct {
	w             *world
	name          string
	public, ready string
	settings      string
	link          *link
	logFile       *os.File

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// nextPort is the first port that may be used next; ports lie below those that the kernel gives to outgoing connections.
var nextPort = 12000 + os.Getpid()%600*18

// freeSpan returns the first of n consecutive free ports. It is called from one goroutine.
func freeSpan(n int) int {
	for ; nextPort < 32000; nextPort += n {
		first := nextPort
		free := true
		for i := range n {
			l, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(first+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
			u, err := net.ListenPacket("udp4", "127.0.0.1:"+strconv.Itoa(first+i))
			if err != nil {
				free = false
				break
			}
			u.Close()
		}
		if free {
			nextPort += n
			return first
		}
	}
	panic("no free ports")
}

// addGateway writes the settings of a gateway and starts it.
func (w *world) addGateway(name, zone string, bootstrap bool) *gateway {
	first := freeSpan(18)
	l := newLink(w.store.Addr())
	w.links = append(w.links, l)
	g := &gateway{
		w: w, name: name, public: fmt.Sprintf("127.0.0.1:%d", first+16), ready: fmt.Sprintf("127.0.0.1:%d", first+17),
		settings: filepath.Join(w.dir, name+".toml"), link: l,
	}
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "cz-central"
portRange = [%d,%d]
bootstrap = %v
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
praha-a = "cz-central"
praha-b = "cz-central"
praha-c = "cz-central"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
backMs = 250
stretchMaxMs = 5000
strictRevoke = true
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 56
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 17000
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
requireFencing = true
leaseTtlMs = 3000
thawMs = 300
originWindowS = 5
originOver = 1.1
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, name, zone, first, first+15, bootstrap, g.public, g.ready, memoryMegabytes, l.addr())
	must(os.WriteFile(g.settings, []byte(text), 0o600))
	var err error
	g.logFile, err = os.Create(filepath.Join(w.dir, name+".log"))
	must(err)
	w.gateways = append(w.gateways, g)
	g.start()
	return g
}

// start starts a process and, until the world is closed, another one each time it has ended.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.w.stopped:
		return
	default:
	}
	cmd, exited := exec.Command(g.w.program, "entry"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MAGNOLIALEVER_BOOT=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.logFile, g.logFile
	must(cmd.Start())
	g.cmd, g.exited = cmd, exited
	g.starts++
	if g.starts == 1 {
		// Settings say bootstrap = true only when the whole system starts for the first time.
		time.AfterFunc(restartDelay/2, g.endBootstrap)
	}
	g.w.record.logf("%s: process %d started", g.name, g.starts)
	go func() {
		err := cmd.Wait()
		close(exited)
		select {
		case <-g.w.stopped:
			return
		default:
		}
		g.w.record.logf("%s: process has ended: %v", g.name, err)
		time.Sleep(restartDelay)
		g.start()
	}()
}

// endBootstrap changes the settings for the next processes.
func (g *gateway) endBootstrap() {
	data, err := os.ReadFile(g.settings)
	must(err)
	must(os.WriteFile(g.settings, []byte(strings.Replace(string(data), "bootstrap = true", "bootstrap = false", 1)), 0o600))
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

// residentKilobytes returns the resident memory of the process, 0 if it has ended.
func (g *gateway) residentKilobytes() int {
	g.mu.Lock()
	pid := g.cmd.Process.Pid
	g.mu.Unlock()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// newWorld starts a store with a configuration.
func newWorld(trouble bool, program string, r *record, config map[string]any) *world {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	w := &world{trouble: trouble, program: program, dir: dir, store: fakes.NewStore(), record: r, stopped: make(chan struct{})}
	w.store.Put("op/config", config)
	current.Store(w)
	return w
}

// await waits until the condition holds, for 20 s at most.
func await(what string, condition func() bool) {
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic(cantRun("not within 20 s: " + what))
		}
	}
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() {
	for _, g := range w.gateways {
		await(g.name+" is ready", func() bool { return statusOf("http://"+g.ready+"/readiness") == 200 })
	}
}

// killAll ends all processes and waits for their ends.
func (w *world) killAll() {
	w.stopOnce.Do(func() { close(w.stopped) })
	for _, g := range w.gateways {
		g.mu.Lock()
		cmd, exited := g.cmd, g.exited
		g.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.killAll()
	for _, g := range w.gateways {
		_ = g.logFile.Close()
	}
	for _, p := range w.replicas {
		p.crash()
	}
	for _, l := range w.links {
		l.close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// cantRun is why a case could not run.
type cantRun string

func must(err error) {
	if err != nil {
		panic(cantRun(err.Error()))
	}
}
