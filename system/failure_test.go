package system_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// propagationTimeout is the time within which an exclusion, a draining state or a withdrawn key
// must take effect at all gateways.
const propagationTimeout = 3 * time.Second

// expectedText returns the completion that a fake engine generates for the prompt.
func expectedText(prompt string, tokens int) string {
	return engine.ResponseText("m", prompt, 0, tokens)
}

// Guards against request paths that work only within one process, customer keys that are forwarded
// to an upstream, and incomplete responses.
func TestSeparateProcesses(t *testing.T) {
	f := startFleet(t, defaultOptions())
	for i, g := range f.gateways {
		prompt := fmt.Sprint("hello from ", i)
		a, err := g.complete(prompt, 20)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.completionText(), expectedText(prompt, 20))
		got, err := g.stream(prompt, 30, func(string) {})
		assert.NilError(t, err)
		assert.Equal(t, got, expectedText(prompt, 30))
		a, err = g.request(http.MethodGet, "/svc/booking/cases/7", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		a, err = g.request(http.MethodPost, "/v1/completions", completionBody("x", 1, false), map[string]string{"Authorization": "Bearer wrong"})
		assert.NilError(t, err)
		assert.Equal(t, a.code, string(units.InvalidKey))
		assert.Equal(t, a.header.Get("X-Run"), "not-run")
	}
	for _, e := range f.engines {
		assert.Assert(t, !e.Received(customerKey), "the customer's API key reached an engine")
	}
	for _, s := range f.services {
		assert.Assert(t, !s.Received(customerKey), "the customer's API key reached a service")
	}
}

// streamTraffic sends streamed completions through gateways until it is stopped.
type streamTraffic struct {
	stop      chan struct{}
	group     sync.WaitGroup
	mu        sync.Mutex
	completed int
	failed    []error
}

// startTraffic starts workers, each of which sends streams of the given length to one of the gateways.
func (f *fleet) startTraffic(workers, tokens int, gateways ...*process) *streamTraffic {
	r := &streamTraffic{stop: make(chan struct{})}
	for i := range workers {
		g := gateways[i%len(gateways)]
		r.group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-r.stop:
					return
				default:
				}
				r.sendStream(g, fmt.Sprintf("worker %d request %d", i, n), tokens)
			}
		})
	}
	return r
}

// sendStream sends one stream and records whether it returned the expected text.
func (r *streamTraffic) sendStream(g *process, prompt string, tokens int) {
	got, err := g.stream(prompt, tokens, func(string) {})
	if err == nil && got != expectedText(prompt, tokens) {
		err = fmt.Errorf("unexpected completion for %q: %q", prompt, got)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = append(r.failed, err)
		time.Sleep(10 * time.Millisecond)
		return
	}
	r.completed++
}

func (r *streamTraffic) stopAndWait() (done int, failed []error) {
	close(r.stop)
	r.group.Wait()
	return r.completed, r.failed
}

// Guards against requests in flight that fail when an agent stops gracefully, or a gateway that
// receives no new requests.
func TestGracefulStop(t *testing.T) {
	f := startFleet(t, defaultOptions())
	r := f.startTraffic(8, 100, f.gateways[1])
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, f.agents[0].stop(15*time.Second))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { r.sendStream(f.gateways[0], fmt.Sprint("last ", i), 200) })
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, f.gateways[0].stop(15*time.Second))
	wg.Wait()
	done, failed := r.stopAndWait()
	assert.Equal(t, len(failed), 0, "%v", failed)
	assert.Assert(t, done > 0)
}

// Guards against streams with missing or repeated tokens, or tokens of another request, after the
// engine that generates them crashes.
func TestEngineCrash(t *testing.T) {
	f := startFleet(t, defaultOptions())
	r := f.startTraffic(6, 150, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].Crash(500)
	time.Sleep(3 * time.Second)
	done, failed := r.stopAndWait()
	t.Logf("%d streams completed, %d failed: %v", done, len(failed), failed)
	assert.Equal(t, len(failed), 0)
	assert.Assert(t, done > 6)
}

