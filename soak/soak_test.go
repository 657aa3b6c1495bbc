package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "seed of the first run")
	runCount  = flag.Int("soak.runs", 2, "number of runs, with seeds that follow each other")
	duration  = flag.Duration("soak.time", 8*time.Second, "time of one run with faults")
)

// failedSeeds are seeds that failed once:
//   - 136, and 133 alike: a gateway that had just started refused a sound part for a minute, because it could not date
//     the answers that had refuted its crashes.
//   - 4788: bytes of an attempt that broke off stood before the next one's, answers to other requests and copies were
//     passed on; at 8f40204.
//   - 231: a sound part and a model were refused with a deadly part, and no request was tried for a minute.
var failedSeeds = []uint64{136, 231, 4788}

// faults injects faults into a fleet, one after the other; those that last overlap.
type faults struct {
	fleet  *fleet
	random *rand.Rand
	mu     sync.Mutex // guards the fields below
	// busy are the gateways with a lasting fault, outages the number of outages of the store that last.
	busy    map[*gateway]bool
	outages int
	// returning is set while the store comes back from a copy.
	returning bool
}

func (x *faults) span(least, most int) time.Duration {
	return time.Duration(least+x.random.IntN(most-least)) * time.Millisecond
}

// kinds returns the kinds of faults of a fleet on the platform; those that come more often are repeated. The store returns only
// if it states its era; without it, seeds play what they always did.
func (x *faults) kinds() []func() {
	all := []func(){x.freeze, x.kill, x.stop, x.reload, x.loseStore, x.crash, x.crash, x.leave, x.pause, x.pause,
		x.disturbStore, x.disturbUpstream, x.disturbUpstream, x.disturbUpstream, x.change, x.change, x.change}
	if x.fleet.eras {
		all = append(all, x.returnStore)
	}
	if x.fleet.endings {
		all = append(all, x.fallSilent)
	}
	return all
}

// run injects faults of some kinds until the context is done.
func (x *faults) run(ctx context.Context, kinds []func()) {
	for ctx.Err() == nil {
		kinds[x.random.IntN(len(kinds))]()
		select {
		case <-time.After(x.span(50, 500)):
		case <-ctx.Done():
		}
	}
}

// onGateway runs f, with a gateway or agent that has no lasting fault, in the background. forgets is set if its process may lose
// or miss what others know.
func (x *faults) onGateway(forgets bool, f func(g *gateway) error) {
	all := x.fleet.processes()
	g := all[x.random.IntN(len(all))]
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.busy[g] {
		return
	}
	x.busy[g] = true
	if forgets {
		x.fleet.faultsBegun.Add(1)
	}
	x.fleet.lasting.Go(func() {
		if err := f(g); err != nil {
			x.fleet.record.breach("%v", err)
		}
		if forgets {
			x.fleet.faultsEnded.Add(1)
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.busy, g)
	})
}

func (x *faults) freeze() {
	span := x.span(200, 2000)
	x.onGateway(true, func(g *gateway) error {
		return g.otherFaults.count(func() error {
			if err := g.signal(syscall.SIGSTOP); err != nil {
				return err
			}
			time.Sleep(span)
			return g.signal(syscall.SIGCONT)
		})
	})
}

func (x *faults) kill() {
	x.onGateway(true, func(g *gateway) error {
		return g.otherFaults.count(func() error { return g.restart(syscall.SIGKILL) })
	})
}

func (x *faults) stop() {
	x.onGateway(true, func(g *gateway) error {
		return g.stops.count(func() error { return g.restart(syscall.SIGTERM) })
	})
}

func (x *faults) reload() {
	x.onGateway(false, func(g *gateway) error { return g.signal(syscall.SIGHUP) })
}

func (x *faults) loseStore() {
	span := x.span(200, 1500)
	x.fleet.lasting.Go(func() {
		x.fleet.storeUp.pause()
		x.setOutages(1)
		time.Sleep(span)
		x.setOutages(-1)
		x.fleet.storeUp.resume()
	})
}

// fallSilent lets all upstreams fall silent, and reset their connections while two gateways stand still: these find the resets
// together with the time at which they look at the connections of silent upstreams.
func (x *faults) fallSilent() {
	span, before, after := x.span(1500, 2500), x.span(20, 200), x.span(100, 400)
	s := &silence{since: time.Now(), end: make(chan struct{})}
	if !x.fleet.silence.CompareAndSwap(nil, s) {
		return
	}
	x.fleet.lasting.Go(func() {
		time.Sleep(span)
		x.fleet.silence.Store(nil)
		close(s.end)
	})
	for range 2 {
		x.onGateway(true, func(g *gateway) error {
			return g.otherFaults.count(func() error {
				time.Sleep(span - before)
				if err := g.signal(syscall.SIGSTOP); err != nil {
					return err
				}
				time.Sleep(before + after)
				return g.signal(syscall.SIGCONT)
			})
		})
	}
}

// setOutages adds to the number of outages of the store that last.
func (x *faults) setOutages(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.outages += n
	status := 0
	if x.outages > 0 {
		status = http.StatusServiceUnavailable
	}
	x.fleet.store.SetStatus(status)
}

