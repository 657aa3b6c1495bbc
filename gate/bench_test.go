package gate_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/wire"
)

// The benchmark compares calls through a gateway and a fake agent with direct calls to the same
// fake engine. All of them run in one process.
const (
	benchClients  = 128
	benchDuration = 1500 * time.Millisecond
	benchTokens   = 16
)

// engineHandler responds without delay: with events if the request has "stream":true, else with
// plainResponse.
func engineHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !bytes.Contains(body, []byte(`"stream":true`)) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, plainResponse)
		return
	}
	w.Header().Set("Content-Type", eventStream)
	for i := range int64(benchTokens) {
		io.WriteString(w, tokenEvent(i))
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, doneEvent)
}

func newEngine(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(engineHandler)}
	go s.Serve(l)
	b.Cleanup(func() { s.Close() })
	return "http://" + l.Addr().String()
}

// respondDirectly responds as the engine does, without an HTTP call to it, to measure the gateway
// without the cost of that call.
func respondDirectly(a *agentCall) {
	if !a.Stream {
		_ = a.sendHead(http.StatusOK, "application/json")
		_ = a.sendPart(0, plainResponse)
		a.sendDone()
		return
	}
	_ = a.sendHead(http.StatusOK, eventStream)
	for i := range int64(benchTokens) {
		_ = a.sendPart(i, tokenEvent(i))
	}
	_ = a.sendPart(benchTokens, doneEvent)
	a.sendDone()
}

// proxyTo relays calls to the engine at the URL, as an agent does.
func proxyTo(url string) callHandler {
	c := benchClient()
	return func(a *agentCall) {
		r, _ := http.NewRequest(a.Method, url+a.Path, bytes.NewReader(a.Body))
		r.Header.Set("Content-Type", "application/json")
		w, err := c.Do(r)
		if err != nil {
			return
		}
		defer w.Body.Close()
		_ = a.sendHead(uint32(w.StatusCode), w.Header.Get("Content-Type"))
		buffer := benchBuffers.Get().([]byte)
		defer benchBuffers.Put(buffer) //nolint:staticcheck // one allocation for each call of the fake agent
		index := int64(0)
		for {
			n, err := w.Body.Read(buffer)
			if n > 0 {
				p := &wire.Part{Attempt: a.Attempt, Index: index, Data: buffer[:n]}
				if a.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: p}}) != nil {
					return
				}
				index += int64(bytes.Count(buffer[:n], []byte("\n\n")))
			}
			if err != nil {
				break
			}
		}
		a.sendDone()
	}
}

var benchBuffers = sync.Pool{New: func() any { return make([]byte, 4<<10) }}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 1024}}
}

// loadGenerator sends calls to one URL and records the time to the first byte, in microseconds.
type loadGenerator struct {
	client    *http.Client
	url       string
	body      string
	mu        sync.Mutex
	firstByte *hdrhistogram.Histogram
	failed    atomic.Int64
}

func newLoadGenerator(url, body string) *loadGenerator {
	return &loadGenerator{client: benchClient(), url: url + "/v1/chat/completions", body: body, firstByte: hdrhistogram.New(1, 60e6, 3)}
}

// call sends one call and records the time from due to the first byte of the response.
func (l *loadGenerator) call(due time.Time, buffer []byte) {
	r, _ := http.NewRequest(http.MethodPost, l.url, bytes.NewReader([]byte(l.body)))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+testKey)
	w, err := l.client.Do(r)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer w.Body.Close()
	n, _ := w.Body.Read(buffer)
	latency := time.Since(due)
	m, err := io.Copy(io.Discard, w.Body)
	if w.StatusCode != http.StatusOK || err != nil || n == 0 || m < 0 {
		l.failed.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstByte.RecordValue(latency.Microseconds())
}

