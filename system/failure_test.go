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

// effect is the time within which a mark or a withdrawal must take effect.
const effect = 3 * time.Second

// text returns the whole answer that an engine gives to the prompt.
func text(prompt string, tokens int) string { return engine.ResponseText("m", prompt, 0, tokens) }

// Guards against a path that works only inside one process, a key that reaches an
// upstream, and answers that are not whole.
func TestSeparateProcesses(t *testing.T) {
	f := start(t, defaults())
	for i, g := range f.gateways {
		prompt := fmt.Sprint("hello from ", i)
		a, err := g.ask(prompt, 20)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.text(), text(prompt, 20))
		got, err := g.stream(prompt, 30, func(string) {})
		assert.NilError(t, err)
		assert.Equal(t, got, text(prompt, 30))
		a, err = g.do(http.MethodGet, "/svc/booking/cases/7", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		a, err = g.do(http.MethodPost, "/v1/completions", completion("x", 1, false), map[string]string{"Authorization": "Bearer wrong"})
		assert.NilError(t, err)
		assert.Equal(t, a.code, string(units.InvalidKey))
		assert.Equal(t, a.header.Get("X-Run"), "not-run")
	}
	for _, e := range f.engines {
		assert.Assert(t, !e.Received(key), "the key of the customer reached an engine")
	}
	for _, s := range f.services {
		assert.Assert(t, !s.Received(key), "the key of the customer reached a service")
	}
}

// traffic sends streams through the gateways until stopped.
type traffic struct {
	stop   chan struct{}
	group  sync.WaitGroup
	mu     sync.Mutex
	done   int
	failed []error
}

func (f *fleet) traffic(workers, tokens int, gateways ...*process) *traffic {
	r := &traffic{stop: make(chan struct{})}
	for i := range workers {
		g := gateways[i%len(gateways)]
		r.group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-r.stop:
					return
				default:
				}
				r.one(g, fmt.Sprintf("worker %d request %d", i, n), tokens)
			}
		})
	}
	return r
}

func (r *traffic) one(g *process, prompt string, tokens int) {
	got, err := g.stream(prompt, tokens, func(string) {})
	if err == nil && got != text(prompt, tokens) {
		err = fmt.Errorf("answer to %q differs: %q", prompt, got)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed = append(r.failed, err)
		time.Sleep(10 * time.Millisecond)
		return
	}
	r.done++
}

func (r *traffic) end() (done int, failed []error) {
	close(r.stop)
	r.group.Wait()
	return r.done, r.failed
}

// Guards against a planned stop that cuts requests: of an agent, and of a gateway
// whose callers have been sent elsewhere.
func TestGracefulStop(t *testing.T) {
	f := start(t, defaults())
	r := f.traffic(8, 100, f.gateways[1])
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, f.agents[0].stop(15*time.Second))
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { r.one(f.gateways[0], fmt.Sprint("last ", i), 200) })
	}
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, f.gateways[0].stop(15*time.Second))
	wg.Wait()
	done, failed := r.end()
	assert.Equal(t, len(failed), 0, "%v", failed)
	assert.Assert(t, done > 0)
}

// Guards against streams with a gap, a repetition or another request's tokens after
// an engine crashed while they ran.
func TestEngineCrash(t *testing.T) {
	f := start(t, defaults())
	r := f.traffic(6, 150, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].Crash(500)
	time.Sleep(3 * time.Second)
	done, failed := r.end()
	t.Logf("%d streams complete, %d failed: %v", done, len(failed), failed)
	assert.Equal(t, len(failed), 0)
	assert.Assert(t, done > 6)
}

// Guards against a gateway whose death stops the customers of the others.
func TestGatewayKilled(t *testing.T) {
	o := defaults()
	o.gateways = 3
	f := start(t, o)
	r := f.traffic(6, 20, f.gateways[1], f.gateways[2])
	time.Sleep(500 * time.Millisecond)
	f.gateways[0].kill()
	time.Sleep(2 * time.Second)
	f.vms.Remove("gateway0")
	time.Sleep(4 * time.Second)
	done, failed := r.end()
	t.Logf("%d streams complete, %d failed: %v", done, len(failed), failed)
	assert.Assert(t, done > 100)
	assert.Assert(t, len(failed)*1000 <= done, "%v", failed)
}

// Guards against an outage of the store that stops traffic, and against a gateway
// that starts during the outage and does not get the configuration from its peers, or
// refuses a valid key because it has none yet.
func TestStoreOutage(t *testing.T) {
	f := start(t, defaults())
	f.store.SetOutage(true)
	r := f.traffic(4, 20, f.gateways...)
	time.Sleep(6 * time.Second)
	done, failed := r.end()
	assert.Equal(t, len(failed), 0, "%v", failed)
	assert.Assert(t, done > 50)
	late := f.gateway("gateway9", 2)
	f.gateways = append(f.gateways, late)
	f.eventually(readyTimeout, "late gateway serves", func() bool {
		a, err := late.ask("late", 1)
		assert.Assert(t, a.status != http.StatusUnauthorized, a.body)
		return err == nil && a.status == http.StatusOK
	})
}

