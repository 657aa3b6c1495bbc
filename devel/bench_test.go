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
	// settleSpan lets a fleet come to rest after all sessions are open.
	settleSpan  = 2 * time.Second
	measureSpan = 4 * time.Second
	outageSpan  = 3 * time.Second
	// callsSpan covers a whole period of lists and watches.
	callsSpan = 120 * time.Second
)

// tap relays the connections to one address and counts their bytes.
type tap struct {
	listener net.Listener
	target   string
	sent     atomic.Int64 // by the side that dialled
	received atomic.Int64
	opened   atomic.Int64
	parts    sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func newTap(t testing.TB, target string) *tap {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &tap{listener: l, target: target}
	p.parts.Go(p.accept)
	return p
}

func (p *tap) accept() {
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
		p.opened.Add(1)
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.parts.Go(func() { relay(out, in, &p.sent) })
		p.parts.Go(func() { relay(in, out, &p.received) })
	}
}

func relay(to, from net.Conn, count *atomic.Int64) {
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

func (p *tap) close() {
	p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.parts.Wait()
}

// taps are those of all processes with one role.
type taps []*tap

func (l taps) sum(value func(*tap) *atomic.Int64) float64 {
	n := int64(0)
	for _, p := range l {
		n += value(p).Load()
	}
	return float64(n)
}

func sent(p *tap) *atomic.Int64     { return &p.sent }
func received(p *tap) *atomic.Int64 { return &p.received }

// tapped is a running fleet at rest, whose sessions are counted.
type tapped struct {
	*devel.Fleet
	agents, gateways taps
}

func startTapped(b *testing.B, gateways, agents int) *tapped {
	o := devel.Default()
	o.Gateways, o.Engines, o.Services = gateways, 0, agents
	f, err := devel.New(o)
	assert.NilError(b, err)
	w := &tapped{Fleet: f}
	for i, a := range f.Agents {
		p := newTap(b, a.Addr().String())
		w.agents = append(w.agents, p)
		w.list(fmt.Sprint("service", i), vms.RoleUpstream, o.Zones[i%len(o.Zones)], p)
	}
	for i, g := range f.Gateways {
		p := newTap(b, g.Gate().PeerAddr().String())
		w.gateways = append(w.gateways, p)
		w.list(fmt.Sprint("gateway", i), vms.RoleEntry, o.Zones[i%len(o.Zones)], p)
	}
	f.Start()
	write(b, f, &tree.Team{Customers: []tree.Customer{{ID: "court", Rate: 1000, Burst: 1000}}}, 0)
	eventually(b, "fleet is ready", f.Ready)
	return w
}

func (w *tapped) list(id, role string, zone any, p *tap) {
	w.VMs.Set(vms.VM{ID: id, Role: role, Address: p.listener.Addr().String(), Zone: fmt.Sprint(zone), State: vms.StateLive})
}

func (w *tapped) stop(b *testing.B) {
	for _, p := range append(w.agents, w.gateways...) {
		p.close()
	}
	assert.NilError(b, w.Stop())
}

// reading is what is counted at one moment.
type reading struct {
	at                      time.Time
	cpu                     time.Duration
	calls                   keyval.CallCounts
	agentSent, agentReceive float64
	gateSent, gateReceive   float64
}

func (w *tapped) read() reading {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return reading{
		at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), calls: w.Store.Calls(),
		agentSent: w.agents.sum(sent), agentReceive: w.agents.sum(received),
		gateSent: w.gateways.sum(sent), gateReceive: w.gateways.sum(received),
	}
}

