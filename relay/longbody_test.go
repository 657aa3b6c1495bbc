package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// longBody is the size of a long body within the limit of fakes.Config. It is sent in bodyParts, each followed by bodyPause, as
// over a slow link: for longer than the 0.5 s for which net/http waits before it closes a connection that it has not read.
const (
	longBody  = 1 << 20
	bodyParts = 8
	bodyPause = 120 * time.Millisecond
)

// sendWhole sends a request with a long body and reads the answer only once all of it is sent, as simple callers do. The
// body is sent in chunks if chunked is set.
func (r *testGateway) sendWhole(path string, header http.Header, chunked bool) (*http.Response, error) {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.httpServer.Listener.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(r.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, fakes.Host)
	assert.NilError(r.t, header.Write(&head))
	body, end := strings.Repeat("b", longBody), ""
	if chunked {
		fmt.Fprintf(&head, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", longBody)
		end = "\r\n0\r\n\r\n"
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", longBody)
	}
	for rest := head.String() + body + end; rest != ""; {
		n := min(len(rest), longBody/bodyParts)
		if _, err := io.WriteString(conn, rest[:n]); err != nil {
			return nil, fmt.Errorf("send: %w", err)
		}
		rest = rest[n:]
		time.Sleep(bodyPause)
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// Guards against refusals that are lost: the connection was reset because the gateway closed it before it had read the body, as
// where a route, a service or a key goes while a caller sends a long request.
func TestRefusalOfLongRequestArrives(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		usable    bool
		status    int
	}{
		"route gone":       {"/gone/a", key, true, http.StatusNotFound},
		"key withdrawn":    {"/once/a", "withdrawn", true, http.StatusUnauthorized},
		"keys not usable":  {"/once/a", key, false, http.StatusServiceUnavailable},
		"no upstream left": {"/once/a", key, true, http.StatusServiceUnavailable},
	} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", chunked ", chunked), func(t *testing.T) {
				t.Parallel()
				g := newTestGateway(t)
				g.keysUsable = c.usable
				res, err := g.sendWhole(c.path, fakes.RequestHeader("one", c.key, "", 4000), chunked)
				assert.NilError(t, err)
				assert.Equal(t, res.StatusCode, c.status)
			})
		}
	}
}

// Guards against a refusal that waits for a body that its caller sends only after 100 (Continue).
func TestRefusalDoesNotAskForBody(t *testing.T) {
	g := newTestGateway(t)
	conn, err := net.Dial("tcp", g.httpServer.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
	_, err = fmt.Fprintf(conn, "POST /gone/a HTTP/1.1\r\nHost: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", fakes.Host, longBody)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusNotFound)
}
