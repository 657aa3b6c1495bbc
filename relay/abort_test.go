package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// newUpstreamAt returns a gateway with one upstream, which listens at the address.
func newUpstreamAt(t *testing.T, address string) *testGateway {
	t.Helper()
	g := newTestGateway(t, startReplica(t, "one", func(*fakes.Request) {}))
	next := &view.Snapshot{Config: g.snapshot.Config, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for id, e := range g.snapshot.Upstreams {
		upstream := *e.Upstream
		upstream.Address = address
		next.Upstreams[id] = &view.Entry{Upstream: &upstream}
	}
	g.server.SetView(next)
	return g
}

// Guards against a request that reaches its upstream seconds after the gateway has given it up and its caller has an
// answer, as the way there was held up: the upstream may have left meanwhile, or its zone may be excluded.
func TestGivenUpRequestDoesNotArriveLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	g := newUpstreamAt(t, l.Addr().String())
	ended := make(chan result, 1)
	// The body is longer than what the upstream's system takes before anybody reads.
	go func() { ended <- g.post("/once/a", strings.Repeat("x", 1<<20)) }()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	got := <-ended
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.ReadAll(r.Body)
	}
	assert.Assert(t, err != nil, "the whole request arrived after it was given up")
}
