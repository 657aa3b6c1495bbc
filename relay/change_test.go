package relay_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// serverLog collects what an HTTP server logs, panics of handlers included.
type serverLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *serverLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *serverLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// serveWithLog starts another server of the gateway whose log is collected.
func (r *testGateway) serveWithLog() (*httptest.Server, *serverLog) {
	l := &serverLog{}
	s := httptest.NewUnstartedServer(r.server)
	s.Config.ErrorLog = log.New(l, "", 0)
	s.Start()
	r.t.Cleanup(s.Close)
	return s, l
}

// changedView returns the view with a variant of the configuration, and maybe without one of the upstreams.
func (r *testGateway) changedView(random *rand.Rand, version int, upstreams []*view.Entry) *view.Snapshot {
	r.t.Helper()
	c := fakes.Config(version, key)
	routes, _ := c["routes"].([]any)
	services, _ := c["services"].([]any)
	tenants, _ := c["tenants"].([]any)
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	for _, v := range routes {
		if route, ok := v.(map[string]any); ok && random.IntN(3) == 0 {
			route["timeoutMs"], route["targetLatencyMs"] = pick(800, 1500, 3000, 0), pick(0, 1, 300, 5000)
			route["priority"], route["maxAttempts"], route["gapAimMs"] = int(pick(0, 1, 9, -1)), int(pick(0, 1, 2, 5)), pick(0, 300)
		}
	}
	switch random.IntN(8) {
	case 0:
		c["routes"] = routes[:random.IntN(4)]
	case 1:
		i := random.IntN(2)
		c["services"] = services[i : i+1]
	case 2:
		c["tenants"] = []any{}
	case 3:
		tenant, _ := tenants[0].(map[string]any)
		tenant["apiKeys"] = []string{"other"}
	case 4:
		route, _ := routes[random.IntN(4)].(map[string]any)
		delete(route, "service")
		route["trafficSplit"] = []any{
			map[string]any{"service": fakes.AppService, "weight": pick(0, 1, -1)}, map[string]any{"service": "nowhere", "weight": pick(0, 1)},
		}
	case 5:
		service, _ := services[1].(map[string]any)
		service["engine"], service["coldPerS"] = nil, pick(0, 15, -1)
	case 6:
		tenant, _ := tenants[0].(map[string]any)
		tenant["ratePerS"], tenant["burst"], tenant["plainTokens"] = pick(0, -1, 1e6, 1), pick(0, 1e6, -1), pick(0, 200, 1e9)
	}
	data, err := json.Marshal(c)
	assert.NilError(r.t, err)
	next := &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{}, ExcludedZones: map[units.Zone]bool{}}
	next.Config, err = platform.DecodeConfig(data)
	assert.NilError(r.t, err)
	for _, e := range upstreams {
		if random.IntN(12) > 0 {
			next.Upstreams[e.ID] = e
		}
	}
	return next
}

// rawRequest returns a request as bytes; a body of several parts is sent in chunks.
func rawRequest(method, path, id, model string, parts ...string) []string {
	h := fakes.RequestHeader(id, key, model, 4000)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, fakes.Host)
	_ = h.Write(&head)
	if len(parts) <= 1 {
		body := strings.Join(parts, "")
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return []string{head.String()}
	}
	out := []string{head.String() + "Transfer-Encoding: chunked\r\n\r\n"}
	for _, p := range parts {
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(p), p))
	}
	return append(out, "0\r\n\r\n")
}

// Guards against requests that end without an answer while routes, services, customers, keys, limits and upstreams come and go:
// their connection is closed if a handler panics, whatever the reason.
func TestRequestsAreAnsweredWhileConfigurationChanges(t *testing.T) {
	script := func(r *fakes.Request) {
		if r.Header.Get("Model") == "" {
			time.Sleep(time.Duration(r.Number%40) * time.Millisecond)
			r.Respond("200 OK", "done")
			return
		}
		from := 1
		if r.LastEventID != "" {
			_, _ = fmt.Sscan(r.LastEventID, &from)
			from++
		}
		r.Stream(from, from+1, false)
		time.Sleep(time.Duration(r.Number%60) * 10 * time.Millisecond)
		r.Chunk(eventRange(from+2, from+3))
		r.WriteRaw("0\r\n\r\n")
	}
	var replicas []*fakes.Replica
	var upstreams []*view.Entry
	for i := range 6 {
		p := startReplica(t, fmt.Sprint("r", i), script)
		replicas = append(replicas, p)
		data, err := json.Marshal(p.Description([]string{fakes.AppService, fakes.EngineService}[i%2], "zone-a", "ready"))
		assert.NilError(t, err)
		u, err := platform.DecodeUpstream(units.UpstreamID(p.Instance), data)
		assert.NilError(t, err)
		upstreams = append(upstreams, &view.Entry{Upstream: u})
	}
	g := newTestGateway(t, replicas...)
	server, logged := g.serveWithLog()
	random := rand.New(rand.NewPCG(1, 2))
	g.server.SetView(g.changedView(random, 3, upstreams))
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, lost atomic.Int64
	for n := range 60 {
		group.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for i := 0; ; i++ {
				select {
				case <-stop:
					if conn != nil {
						_ = conn.Close()
					}
					return
				default:
				}
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", server.Listener.Addr().String()); err != nil {
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprintf("id-%d-%d", n, i)
				var parts []string
				switch (n + i) % 5 {
				case 0:
					parts = rawRequest("GET", "/read/a", id, "")
				case 1:
					parts = rawRequest("POST", "/once/a", id, "", "book")
				case 2:
					parts = rawRequest("POST", "/talk/a", id, "small", "prompt")
				case 3:
					parts = rawRequest("POST", "/stream/a", id, "small", "pro", "mpt")
				case 4:
					parts = rawRequest("POST", "/once/a", id, "", "bo", "ok", "ing")
				}
				for j, p := range parts {
					if j > 0 {
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = io.WriteString(conn, p)
				}
				sent.Add(1)
				res, err := http.ReadResponse(reader, nil)
				if err != nil {
					lost.Add(1)
					t.Logf("%s: %v", id, err)
					_ = conn.Close()
					conn = nil
					continue
				}
				// A stream may be cut at the time limit of its route.
				if _, err := io.Copy(io.Discard, res.Body); err != nil || res.Close {
					_ = conn.Close()
					conn = nil
				}
			}
		})
	}
	end := time.Now().Add(2 * time.Second)
	for version := 4; time.Now().Before(end); version++ {
		g.server.SetView(g.changedView(random, version, upstreams))
		time.Sleep(time.Duration(20+random.IntN(100)) * time.Millisecond)
	}
	close(stop)
	group.Wait()
	assert.Equal(t, logged.String(), "")
	assert.Equal(t, lost.Load(), int64(0))
	assert.Assert(t, sent.Load() > 0)
}