// BenchmarkIdleFleet shows what a fleet without requests costs: bytes a second of
// each session in both directions, without TCP and IP headers, calls to the store
// a second and gateway, and the processor time of the whole process, which includes
// the stand-ins and the relays that count.
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
	w := startTapped(b, gateways, agents)
	defer w.stop(b)
	began := w.Store.Calls()
	time.Sleep(settleSpan)
	x := w.read()
	time.Sleep(measureSpan)
	y := w.read()
	seconds := y.at.Sub(x.at).Seconds()
	g, links := float64(gateways), float64(gateways*agents)
	peers := float64(gateways * (gateways - 1))
	b.ReportMetric((y.agentSent-x.agentSent)/seconds/links, "to-agent-B/s-link")
	b.ReportMetric((y.agentReceive-x.agentReceive)/seconds/links, "from-agent-B/s-link")
	if peers > 0 {
		b.ReportMetric((y.gateSent-x.gateSent)/seconds/peers, "to-gateway-B/s-link")
		b.ReportMetric((y.gateReceive-x.gateReceive)/seconds/peers, "from-gateway-B/s-link")
	}
	b.ReportMetric(float64(y.calls.Total()-x.calls.Total())/seconds, "store-calls/s")
	b.ReportMetric(float64(y.calls.Range-x.calls.Range)/seconds, "store-reads/s")
	b.ReportMetric(float64(y.calls.KeepAlive-x.calls.KeepAlive)/seconds, "store-renewals/s")
	b.ReportMetric(float64(y.calls.Txn+y.calls.Put-x.calls.Txn-x.calls.Put)/seconds, "store-writes/s")
	b.ReportMetric(float64(began.Total())/g, "start-calls/gateway")
	b.ReportMetric(float64(began.Watch)/g, "start-watches/gateway")
	b.ReportMetric((y.cpu-x.cpu).Seconds()*1e6/seconds, "cpu-us/s-process")
	b.ReportMetric(float64(runtime.NumGoroutine()), "goroutines")
	b.ReportMetric(float64(inUse())/1024, "KB-process")
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkStoreOutage shows the calls to the store in an outage of all calls, and
// in the three seconds after it.
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
	w := startTapped(b, gateways, 4)
	defer w.stop(b)
	time.Sleep(settleSpan)
	g := float64(gateways)
	x := w.Store.Calls()
	w.Store.SetOutage(true)
	time.Sleep(outageSpan)
	y := w.Store.Calls()
	w.Store.SetOutage(false)
	time.Sleep(time.Second)
	z := w.Store.Calls()
	time.Sleep(time.Second)
	last := w.Store.Calls()
	time.Sleep(time.Second)
	end := w.Store.Calls()
	b.ReportMetric(float64(y.Total()-x.Total())/outageSpan.Seconds()/g, "outage-calls/s-gateway")
	b.ReportMetric(float64(z.Total()-y.Total())/g, "first-second-calls/gateway")
	b.ReportMetric(float64(z.Watch-y.Watch)/g, "first-second-watches/gateway")
	b.ReportMetric(float64(last.Total()-z.Total())/g, "second-second-calls/gateway")
	b.ReportMetric(float64(end.Total()-last.Total())/g, "third-second-calls/gateway")
}

// BenchmarkStoreCalls counts the calls of idle fleets over longer than the renewal of
// watches and lists takes. The three fleets run at the same time.
func BenchmarkStoreCalls(b *testing.B) {
	for b.Loop() {
		var fleets []*tapped
		var before []keyval.CallCounts
		for _, gateways := range []int{1, 2, 4} {
			fleets = append(fleets, startTapped(b, gateways, 1))
		}
		time.Sleep(settleSpan)
		for _, w := range fleets {
			before = append(before, w.Store.Calls())
		}
		time.Sleep(callsSpan)
		for i, w := range fleets {
			c := w.Store.Calls()
			name := fmt.Sprintf("/s-of-%d", len(w.Gateways))
			b.ReportMetric(float64(c.Total()-before[i].Total())/callsSpan.Seconds(), "calls"+name)
			b.ReportMetric(float64(c.Range-before[i].Range)/callsSpan.Seconds(), "reads"+name)
			b.ReportMetric(float64(c.Watch-before[i].Watch)/callsSpan.Seconds(), "watches"+name)
		}
		for _, w := range fleets {
			w.stop(b)
		}
	}
}
