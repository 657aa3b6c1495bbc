package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	drainGateways, drainEngines = 3, 8
	stopGraceSeconds            = 8
	stopGrace                   = stopGraceSeconds * time.Second
	// lastSixth is when the last sixth of the period of grace begins, and excusedUntil until when a request is sent whose
	// loss is excused by an upstream at work then; both from SIGTERM.
	lastSixth, excusedUntil = stopGrace * 5 / 6, 3 * time.Second
	// lossSlack is the platform's bound on the end of a connection without an answer to a request that was not passed on,
	// configApply the time after SIGHUP in which requests are sent that count.
	lossSlack, configApply = 200 * time.Millisecond, 2 * time.Second
	// routedFor is how long after SIGTERM callers open connections: the platform routes here for 2.5 s.
	routedFor = 2300 * time.Millisecond
	// drainTimeout is the time limit of most requests and of the routes. A caller may measure limitSlack less.
	drainTimeout, limitSlack = 20 * time.Second, 100 * time.Millisecond
	// warmUp is for the runs, 20 of each kind, by which a gateway judges how long like requests take.
	warmUp = 2200 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 40 * time.Millisecond
	// steadyCallers, keptCallers and lateCallers are the callers of each gateway and kind.
	steadyCallers, keptCallers, lateCallers = 6, 4, 24
)

// slowEngines are upstreams that write an event each eventPause and fall silent together.
type slowEngines struct {
	mu sync.Mutex // guards the fields below
	// silentFrom and silentUntil bound the silence.
	silentFrom, silentUntil time.Time
	// begun counts the runs of requests that have begun, running those that have not ended; endedAt is the end of the last.
	begun, running map[string]int
	endedAt        map[string]time.Time
}

// serve answers a request with as many events as its body says.
func (e *slowEngines) serve(r *fakes.Request) {
	e.count(r.RequestID, 1)
	defer e.count(r.RequestID, -1)
	last, _ := strconv.Atoi(r.Body)
	resumed, _ := strconv.Atoi(r.LastEventID)
	e.awaitSpeech()
	r.WriteRaw(fakes.Head(r.RequestID, "200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := resumed + 1; i <= last; i++ {
		time.Sleep(eventPause)
		e.awaitSpeech()
		if r.TryChunk(fakes.Event(i)) != nil {
			return
		}
	}
	r.WriteRaw("0\r\n\r\n")
}

// count adds to the running runs of a request.
func (e *slowEngines) count(id string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] += n
	e.begun[id] += max(n, 0)
	e.endedAt[id] = time.Now()
}

// awaitSpeech waits for the end of the silence if it has begun.
func (e *slowEngines) awaitSpeech() {
	e.mu.Lock()
	from, until := e.silentFrom, e.silentUntil
	e.mu.Unlock()
	if time.Now().After(from) {
		time.Sleep(time.Until(until))
	}
}

// workedAt reports whether an upstream was still at work on a request at a time.
func (e *slowEngines) workedAt(id string, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id] > 0 || e.endedAt[id].After(at)
}

// stoppedGateway is a gateway with the planned work on it.
type stoppedGateway struct {
	*gateway
	// stopAt is when SIGTERM is due, zero for a gateway that stays.
	stopAt time.Time

	mu sync.Mutex // guards the fields below
	// terminated and hungUp are when SIGTERM and SIGHUP were sent.
	terminated, hungUp time.Time
}

// exchange is a request as its caller saw it.
type exchange struct {
	id              string
	sentAt, endedAt time.Time
	limit           time.Duration
	// whole is set if the answer was complete, refusals and errors included.
	whole  bool
	status int
}

// drain plays planned stops of gateways.
type drain struct {
	*fleet
	engines  *slowEngines
	gateways []*stoppedGateway
	nextID   atomic.Int64
	// sent, late, lateRun and cut count the requests: all, those sent later than excusedUntil after SIGTERM, those of them that
	// an upstream ran, and those without a whole answer.
	sent, late, lateRun, cut atomic.Int64
}

func newDrain(t *testing.T, seed uint64) *drain {
	t.Helper()
	d := &drain{
		fleet:   &fleet{t: t, store: fakes.NewStore(), record: newRecord(), seed: seed},
		engines: &slowEngines{begun: map[string]int{}, running: map[string]int{}, endedAt: map[string]time.Time{}},
	}
	config := fakes.Config(1, apiKey)
	fakes.SetTimeouts(config, int(drainTimeout.Milliseconds()))
	d.store.Put(fakes.ConfigKey, config)
	for i := range drainEngines {
		id := fmt.Sprint("engine-", i)
		replica, err := fakes.NewReplica(id, d.engines.serve)
		assert.NilError(t, err)
		t.Cleanup(replica.Close)
		replica.AddModel("small")
		d.store.Put(fakes.UpstreamKeyPrefix+id, replica.Description(fakes.EngineService, "zone-a", "ready"))
	}
	t.Cleanup(d.close)
	for i := range drainGateways {
		g := newGateway(t, fmt.Sprint("gate-", i), d.store.Addr(), stopGraceSeconds)
		assert.NilError(t, g.start())
		d.fleet.gateways = append(d.fleet.gateways, g)
		d.gateways = append(d.gateways, &stoppedGateway{gateway: g})
	}
	d.waitReady()
	return d
}