// Guards against a withdrawn key that goes on working, for new requests and for
// streams in progress.
func TestKeyWithdrawn(t *testing.T) {
	f := start(t, defaults())
	ends := make(chan error, len(f.gateways))
	for _, g := range f.gateways {
		go func() {
			_, err := g.stream("a long answer", 20_000, func(string) {})
			ends <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	f.team.Keys[0].Withdrawn = true
	f.write()
	at := time.Now()
	for range f.gateways {
		select {
		case err := <-ends:
			assert.ErrorContains(t, err, string(units.KeyWithdrawn))
		case <-time.After(effect):
			t.Fatalf("a stream of the withdrawn key goes on after %v", effect)
		}
	}
	t.Logf("streams ended after %v", time.Since(at))
	for _, g := range f.gateways {
		a, err := g.ask("again", 1)
		assert.NilError(t, err)
		assert.Equal(t, a.status, http.StatusUnauthorized)
	}
}

// received counts new requests of the engines that the predicate selects.
func (f *fleet) received(ids ...int) int64 {
	n := int64(0)
	for _, i := range ids {
		n += f.engines[i].Counts().Requests
	}
	return n
}

// quiet fails when the engines receive new work after the time in which a mark must
// take effect.
func (f *fleet) quiet(ids ...int) {
	f.t.Helper()
	time.Sleep(effect)
	before := f.received(ids...)
	time.Sleep(2 * time.Second)
	assert.Equal(f.t, f.received(ids...), before, "new work after %v", effect)
}

// Guards against new work for an availability zone that operators took out, and
// against one that gets none after it is back.
func TestZoneOut(t *testing.T) {
	f := start(t, defaults())
	r := f.traffic(6, 10, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	out := &tree.Team{ExcludedZones: []units.Zone{"zone-b"}}
	revision := f.writeFleet(out, 0)
	f.quiet(1)
	out.ExcludedZones = nil
	f.writeFleet(out, revision)
	before := f.received(1)
	f.eventually(effect, "zone gets work again", func() bool { return f.received(1) > before })
	_, failed := r.end()
	assert.Equal(t, len(failed), 0, "%v", failed)
}

// Guards against new work for an upstream that the VM list marks as leaving.
func TestUpstreamLeaving(t *testing.T) {
	f := start(t, defaults())
	r := f.traffic(6, 10, f.gateways...)
	time.Sleep(500 * time.Millisecond)
	f.vms.SetState("engine2", vms.StateDraining)
	f.quiet(2)
	_, failed := r.end()
	assert.Equal(t, len(failed), 0, "%v", failed)
}

// Guards against more than rate x time + burst of one customer, with a gateway that is
// frozen past its grants and another that is killed.
func TestRateAcrossGateways(t *testing.T) {
	const rate, burst = 400, 400
	o := defaults()
	o.gateways = 3
	o.team = func(v *tree.Team) {
		v.Customers = append(v.Customers, tree.Customer{ID: "small", Rate: rate, Burst: burst})
		v.Keys = append(v.Keys, tree.Key{ID: "k2", Hash: tree.HashSecret("small-key"), Customer: "small"})
	}
	f := start(t, o)
	began := time.Now()
	before := f.tokens()
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
				a, err := g.do(http.MethodPost, "/v1/completions", completion("a b c", 20, false), map[string]string{"Authorization": "Bearer small-key"})
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
	used := f.tokens() - before
	limit := int64(rate*time.Since(began).Seconds()) + burst
	wg.Wait()
	t.Logf("%d tokens used, limit %d", used, limit)
	assert.Assert(t, used <= limit)
	assert.Assert(t, used > limit/3, "the customer got much less than its rate")
}

// tokens returns the tokens that all engines have generated.
func (f *fleet) tokens() int64 {
	n := int64(0)
	for _, e := range f.engines {
		n += e.Counts().Tokens
	}
	return n
}

// Guards against a request that crashes each upstream that runs it: at most two go
// down, also when its caller sends it again, and other requests finish.
func TestCrashingRequest(t *testing.T) {
	o := defaults()
	o.engine.CrashMarker = "poison"
	o.engine.RestartDelay = 1000
	f := start(t, o)
	r := f.traffic(4, 50, f.gateways...)
	time.Sleep(300 * time.Millisecond)
	codes := []string{}
	for i := range 6 {
		a, err := f.gateways[i%len(f.gateways)].ask("poison", 5)
		assert.NilError(t, err)
		codes = append(codes, a.code)
		time.Sleep(500 * time.Millisecond)
	}
	_, failed := r.end()
	crashes := int64(0)
	for _, e := range f.engines {
		crashes += e.Counts().Crashes
	}
	t.Logf("crashes %d, codes %v, other requests failed: %v", crashes, codes, failed)
	assert.Assert(t, crashes <= 2)
	assert.Equal(t, codes[len(codes)-1], string(units.CrashSuspect))
	assert.Equal(t, len(failed), 0)
}

// Guards against a process that starts with wrong settings or ends with an exit code
// that does not tell.
func TestExitCodes(t *testing.T) {
	f := start(t, defaults())
	p := f.spawn("gateway", "bad", 0, map[string]any{
		"gate.json": map[string]any{"public": "not an address"},
		"ops.json":  map[string]any{"address": "127.0.0.1:0"},
	})
	err := <-p.exited
	p.exited <- err
	var code interface{ ExitCode() int }
	assert.Assert(t, errors.As(err, &code))
	assert.Equal(t, code.ExitCode(), 2)
	assert.Assert(t, strings.Contains(p.log.String(), "gate.json:1: public"), p.log.String())
}