// Guards against the crash of one gateway interrupting requests at the others.
func TestGatewayKilled(t *testing.T) {
	o := defaultOptions()
	o.gateways = 3
	f := startFleet(t, o)
	r := f.startTraffic(6, 20, f.gateways[1], f.gateways[2])
	time.Sleep(500 * time.Millisecond)
	f.gateways[0].kill()
	time.Sleep(2 * time.Second)
	f.vms.Remove("gateway0")
	time.Sleep(4 * time.Second)
	done, failed := r.stopAndWait()
	t.Logf("%d streams completed, %d failed: %v", done, len(failed), failed)
	assert.Assert(t, done > 100)
	assert.Assert(t, len(failed)*1000 <= done, "%v", failed)
}

// Guards against a store outage that interrupts requests, and against a gateway started during the
// outage that does not get the configuration from its peers, or rejects a valid API key before it
// has the configuration.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, defaultOptions())
	f.store.SetOutage(true)
	r := f.startTraffic(4, 20, f.gateways...)
	time.Sleep(6 * time.Second)
	done, failed := r.stopAndWait()
	assert.Equal(t, len(failed), 0, "%v", failed)
	assert.Assert(t, done > 50)
	late := f.startGateway("gateway9", 2)
	f.gateways = append(f.gateways, late)
	f.eventually(readyTimeout, "gateway started during the outage serves requests", func() bool {
		a, err := late.complete("late", 1)
		assert.Assert(t, a.status != http.StatusUnauthorized, a.body)
		return err == nil && a.status == http.StatusOK
	})
}

