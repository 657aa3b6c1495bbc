package devel_test

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/tree"
)

const (
	// settleTime is the delay after which the start-up traffic of a fleet has ended.
	settleTime  = 2 * time.Second
	measureTime = 4 * time.Second
	outageTime  = 3 * time.Second
	// callCountTime is longer than the periods at which gateways renew lists and watches.
	callCountTime = 120 * time.Second
)

// countingProxy forwards TCP connections to one address and counts their bytes.
type countingProxy struct {
	listener      net.Listener
	target        string
	sentBytes     atomic.Int64 // from the side that opened the connection
	receivedBytes atomic.Int64
	openedConns   atomic.Int64
	goroutines    sync.WaitGroup
	mu            sync.Mutex
	conns         []net.Conn
}

func newCountingProxy(t testing.TB, target string) *countingProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &countingProxy{listener: l, target: target}
	p.goroutines.Go(p.accept)
	return p
}

func (p *countingProxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		p.openedConns.Add(1)
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.goroutines.Go(func() { copyCounting(out, in, &p.sentBytes) })
		p.goroutines.Go(func() { copyCounting(in, out, &p.receivedBytes) })
	}
}

// copyCounting copies the bytes of one direction and adds their number to count. At its end it closes
// both connections.
func copyCounting(to, from net.Conn, count *atomic.Int64) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		count.Add(int64(n))
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *countingProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}

// proxies are the proxies of all gateways or of all agents.
type proxies []*countingProxy

func (l proxies) sum(value func(*countingProxy) *atomic.Int64) float64 {
	n := int64(0)
	for _, p := range l {
		n += value(p).Load()
	}
	return float64(n)
}

func sent(p *countingProxy) *atomic.Int64     { return &p.sentBytes }
func received(p *countingProxy) *atomic.Int64 { return &p.receivedBytes }

// proxiedFleet is an idle fleet whose members connect to each other through counting proxies.
type proxiedFleet struct {
	*devel.Fleet
	agents, gateways proxies
}

// startProxiedFleet starts a fleet of gateways and plain services and waits until it is ready.
func startProxiedFleet(b *testing.B, gateways, agents int) *proxiedFleet {
	o := devel.Default()
	o.GatewayCount, o.EngineCount, o.ServiceCount = gateways, 0, agents
	f, err := devel.New(o)
	assert.NilError(b, err)
	w := &proxiedFleet{Fleet: f}
	for i, a := range f.Agents {
		p := newCountingProxy(b, a.Addr().String())
		w.agents = append(w.agents, p)
		w.setVMAddress(fmt.Sprint("service", i), vms.RoleUpstream, o.Zones[i%len(o.Zones)], p)
	}
	for i, g := range f.Gateways {
		p := newCountingProxy(b, g.Gate().PeerAddr().String())
		w.gateways = append(w.gateways, p)
		w.setVMAddress(fmt.Sprint("gateway", i), vms.RoleEntry, o.Zones[i%len(o.Zones)], p)
	}
	f.Start()
	writeTeam(b, f, &tree.Team{Customers: []tree.Customer{{ID: "court", Rate: 1000, Burst: 1000}}}, 0)
	waitFor(b, "fleet is ready", f.Ready)
	return w
}

// setVMAddress replaces the address of a member in the VM list with that of its proxy.
func (w *proxiedFleet) setVMAddress(id, role string, zone any, p *countingProxy) {
	w.VMs.Set(vms.VM{ID: id, Role: role, Address: p.listener.Addr().String(), Zone: fmt.Sprint(zone), State: vms.StateLive})
}

func (w *proxiedFleet) stop(b *testing.B) {
	for _, p := range append(w.agents, w.gateways...) {
		p.close()
	}
	assert.NilError(b, w.Stop())
}

// measurement holds the counters at one time. The CPU time is that of the whole process; the traffic
// is in bytes since the start, named by the side that accepted the connection.
type measurement struct {
	time                     time.Time
	cpu                      time.Duration
	calls                    keyval.CallCounts
	toAgents, fromAgents     float64
	toGateways, fromGateways float64
}

func (w *proxiedFleet) measure() measurement {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return measurement{
		time: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), calls: w.Store.Calls(),
		toAgents: w.agents.sum(sent), fromAgents: w.agents.sum(received),
		toGateways: w.gateways.sum(sent), fromGateways: w.gateways.sum(received),
	}
}

// BenchmarkIdleFleet measures a fleet without requests: bytes per second of each session in both
// directions without TCP and IP headers, calls to the store per second, and the CPU time of the whole
// process, which includes the fakes and the counting proxies.
func BenchmarkIdleFleet(b *testing.B) {
	for _, z := range []struct{ gateways, agents int }{{1, 4}, {2, 4}, {4, 4}, {8, 4}, {1, 16}, {2, 16}, {4, 16}, {4, 32}} {
		b.Run(fmt.Sprintf("gateways=%d/agents=%d", z.gateways, z.agents), func(b *testing.B) {
			for b.Loop() {
				benchIdle(b, z.gateways, z.agents)
			}
		})
	}
}