// isLost reports whether a request counts as lost by planned work: a process has read it and its connection ended without a
// whole answer, once it was passed on or later than lossSlack, and no excuse holds.
func (d *drain) isLost(g *stoppedGateway, x exchange) bool {
	if x.whole || d.runs(x.id) == 0 && x.endedAt.Sub(x.sentAt) <= lossSlack || x.endedAt.Sub(x.sentAt) >= x.limit-limitSlack {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	work := g.terminated.Add(lastSixth)
	if !g.terminated.IsZero() && x.sentAt.Sub(g.terminated) <= excusedUntil && x.endedAt.After(work) && d.engines.workedAt(x.id, work) {
		return false
	}
	stopped := !g.terminated.IsZero() && x.endedAt.After(g.terminated) && x.endedAt.Sub(g.terminated) <= stopGrace+time.Second
	return stopped || !g.hungUp.IsZero() && x.endedAt.After(g.hungUp) && x.sentAt.Sub(g.hungUp) <= configApply
}

// runs returns how often upstreams ran a request.
func (d *drain) runs(id string) int {
	d.engines.mu.Lock()
	defer d.engines.mu.Unlock()
	return d.engines.begun[id]
}

// add counts a request and records a breach if it is lost.
func (d *drain) add(g *stoppedGateway, x exchange) {
	g.mu.Lock()
	terminated := g.terminated
	g.mu.Unlock()
	after := x.sentAt.Sub(terminated)
	d.sent.Add(1)
	if !terminated.IsZero() && after > excusedUntil {
		d.late.Add(1)
		d.lateRun.Add(int64(min(d.runs(x.id), 1)))
	}
	if !x.whole {
		d.cut.Add(1)
	}
	if d.isLost(g, x) {
		d.record.breach("request %s at %s: lost %v after it was sent, sent %v after SIGTERM, status %d, %d runs", x.id, g.name,
			x.endedAt.Sub(x.sentAt), after, x.status, d.runs(x.id))
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// open opens a connection. It returns nil if the gateway takes none.
func (g *stoppedGateway) open() *callerConn {
	c, err := net.Dial("tcp", g.public)
	if err != nil {
		return nil
	}
	return &callerConn{c, bufio.NewReader(c)}
}

// stream sends a request for a stream on a connection and checks its end. It reports whether the connection is kept.
func (d *drain) stream(g *stoppedGateway, c *callerConn, kind string, events int, limit time.Duration) bool {
	x := exchange{id: fmt.Sprintf("%s-%d", kind, d.nextID.Add(1)), limit: limit}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.public+"/"+kind+"/a", strings.NewReader(strconv.Itoa(events)))
	if err != nil {
		d.record.breach("request %s: %v", x.id, err)
		return false
	}
	req.Header, req.Host = fakes.RequestHeader(x.id, apiKey, "small", int(limit.Milliseconds())), fakes.Host
	fakes.SetTokens(req.Header, 100, events)
	fakes.SetPromptParts(req.Header, "own-"+x.id)
	if req.Write(c) != nil {
		// The process has not read it.
		return false
	}
	x.sentAt = time.Now()
	res, err := http.ReadResponse(c.reader, req)
	var body []byte
	if err == nil {
		x.status = res.StatusCode
		body, err = io.ReadAll(res.Body)
	}
	x.whole, x.endedAt = err == nil, time.Now()
	d.add(g, x)
	if x.whole && x.status == http.StatusOK && string(body) != eventsUpTo(events) {
		d.record.breach("request %s: body looks complete: %q", x.id, body)
	}
	return x.whole && !res.Close
}

// eventsUpTo returns the body of a stream.
func eventsUpTo(last int) string {
	body := ""
	for i := range last {
		body += fakes.Event(i + 1)
	}
	return body
}

// shortEvents returns the length of a stream that takes about half a second; all have sizes that a gateway compares.
func shortEvents(random *rand.Rand) int { return 8 + random.IntN(8) }

// between returns a time between two.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// callSteadily sends short streams one after the other on kept connections, and opens others while callers are routed here.
func (d *drain) callSteadily(g *stoppedGateway, kind string, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) && (g.stopAt.IsZero() || time.Since(g.stopAt) < routedFor) {
		if c := g.open(); c != nil {
			for time.Now().Before(until) && d.stream(g, c, kind, shortEvents(random), drainTimeout) {
			}
			c.Close()
		}
		time.Sleep(eventPause)
	}
}

// callAgain has a stream whose head goes out before SIGTERM, so that its connection is kept, and which ends 3 to 7 s after it.
// It sends the next ones at once.
func (d *drain) callAgain(g *stoppedGateway, kind string, random *rand.Rand) {
	lead := between(random, 200*time.Millisecond, 600*time.Millisecond)
	time.Sleep(time.Until(g.stopAt.Add(-lead)))
	if c := g.open(); c != nil {
		defer c.Close()
		events := int((lead + between(random, 3*time.Second, 7*time.Second)) / eventPause)
		for d.stream(g, c, kind, events, drainTimeout) {
			events = shortEvents(random)
		}
	}
}

// callLate opens a connection while callers are routed here and sends its first request afterwards.
func (d *drain) callLate(g *stoppedGateway, kind string, random *rand.Rand) {
	time.Sleep(time.Until(g.stopAt.Add(between(random, 0, routedFor))))
	c := g.open()
	if c == nil {
		return
	}
	defer c.Close()
	limit := drainTimeout
	if random.IntN(4) == 0 {
		limit = between(random, 300*time.Millisecond, 3*time.Second)
	}
	at := between(random, excusedUntil, 7*time.Second)
	if random.IntN(2) == 0 {
		// These are the most likely to be under way when the upstreams fall silent.
		at = between(random, 5*time.Second, 7*time.Second)
	}
	time.Sleep(time.Until(g.stopAt.Add(at)))
	for d.stream(g, c, kind, shortEvents(random), limit) {
	}
}

// hangUp sends SIGHUP to a gateway.
func (d *drain) hangUp(g *stoppedGateway, at time.Time) {
	time.Sleep(time.Until(at))
	g.mu.Lock()
	g.hungUp = time.Now()
	g.mu.Unlock()
	if err := g.signal(syscall.SIGHUP); err != nil {
		d.record.breach("%v", err)
	}
}

// stop stops a gateway and starts its next process.
func (d *drain) stop(g *stoppedGateway) {
	time.Sleep(time.Until(g.stopAt))
	g.mu.Lock()
	g.terminated = time.Now()
	g.mu.Unlock()
	if err := g.restart(syscall.SIGTERM); err != nil {
		d.record.breach("%v", err)
	}
}

// Guards against requests that a planned stop loses: those that come late, on connections that were kept or opened before, are
// passed on, and are cut at the end of the stop as their upstreams are silent for a while; and those cut beside SIGHUP.
func TestSoakDrain(t *testing.T) {
	for i := range *runCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soakDrain(t, seed) })
	}
}