// closedLoop runs benchClients clients that each send calls back to back, and returns the calls per
// second.
func (l *loadGenerator) closedLoop() float64 {
	var calls atomic.Int64
	var wg sync.WaitGroup
	startTime := time.Now()
	for range benchClients {
		wg.Go(func() {
			buffer := make([]byte, 4<<10)
			for time.Since(startTime) < benchDuration {
				l.call(time.Now(), buffer)
				calls.Add(1)
			}
		})
	}
	wg.Wait()
	return float64(calls.Load()) / time.Since(startTime).Seconds()
}

// openLoop sends calls at a fixed rate, whether or not earlier calls have ended.
func (l *loadGenerator) openLoop(perSecond float64) {
	l.firstByte.Reset()
	interval := time.Duration(float64(time.Second) / perSecond)
	var wg sync.WaitGroup
	startTime := time.Now()
	for due := startTime; due.Sub(startTime) < benchDuration; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		wg.Go(func() { l.call(time.Now(), make([]byte, 4<<10)) })
	}
	wg.Wait()
}

// quantile returns the quantile q, in percent, of the times to the first byte, in ms.
func (l *loadGenerator) quantile(q float64) float64 {
	return float64(l.firstByte.ValueAtQuantile(q)) / 1000
}

// minBenchRatio is the required ratio of requests per second through one gateway to those of direct
// calls.
const minBenchRatio = 0.4

// BenchmarkGateway reports requests per second of both ways and, at half of the gateway's requests
// per second, the time to the first byte that the gateway adds. Goals: a ratio of at least 0.4,
// which is enforced, and at most 0.3 ms added at the median and 1 ms at p99, which can't be
// measured reliably on a shared machine.
func BenchmarkGateway(b *testing.B) {
	// The gateway command sets the same value. All parts of the benchmark share one heap.
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	for name, stream := range map[string]bool{"plain": false, "stream": true} {
		b.Run(name, func(b *testing.B) {
			url := newEngine(b)
			s := startGateway(b, nil, benchAgents(b, proxyTo(url))...)
			body := fmt.Sprintf(`{"model":"small","stream":%v,"messages":[{"role":"user","content":"%01000d"}]}`, stream, 0)
			withoutEngine := startGateway(b, nil, benchAgents(b, respondDirectly)...)
			direct, viaGateway := newLoadGenerator(url, body), newLoadGenerator("http://"+s.Addr().String(), body)
			noEngine := newLoadGenerator("http://"+withoutEngine.Addr().String(), body)
			ratio := 0.0
			for b.Loop() {
				direct.closedLoop()
				viaGateway.closedLoop()
				d, t := direct.closedLoop(), viaGateway.closedLoop()
				direct.openLoop(t / 2)
				viaGateway.openLoop(t / 2)
				noEngine.closedLoop()
				b.ReportMetric(noEngine.closedLoop()/d, "ratio-scripted-agent")
				b.ReportMetric(d, "direct-req/s")
				b.ReportMetric(t, "gate-req/s")
				ratio = t / d
				b.ReportMetric(ratio, "ratio")
				b.ReportMetric(direct.quantile(50), "direct-p50-ms")
				b.ReportMetric(direct.quantile(99), "direct-p99-ms")
				b.ReportMetric(viaGateway.quantile(50)-direct.quantile(50), "added-p50-ms")
				b.ReportMetric(viaGateway.quantile(99)-direct.quantile(99), "added-p99-ms")
			}
			assert.Equal(b, direct.failed.Load()+viaGateway.failed.Load(), int64(0))
			if ratio < minBenchRatio {
				b.Errorf("%.2f of the requests/s of direct calls, goal %.1f", ratio, minBenchRatio)
			}
		})
	}
}

// benchAgents returns 12 agents, the number to which a gateway connects in the current deployment.
func benchAgents(b *testing.B, f callHandler) []*fakeAgent {
	agents := make([]*fakeAgent, 12)
	for i := range agents {
		agents[i] = newFakeAgent(b, fmt.Sprintf("a%d", i), f)
	}
	return agents
}
