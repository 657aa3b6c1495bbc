package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// streamEvents is the number of events of one stream in the benchmarks.
const streamEvents = 50

// copyingProxy returns a proxy to the address that relays with net/http alone, as a baseline.
func copyingProxy(address string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		req.Header = r.Header.Clone()
		res, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer res.Body.Close()
		w.WriteHeader(res.StatusCode)
		flush := http.NewResponseController(w)
		buf := make([]byte, 8<<10)
		for {
			n, err := res.Body.Read(buf)
			if n > 0 {
				if _, err := w.Write(buf[:n]); err != nil || flush.Flush() != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
}

// benchmarkRequests sends requests one after another and reads their responses to the end.
func benchmarkRequests(b *testing.B, url, path, model string) {
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+path, strings.NewReader("prompt"))
		assert.NilError(b, err)
		req.Header, req.Host = fakes.RequestHeader("id", key, model, 4000), fakes.Host
		res, err := http.DefaultClient.Do(req)
		assert.NilError(b, err)
		assert.Equal(b, res.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(b, err)
		res.Body.Close()
	}
}

// BenchmarkRelay measures a short request and a stream through the gateway and, for comparison,
// through copyingProxy. Client, gateway and replica share the process.
func BenchmarkRelay(b *testing.B) {
	replica, err := fakes.NewReplica("one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/talk/") {
			r.Stream(1, streamEvents, true)
			return
		}
		r.Respond("200 OK", "done")
	})
	assert.NilError(b, err)
	defer replica.Close()
	replica.AddModel("small")
	r := newTestGateway(b, replica)
	proxy := httptest.NewServer(copyingProxy(replica.Addr()))
	defer proxy.Close()
	for name, url := range map[string]string{"gateway": r.httpServer.URL, "copy": proxy.URL} {
		b.Run("short/"+name, func(b *testing.B) { benchmarkRequests(b, url, "/read/a", "") })
		b.Run("stream/"+name, func(b *testing.B) {
			benchmarkRequests(b, url, "/talk/a", "small")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/streamEvents, "ns/event")
		})
	}
}
