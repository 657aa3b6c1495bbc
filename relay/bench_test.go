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

// copier passes an upstream's answer on with net/http alone, as a baseline.
func copier(address string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		q.Header = r.Header.Clone()
		res, err := client.Do(q)
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

func benchmark(b *testing.B, url, path, model string) {
	b.ReportAllocs()
	for b.Loop() {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+path, strings.NewReader("prompt"))
		assert.NilError(b, err)
		q.Header, q.Host = fakes.Ask("id", key, model, 4000), fakes.Host
		res, err := http.DefaultClient.Do(q)
		assert.NilError(b, err)
		assert.Equal(b, res.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(b, err)
		res.Body.Close()
	}
}

// BenchmarkRelay measures a short request and a stream through the gateway, and the same
// through a copy with net/http. Client, gateway and replica share the process.
func BenchmarkRelay(b *testing.B) {
	p, err := fakes.NewReplica("one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/talk/") {
			r.Stream(1, streamEvents, true)
			return
		}
		r.Answer("200 OK", "done")
	})
	assert.NilError(b, err)
	defer p.Close()
	p.Hold("small")
	r := newRig(b, p)
	plain := httptest.NewServer(copier(p.Addr()))
	defer plain.Close()
	for name, url := range map[string]string{"gateway": r.web.URL, "copy": plain.URL} {
		b.Run("short/"+name, func(b *testing.B) { benchmark(b, url, "/read/a", "") })
		b.Run("stream/"+name, func(b *testing.B) {
			benchmark(b, url, "/talk/a", "small")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/streamEvents, "ns/event")
		})
	}
}
