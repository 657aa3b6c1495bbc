// Command stand plays the cases of the review: stand-ins of the platform's store, of replicas and of callers, around gateways that
// are started as deploy/system.toml starts them. All addresses are loopback addresses.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

var quiet = log.New(io.Discard, "", 0)

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// World is what a case starts, and the record of it.
type World struct {
	root, folder, temp string
	store              *Store
	gateways           []*Gateway
	started            time.Time

	mu     sync.Mutex
	lines  []line
	runs   []run
	sent   map[string]time.Time
	nextID int
	client *http.Client
}

type line struct {
	at   time.Time
	text string
}

// run is a request that a replica has begun to run.
type run struct {
	request, replica string
	at               time.Time
}

// NewWorld makes the folder for temporary files and starts the store.
func NewWorld(root, folder string) (*World, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := NewStore("127.0.10.1")
	if err != nil {
		return nil, err
	}
	return &World{
		root: root, folder: folder, temp: temp, store: s, started: time.Now(), sent: map[string]time.Time{},
		client: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}, nil
}

func (w *World) log(kind, a, b string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line{time.Now(), strings.TrimRight(kind+" "+a+" "+b, " ")})
}

// note writes to the record and to standard output.
func (w *World) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.log("note", text, "")
	fmt.Printf("%8.3f  %s\n", time.Since(w.started).Seconds(), text)
}

func (w *World) arrived(request, replica string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.runs = append(w.runs, run{request, replica, now})
	w.lines = append(w.lines, line{now, "runs " + request + " at " + replica})
}

// Runs returns the requests that replicas began to run, oldest first.
func (w *World) Runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// SentAt returns when a caller sent the request.
func (w *World) SentAt(request string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[request]
}

// Close ends all processes that were started and writes the record.
func (w *World) Close() {
	for _, g := range w.gateways {
		g.Kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.lines, func(a, b line) int { return a.at.Compare(b.at) })
	var b bytes.Buffer
	for _, l := range w.lines {
		fmt.Fprintf(&b, "%9.4f %s\n", l.at.Sub(w.started).Seconds(), l.text)
	}
	if err := os.WriteFile(filepath.Join(w.folder, "record.txt"), b.Bytes(), 0o644); err != nil {
		fmt.Println(err)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("kept", w.temp)
	}
}

// Gateway is a process of the role entry.
type Gateway struct {
	// storeAddress is where the gateway finds the store, if not at its own address.
	storeAddress            string
	world                   *World
	name, zone, ip          string
	front, ready, firstPort int
	cmd                     *exec.Cmd
	done                    chan struct{}
	starts                  int
	startedAt               time.Time
}

// freePort returns a free TCP port of the address with free ports behind it, for TCP and UDP.
func freePort(ip string, n int) int {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			continue
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if port+n > 65000 {
			continue
		}
		free := true
		for i := range n {
			a := net.JoinHostPort(ip, strconv.Itoa(port+i))
			t, err := net.Listen("tcp", a)
			if err != nil {
				free = false
				break
			}
			_ = t.Close()
			u, err := net.ListenPacket("udp", a)
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			return port
		}
	}
	panic("no free port")
}

// AddGateway makes a gateway in the zone, on an address of its own.
func (w *World) AddGateway(zone string) *Gateway {
	n := len(w.gateways) + 1
	ip := fmt.Sprintf("127.0.11.%d", n)
	g := &Gateway{world: w, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: ip}
	g.firstPort = freePort(ip, 16)
	g.front = freePort(ip, 1)
	g.ready = freePort(ip, 1)
	w.gateways = append(w.gateways, g)
	return g
}

const settings = `nodeName = "%[1]s"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "%[2]s"
zone = "%[3]s"
region = "cz-central"
portRange = [%[4]d,%[5]d]
bootstrap = %[6]t
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","places","platform"]
[zones]
zone-a = "cz-central"
zone-b = "cz-central"
zone-c = "cz-central"
[listen]
front = "%[2]s:%[7]d"
ready = "%[2]s:%[8]d"
[limits]
cpuShare = 0.304
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
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
retrySlack = 54
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 17000
coldOver = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFencing = true
leaseTtlMs = 3000
thawMs = 300
originWindowS = 5
originOver = 1.1
[platform]
address = "%[9]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// Start starts the process.
func (g *Gateway) Start() error {
	file := filepath.Join(g.world.temp, g.name+".toml")
	text := fmt.Sprintf(settings, g.name, g.ip, g.zone, g.firstPort, g.firstPort+15, g.starts == 0, g.front, g.ready, cmpOr(g.storeAddress, g.world.store.Address()))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(g.world.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(filepath.Join(g.world.root, "target", "magnolialever"), "entry")
	g.cmd.Dir = g.world.root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIALEVER_BOOT=" + file}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		g.cmd = nil
		_ = out.Close()
		return err
	}
	_ = out.Close()
	g.starts++
	g.startedAt = time.Now()
	g.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(g.cmd, g.done)
	g.world.log("start", g.name, "")
	return nil
}

// Kill ends the process with SIGKILL, if it runs.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.done
	g.cmd = nil
	g.world.log("kill", g.name, "")
}

// Ready reports whether the gateway says that it is ready.
func (g *Gateway) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", g.ip, g.ready), nil)
	res, err := g.world.client.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == 200
}

// StartAll starts all gateways and waits until they are ready.
func (w *World) StartAll() error {
	for _, g := range w.gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return w.AwaitReady(15 * time.Second)
}

// AwaitReady waits until all gateways are ready.
func (w *World) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !g.Ready() {
			if time.Now().After(end) {
				return errors.New(g.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

const (
	host   = "svc.example"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

// Reply is what a caller got.
type Reply struct {
	id         string
	status     int
	retryAfter time.Duration
	err        error
}

// Call sends one attempt of a caller to the gateway, on a new connection and with an id of its own.
func (w *World) Call(g *Gateway, path string, deadline time.Duration) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", g.ip, g.front, path), nil)
	if err != nil {
		return Reply{err: err}
	}
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("r%07d", w.nextID)
	now := time.Now()
	w.sent[id] = now
	w.lines = append(w.lines, line{now, "sent " + id + " " + path + " to " + g.name})
	w.mu.Unlock()
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	res, err := w.client.Do(r)
	if err != nil {
		w.log("ended", id, "no answer")
		return Reply{id: id, err: err}
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	w.log("answered", id, strconv.Itoa(res.StatusCode))
	after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return Reply{id: id, status: res.StatusCode, retryAfter: time.Duration(after * float64(time.Second)), err: err}
}