// Guards against a withdrawn API key that remains valid for new requests or for streams in progress.
func TestKeyWithdrawn(t *testing.T) {
	f := startFleet(t, defaultOptions())
	streamErrors := make(chan error, len(f.gateways))
	for _, g := range f.gateways {
		go func() {
			_, err := g.stream("a long answer", 20_000, func(string) {})
			streamErrors <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.team.Keys[0].Withdrawn = true
	f.writeTeam()
	withdrawnAt := time.Now()
	for range f.gateways {
		select {
		case err := <-streamErrors:
			assert.ErrorContains(t, err, string(units.KeyWithdrawn))
		case <-time.After(propagationTimeout):
			t.Fatalf("a stream with a withdrawn key still runs after %v", propagationTimeout)
		}
	}
	t.Logf("streams ended after %v", time.Since(withdrawnAt))
	for _, g := range f.gateways {
		a, err := g.complete("again", 1)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusUnauthorized)
	}
}

// requestsReceived returns the number of requests that the engines with the given indexes have received.
func (f *fleet) requestsReceived(engines ...int) int64 {
	n := int64(0)
	for _, i := range engines {
		n += f.engines[i].Counts().Requests
	}
	return n
}

// assertNoNewWork fails if the engines with the given indexes receive requests later than
// propagationTimeout after the call.
func (f *fleet) assertNoNewWork(engines ...int) {
	f.t.Helper()
	time.Sleep(propagationTimeout)
	before := f.requestsReceived(engines...)
	time.Sleep(2 * time.Second)
	assert.Equal(f.t, f.requestsReceived(engines...), before, "new work after %v", propagationTimeout)
}

// Guards against new work for an availability zone that operators excluded, and against a restored
// zone that gets no work.
func TestExcludedZone(t *testing.T) {
	f := startFleet(t, defaultOptions())
	r := f.startTraffic(6, 10, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	out := &tree.Team{ExcludedZones: []units.Zone{"zone-b"}}
	revision := f.writeFleet(out, 0)
	f.assertNoNewWork(1)
	out.ExcludedZones = nil
	f.writeFleet(out, revision)
	before := f.requestsReceived(1)
	f.eventually(propagationTimeout, "restored zone gets work", func() bool { return f.requestsReceived(1) > before })
	_, failed := r.stopAndWait()
	assert.Equal(t, len(failed), 0, "%v", failed)
}

// Guards against new work for an upstream that the VM list marks as draining.
func TestDrainingUpstream(t *testing.T) {
	f := startFleet(t, defaultOptions())
	r := f.startTraffic(6, 10, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	f.vms.SetState("engine2", vms.StateDraining)
	f.assertNoNewWork(2)
	_, failed := r.stopAndWait()
	assert.Equal(t, len(failed), 0, "%v", failed)
}

// Guards against a customer that gets more than rate x time + burst tokens when one gateway is
// suspended until its grants have expired and another is killed.
func TestRateLimitAcrossGateways(t *testing.T) {
	const rate, burst = 400, 400
	o := defaultOptions()
	o.gateways = 3
	o.team = func(v *tree.Team) {
		v.Customers = append(v.Customers, tree.Customer{ID: "small", Rate: rate, Burst: burst})
		v.Keys = append(v.Keys, tree.Key{ID: "k2", Hash: tree.HashSecret("small-key"), Customer: "small"})
	}
	f := startFleet(t, o)
	began := time.Now()
	before := f.generatedTokens()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		g := f.gateways[i%len(f.gateways)]
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a, err := g.request(http.MethodPost, "/v1/completions", completionBody("a b c", 20, false), map[string]string{"Authorization": "Bearer small-key"})
				if err != nil || a.status != http.StatusOK {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	f.gateways[0].signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	f.gateways[0].signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	f.gateways[1].kill()
	f.vms.Remove("gateway1")
	time.Sleep(3 * time.Second)
	close(stop)
	used := f.generatedTokens() - before
	limit := int64(rate*time.Since(began).Seconds()) + burst
	wg.Wait()
	t.Logf("%d tokens used, limit %d", used, limit)
	assert.Assert(t, used <= limit)
	assert.Assert(t, used > limit/3, "the customer got less than a third of its limit")
}

// generatedTokens returns the total number of tokens that all engines have generated.
func (f *fleet) generatedTokens() int64 {
	n := int64(0)
	for _, e := range f.engines {
		n += e.Counts().Tokens
	}
	return n
}

// Guards against a request that crashes every upstream that runs it. It may crash at most two, even
// if its caller repeats it, and other requests must complete.
func TestCrashingRequest(t *testing.T) {
	o := defaultOptions()
	o.engine.CrashMarker = "poison"
	o.engine.RestartDelay = 1000
	f := startFleet(t, o)
	r := f.startTraffic(4, 50, f.gateways...)
	time.Sleep(300 * time.Millisecond)
	codes := []string{}
	for i := range 6 {
		a, err := f.gateways[i%len(f.gateways)].complete("poison", 5)
		assert.NilError(t, err)
		codes = append(codes, a.code)
		time.Sleep(500 * time.Millisecond)
	}
	_, failed := r.stopAndWait()
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Counts().Crashes
	}
	t.Logf("crashes %d, codes %v, other requests failed: %v", crashes, codes, failed)
	assert.Assert(t, crashes <= 2)
	assert.Equal(t, codes[len(codes)-1], string(units.CrashSuspect))
	assert.Equal(t, len(failed), 0)
}

// Guards against a process that starts with invalid settings, or does not report them by exit code 2
// and the location of the error.
func TestExitCodes(t *testing.T) {
	f := startFleet(t, defaultOptions())
	p := f.startProcess("gateway", "bad", 0, map[string]any{
		"gate.json": map[string]any{"public": "not an address"},
		"ops.json":  map[string]any{"address": "127.0.0.1:0"},
	})
	err := <-p.exited
	p.exited <- err
	var code interface{ ExitCode() int }
	assert.Assert(t, errors.As(err, &code))
	assert.Equal(t, code.ExitCode(), 2)
	assert.Assert(t, strings.Contains(p.stderr.String(), "gate.json:1: public"), p.stderr.String())
}

// Guards against a second signal that ends a gateway or an agent at once, and cuts what it still has to finish.
func TestSecondSignalCutsNothing(t *testing.T) {
	f := startFleet(t, defaultOptions())
	r := f.startTraffic(0, 0)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { r.sendStream(f.gateways[0], fmt.Sprint("last ", i), 300) })
	}
	time.Sleep(300 * time.Millisecond)
	stopping := []*process{f.gateways[0], f.agents[0]}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
		for _, p := range stopping {
			p.signal(s)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, p := range stopping {
		assert.NilError(t, p.stop(15*time.Second))
	}
	wg.Wait()
	done, failed := r.stopAndWait()
	assert.Equal(t, len(failed), 0, "%v", failed)
	assert.Equal(t, done, 8)
}