// disturb chooses whether a link is to delay, reset, hold back in one direction or silence its connections; what it
// returns does so and returns at the end.
func (x *faults) disturb(l *link) func() {
	span, delay := x.span(200, 1500), x.span(10, 150)
	return []func(){
		func() { l.slow(span, delay) },
		l.reset,
		func() { l.hold(span, request) },
		func() { l.hold(span, response) },
		func() { l.hold(span, request, response) },
	}[x.random.IntN(5)]
}

// disturbStore disturbs the link from a gateway or agent to the store.
func (x *faults) disturbStore() {
	all := x.fleet.processes()
	disturb := x.disturb(all[x.random.IntN(len(all))].storeLink)
	x.fleet.lasting.Go(func() {
		x.fleet.storeUp.pause()
		defer x.fleet.storeUp.resume()
		disturb()
	})
}

// disturbUpstream disturbs the links from all gateways to an upstream.
func (x *faults) disturbUpstream() {
	all := slices.Concat(x.fleet.engines, x.fleet.apps)
	if l := all[x.random.IntN(len(all))].currentLink(); l != nil {
		x.fleet.lasting.Go(x.disturb(l))
	}
}

// change changes the configuration, unless the store is out.
func (x *faults) change() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.outages == 0 {
		x.fleet.operator.change()
	}
}

func (x *faults) engine() *upstream { return x.fleet.engines[x.random.IntN(engineCount)] }

func (x *faults) crash() {
	if x.fleet.silence.Load() != nil {
		// All requests that wait there for their answers would count as the cause.
		return
	}
	u := x.engine()
	if process, ok := u.current(); ok && u.crash(process) {
		u.startAfter(x.span(500, 1500))
	}
}

func (x *faults) leave() {
	u, until := x.engine(), x.fleet.storeUp.read()+drainTime+x.span(300, 800)
	process, ok := u.leave()
	if !ok {
		return
	}
	x.fleet.lasting.Go(func() {
		for x.fleet.storeUp.read() < until || x.fleet.silence.Load() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		if u.crash(process) {
			u.startAfter(0)
		}
	})
}

func (x *faults) pause() {
	u := x.engine()
	u.pause()
}

// Guards against broken promises under faults that come in series and overlap: requests that run twice or although
// they were refused, bodies with pieces of other answers, cut bodies that look complete, upstreams that end by one part after the other, requests to
// upstreams that asked for a pause, requests with withdrawn keys, configurations that go back, and gateways that don't serve afterwards.
func TestSoak(t *testing.T) {
	for i := range *runCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, seed%2 == 0, true) })
	}
}

// Guards against faults that the soak has found before. In them the store did not return, and answers ended in fewer ways.
func TestSoakFailedSeeds(t *testing.T) {
	for _, seed := range failedSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, false, false) })
	}
}

func soak(t *testing.T, seed uint64, eras, endings bool) {
	play(t, seed, eras, endings, (*faults).kinds)
}

// play plays faults of some kinds. eras is set if the store states its era and may return, endings if answers end as those of real
// upstreams do.
func play(t *testing.T, seed uint64, eras, endings bool, kinds func(x *faults) []func()) {
	f := newFleet(t, seed, eras, endings)
	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range f.callers() {
		group.Go(func() { newCaller(f, i, seed).run(ctx) })
	}
	x := &faults{fleet: f, random: rand.New(rand.NewPCG(seed, 1_000_000)), busy: map[*gateway]bool{}}
	f.spoil.Store(true)
	f.cloud.SetAnswer(oddAnswers(seed))
	x.run(ctx, kinds(x))
	f.spoil.Store(false)
	f.cloud.SetAnswer(nil)
	group.Wait()
	f.lasting.Wait()
	f.waitReady()
	f.checkService()
	f.checkUsage()
	for _, b := range f.record.check() {
		t.Error(b)
	}
	f.checkTerms()
	// A gateway that ended or stood still may have lost or missed what was seen.
	faultCount := int(f.faultsBegun.Load())
	assert.Assert(t, f.record.deadlyEnds <= 3+faultCount, "%d upstreams ended by a part, %d gateways ended or stood still", f.record.deadlyEnds, faultCount)
	t.Logf("served %v, %d upstreams ended by a part, %d gateways ended or stood still, the store returned %d times, %d orders",
		f.record.served, f.record.deadlyEnds, faultCount, f.returns.Load(), f.orders)
}

// checkService waits until each gateway serves a request of each kind, and the last version of the configuration.
func (f *fleet) checkService() {
	f.t.Helper()
	c := newCaller(f, f.callers(), 0)
	for i, g := range f.gateways {
		for _, kind := range []string{"once", "read", "stream", "talk"} {
			f.waitServed(c, g, newCall(kind, fmt.Sprintf("%s-after-%d", kind, i)))
		}
		version := f.operator.current()
		f.waitServed(c, g, call{kind: "route", id: fmt.Sprint("route-after-", i), path: routeOf(version), key: keyOf(version)})
	}
}

// waitServed waits until a gateway serves a call.
func (f *fleet) waitServed(c *caller, g *gateway, q call) {
	f.t.Helper()
	id, n := q.id, 0
	for end := time.Now().Add(recoveryTime); c.send(g, q) != http.StatusOK; n++ {
		if time.Now().After(end) {
			f.t.Fatalf("%s does not serve /%s/ %v after the last fault", g.name, q.path, recoveryTime)
		}
		time.Sleep(50 * time.Millisecond)
		q.id = fmt.Sprint(id, "-", n)
	}
}
