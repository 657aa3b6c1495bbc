package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// newGatewayBefore returns a gateway with one upstream, which listens at the address, a time limit for sending, 0 for
// none, and one of 4 s for requests.
func newGatewayBefore(t *testing.T, address string, sendTimeout clock.Span) *testGateway {
	t.Helper()
	g := newTestGatewayWith(t, func(o *relay.Options) { o.SendTimeout = sendTimeout }, startReplica(t, "one", func(*fakes.Request) {}))
	return moveUpstreams(useService(g, fakes.AppService), address)
}

// newEngineGatewayBefore returns a gateway with one engine, which listens at the address, and a time limit of 4 s for requests.
func newEngineGatewayBefore(t *testing.T, address string) *testGateway {
	t.Helper()
	return moveUpstreams(newPatientGateway(t, fakes.EngineService, startReplica(t, "one", func(*fakes.Request) {})), address)
}

// moveUpstreams gives all upstreams of the gateway the address.
func moveUpstreams(g *testGateway, address string) *testGateway {
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
	g := newGatewayBefore(t, l.Addr().String(), 0)
	ended := make(chan result, 1)
	// The body is longer than what the upstream's system takes before anybody reads.
	go func() { ended <- g.post("/once/a", strings.Repeat("x", 1<<20)) }()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	got := <-ended
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, readRequest(t, bufio.NewReader(c)) != nil, "the whole request arrived after it was given up")
}

// readRequest reads a request, and fails if it does not arrive as a whole within 3 s.
func readRequest(t *testing.T, in *bufio.Reader) error {
	t.Helper()
	read := make(chan error, 1)
	go func() {
		r, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		read <- err
	}()
	select {
	case err := <-read:
		return err
	case <-time.After(3 * time.Second):
		return os.ErrDeadlineExceeded
	}
}

// hold lets the system drop all that arrives on a connection, as on a cut link, or ends that.
func hold(t *testing.T, c net.Conn, on bool) {
	t.Helper()
	tcp, ok := c.(*net.TCPConn)
	assert.Assert(t, ok)
	raw, err := tcp.SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		if !on {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	}))
	assert.NilError(t, err)
}

// Guards against a request that is held up on its way for so long that its upstream may have left, and arrives all the
// same, while its caller still waits.
func TestRequestHeldUpForTooLongDoesNotArrive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	g := newGatewayBefore(t, l.Addr().String(), 400)
	ended := make(chan result, 1)
	send := func(path string) { ended <- g.post(path, "x") }
	go send("/once/a")
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	in := bufio.NewReader(c)
	assert.NilError(t, readRequest(t, in))
	_, err = io.WriteString(c, fakes.Head("id-/once/a", "200 OK")+"Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, (<-ended).status, http.StatusOK)
	hold(t, c, true)
	go send("/once/b")
	time.Sleep(1200 * time.Millisecond)
	hold(t, c, false)
	assert.Assert(t, readRequest(t, in) != nil, "the request arrived after 1.2 s")
	assert.Equal(t, (<-ended).status, http.StatusBadGateway)
}

// Guards against long requests that fail because their upstream reads them slowly.
func TestLongRequestMayBeReadSlowly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	g := newGatewayBefore(t, l.Addr().String(), 200)
	ended := make(chan result, 1)
	go func() { ended <- g.post("/once/a", strings.Repeat("x", 1<<20)) }()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	time.Sleep(time.Second)
	assert.NilError(t, readRequest(t, bufio.NewReader(c)))
	_, err = io.WriteString(c, fakes.Head("id-/once/a", "200 OK")+"Content-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, (<-ended).status, http.StatusOK)
}
