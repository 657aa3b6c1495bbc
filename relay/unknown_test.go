package relay_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against names that callers make up and that count as demand, in memory and in messages to the leader, and against
// requests for them that wait although nobody can serve them.
func TestMadeUpNamesAreNoDemand(t *testing.T) {
	var used, missed, short atomic.Int32
	replica := startReplica(t, "one", func(r *fakes.Request) {
		if strings.HasPrefix(r.URL.Path, "/read/") {
			r.Respond("200 OK", "done")
			return
		}
		r.Stream(1, 3, true)
	})
	g := newTestGatewayWith(t, func(o *relay.Options) {
		o.OnModelUse = func(units.ServiceID, units.ModelID, string, float64) { used.Add(1) }
		o.OnModelMissing = func(units.ServiceID, units.ModelID, string) { missed.Add(1) }
		o.OnModelShort = func(units.ServiceID, units.ModelID, string, float64) { short.Add(1) }
	}, replica)
	for _, name := range []string{"none", "n\xf8ne", strings.Repeat("n", 15_000), "small/a4", "small/a01", "small/a-1", "small/b1", "small/n\xf8ne"} {
		for _, path := range []string{"/talk/a", "/stream/a"} {
			got := g.send(context.Background(), http.MethodPost, path, name, "x")
			assert.Check(t, got.status == http.StatusServiceUnavailable && strings.Contains(got.body, string(units.ModelNotFound)), "%.20q: %d %s", name, got.status, got.body)
		}
		got := g.send(context.Background(), http.MethodPost, "/read/a", name, "x")
		assert.Check(t, got.status == http.StatusOK, "%.20q at a plain service: %d", name, got.status)
	}
	assert.Equal(t, used.Load()+missed.Load()+short.Load(), int32(0))
	assert.Equal(t, g.send(context.Background(), http.MethodPost, "/talk/a", "small", "x").status, http.StatusOK)
	g.send(context.Background(), http.MethodPost, "/talk/a", "small/a3", "x")
	assert.Assert(t, used.Load() == 2 && missed.Load() == 1, "%d used, %d missed", used.Load(), missed.Load())
}