func soakDrain(t *testing.T, seed uint64) {
	d := newDrain(t, seed)
	random := rand.New(rand.NewPCG(seed, 3_000_000))
	first, second, stays := d.gateways[0], d.gateways[1], d.gateways[2]
	first.stopAt = time.Now().Add(warmUp)
	second.stopAt = first.stopAt.Add(between(random, 1500*time.Millisecond, 2500*time.Millisecond))
	silenced := d.gateways[random.IntN(2)]
	d.engines.mu.Lock()
	d.engines.silentFrom = silenced.stopAt.Add(between(random, 6*time.Second, 6600*time.Millisecond))
	d.engines.silentUntil = d.engines.silentFrom.Add(between(random, 1400*time.Millisecond, 1600*time.Millisecond))
	d.engines.mu.Unlock()
	until := second.stopAt.Add(stopGrace)
	var group sync.WaitGroup
	callers := uint64(0)
	call := func(f func(random *rand.Rand)) {
		callers++
		own := rand.New(rand.NewPCG(seed, callers))
		group.Go(func() { f(own) })
	}
	for _, g := range d.gateways {
		for _, kind := range []string{"stream", "talk"} {
			for range steadyCallers {
				call(func(r *rand.Rand) { d.callSteadily(g, kind, r, until) })
			}
			if g == stays {
				continue
			}
			for range keptCallers {
				call(func(r *rand.Rand) { d.callAgain(g, kind, r) })
			}
			for range lateCallers {
				call(func(r *rand.Rand) { d.callLate(g, kind, r) })
			}
		}
	}
	for _, g := range []*stoppedGateway{first, second} {
		at := g.stopAt.Add(between(random, -500*time.Millisecond, 2*time.Second))
		group.Go(func() { d.hangUp(g, at) })
		group.Go(func() { d.stop(g) })
	}
	stayAt := second.stopAt.Add(between(random, 0, 4*time.Second))
	group.Go(func() { d.hangUp(stays, stayAt) })
	group.Wait()
	d.waitReady()
	broken := d.record.check()
	slices.Sort(broken)
	for _, b := range broken {
		t.Error(b)
	}
	assert.Check(t, d.late.Load() > 0, "no request was sent late into a stop")
	t.Logf("%d requests, %d without a whole answer, %d sent later than %v after SIGTERM, %d of these passed on; %d breaches", d.sent.Load(),
		d.cut.Load(), d.late.Load(), excusedUntil, d.lateRun.Load(), len(broken))
}
