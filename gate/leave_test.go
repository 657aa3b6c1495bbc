package gate_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// startLaggingProxy forwards connections to an address. What comes back from it arrives after the lag.
func startLaggingProxy(t *testing.T, address string, lag time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	track := func(c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
	}
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	group.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			track(in)
			out, err := net.Dial("tcp", address)
			if err != nil {
				in.Close()
				continue
			}
			track(out)
			group.Go(func() { _, _ = io.Copy(out, in) })
			group.Go(func() { copyLate(in, out, lag) })
		}
	})
	return l.Addr().String()
}

// copyLate copies with a lag, and closes both connections at the end.
func copyLate(to, from net.Conn, lag time.Duration) {
	type piece struct {
		data []byte
		at   time.Time
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			pieces <- piece{b[:n], time.Now().Add(lag)}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		_, _ = to.Write(p.data)
	}
	to.Close()
	from.Close()
}

// startServiceAgent runs an agent of the service cases, which f serves. ended receives the result of the agent's Run.
func startServiceAgent(t *testing.T, l agent.Limits, f http.HandlerFunc) (address string, stop func(), ended chan error) {
	service := httptest.NewServer(f)
	t.Cleanup(service.Close)
	a, err := agent.New(agent.Options{
		Node:   config.Node{ID: "u1", Zone: "a", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"},
		Secret: []byte(testSecret), Limits: l, Upstream: agent.Upstream{
			Kind: agent.Service, Address: strings.TrimPrefix(service.URL, "http://"), Services: []units.ServiceID{"cases"},
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(cancel)
	return a.Addr().String(), cancel, ended
}

// Guards against calls that wait at an agent at the time limit of a gateway's stop and whose callers hear that they may
// have run: calls that must not be repeated would be lost.
func TestCallsThatWaitAtAgentAtTheTimeLimitOfAStop(t *testing.T) {
	running, release := make(chan string, 2), make(chan struct{})
	address, stopAgent, ended := startServiceAgent(t, agent.Limits{Running: 1}, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		running <- string(b)
		<-release
	})
	end := sync.OnceFunc(func() { close(release) })
	t.Cleanup(end)
	o := testOptions()
	withService(&o)
	o.Settings.AgentAddresses, o.Settings.Limits.StopTimeout = []string{address}, 300
	g := startStoppable(t, o)
	answers := make(chan string, 2)
	send := func(id string) {
		w, _ := sendRequest(t, g.Server, "PUT", "/svc/cases/award", id)
		answers <- id + " " + w.Status + " " + w.Header.Get("X-Run")
	}
	go send("running")
	assert.Equal(t, <-running, "running")
	go send("waiting")
	eventually(t, func() bool { return g.InFlight() == 2 })
	time.Sleep(100 * time.Millisecond)
	g.cancel()
	got := map[string]bool{<-answers: true, <-answers: true}
	assert.DeepEqual(t, got, map[string]bool{"running 502 Bad Gateway may-have-run": true, "waiting 503 Service Unavailable not-run": true})
	assert.Check(t, errors.Is(<-g.done, gate.ErrStopTimeout))
	end()
	stopAgent()
	assert.NilError(t, <-ended)
	assert.Equal(t, len(running), 0)
}

// Guards against agents that end while a gateway has not heard yet that they leave: it sends them calls, takes the closed
// connection for a call that may have run, and tells callers of calls that must not be repeated so, though they have not run.
func TestAgentEndsWhenGatewaysKnowThatItLeaves(t *testing.T) {
	for _, lag := range []time.Duration{0, 700 * time.Millisecond} {
		t.Run(lag.String(), func(t *testing.T) {
			var ran sync.Map
			address, stopAgent, ended := startServiceAgent(t, agent.Limits{}, func(_ http.ResponseWriter, r *http.Request) {
				b, _ := io.ReadAll(r.Body)
				ran.Store(string(b), true)
			})
			o := testOptions()
			withService(&o)
			o.Settings.AgentAddresses = []string{startLaggingProxy(t, address, lag)}
			// Calls for which no agent is left must not wait for one.
			o.Settings.Limits.NormalDeadline = 5000
			g := startStoppable(t, o)
			answers := map[string]int{}
			var mu sync.Mutex
			var calls sync.WaitGroup
			call := func(id string) {
				w, body := sendRequest(t, g.Server, "PUT", "/svc/cases/award", id)
				_, hasRun := ran.Load(id)
				mu.Lock()
				defer mu.Unlock()
				answers[w.Status]++
				if w.StatusCode != http.StatusOK && w.Header.Get("X-Run") != "not-run" && !hasRun {
					t.Errorf("call %s has not run: %s %s %s", id, w.Status, w.Header.Get("X-Run"), body)
				}
			}
			stopAt := time.Now().Add(100 * time.Millisecond)
			var once sync.Once
			for i := range 60 {
				if time.Now().After(stopAt) {
					once.Do(stopAgent)
				}
				calls.Go(func() { call(strconv.Itoa(i)) })
				time.Sleep(25 * time.Millisecond)
			}
			calls.Wait()
			t.Logf("answers: %v", answers)
			assert.NilError(t, <-ended)
			g.cancel()
			assert.NilError(t, <-g.done)
		})
	}
}