func benchIdle(b *testing.B, gateways, agents int) {
	w := startProxiedFleet(b, gateways, agents)
	defer w.stop(b)
	startCalls := w.Store.Calls()
	time.Sleep(settleTime)
	before := w.measure()
	time.Sleep(measureTime)
	after := w.measure()
	seconds := after.time.Sub(before.time).Seconds()
	gatewayCount, links := float64(gateways), float64(gateways*agents)
	peers := float64(gateways * (gateways - 1))
	b.ReportMetric((after.toAgents-before.toAgents)/seconds/links, "to-agent-B/s-link")
	b.ReportMetric((after.fromAgents-before.fromAgents)/seconds/links, "from-agent-B/s-link")
	if peers > 0 {
		b.ReportMetric((after.toGateways-before.toGateways)/seconds/peers, "to-gateway-B/s-link")
		b.ReportMetric((after.fromGateways-before.fromGateways)/seconds/peers, "from-gateway-B/s-link")
	}
	b.ReportMetric(float64(after.calls.Total()-before.calls.Total())/seconds, "store-calls/s")
	b.ReportMetric(float64(after.calls.Range-before.calls.Range)/seconds, "store-reads/s")
	b.ReportMetric(float64(after.calls.KeepAlive-before.calls.KeepAlive)/seconds, "store-renewals/s")
	b.ReportMetric(float64(after.calls.Txn+after.calls.Put-before.calls.Txn-before.calls.Put)/seconds, "store-writes/s")
	b.ReportMetric(float64(startCalls.Total())/gatewayCount, "start-calls/gateway")
	b.ReportMetric(float64(startCalls.Watch)/gatewayCount, "start-watches/gateway")
	b.ReportMetric((after.cpu-before.cpu).Seconds()*1e6/seconds, "cpu-us/s-process")
	b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
	b.ReportMetric(float64(memoryInUse())/1024, "KB-process")
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkStoreOutage counts the calls to the store while all of them fail, and in each of the three
// seconds afterwards.
func BenchmarkStoreOutage(b *testing.B) {
	for _, gateways := range []int{1, 2, 4} {
		b.Run(fmt.Sprint("gateways=", gateways), func(b *testing.B) {
			for b.Loop() {
				benchOutage(b, gateways)
			}
		})
	}
}

func benchOutage(b *testing.B, gateways int) {
	w := startProxiedFleet(b, gateways, 4)
	defer w.stop(b)
	time.Sleep(settleTime)
	gatewayCount := float64(gateways)
	beforeOutage := w.Store.Calls()
	w.Store.SetOutage(true)
	time.Sleep(outageTime)
	atEnd := w.Store.Calls()
	w.Store.SetOutage(false)
	time.Sleep(time.Second)
	afterSecond1 := w.Store.Calls()
	time.Sleep(time.Second)
	afterSecond2 := w.Store.Calls()
	time.Sleep(time.Second)
	afterSecond3 := w.Store.Calls()
	b.ReportMetric(float64(atEnd.Total()-beforeOutage.Total())/outageTime.Seconds()/gatewayCount, "outage-calls/s-gateway")
	b.ReportMetric(float64(afterSecond1.Total()-atEnd.Total())/gatewayCount, "first-second-calls/gateway")
	b.ReportMetric(float64(afterSecond1.Watch-atEnd.Watch)/gatewayCount, "first-second-watches/gateway")
	b.ReportMetric(float64(afterSecond2.Total()-afterSecond1.Total())/gatewayCount, "second-second-calls/gateway")
	b.ReportMetric(float64(afterSecond3.Total()-afterSecond2.Total())/gatewayCount, "third-second-calls/gateway")
}

// BenchmarkStoreCalls counts the calls of idle fleets over a time longer than the renewal periods of
// watches and lists. The three fleets run concurrently.
func BenchmarkStoreCalls(b *testing.B) {
	for b.Loop() {
		var fleets []*proxiedFleet
		var before []keyval.CallCounts
		for _, gateways := range []int{1, 2, 4} {
			fleets = append(fleets, startProxiedFleet(b, gateways, 1))
		}
		time.Sleep(settleTime)
		for _, w := range fleets {
			before = append(before, w.Store.Calls())
		}
		time.Sleep(callCountTime)
		for i, w := range fleets {
			c := w.Store.Calls()
			name := fmt.Sprintf("/s-of-%d", len(w.Gateways))
			b.ReportMetric(float64(c.Total()-before[i].Total())/callCountTime.Seconds(), "calls"+name)
			b.ReportMetric(float64(c.Range-before[i].Range)/callCountTime.Seconds(), "reads"+name)
			b.ReportMetric(float64(c.Watch-before[i].Watch)/callCountTime.Seconds(), "watches"+name)
		}
		for _, w := range fleets {
			w.stop(b)
		}
	}
}
