package gate_test

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

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against refusals that are lost: the connection was reset because the gateway closed it before it had read the body, as
// where a service or a key goes, or the gateway takes no more, while a caller sends a long request.
func TestRefusalOfLongRequestArrives(t *testing.T) {
	const size, parts, pause = 1 << 20, 8, 120 * time.Millisecond
	full := func(o *gate.Options) {
		o.AdmissionCheck = func() *gate.Problem { return &gate.Problem{Code: units.Isolated, Message: "isolated"} }
	}
	for name, c := range map[string]struct {
		path, key string
		change    func(o *gate.Options)
		status    int
	}{
		"service gone":    {"/svc/gone/a", testKey, nil, http.StatusNotFound},
		"path unknown":    {"/v1/gone", testKey, nil, http.StatusNotFound},
		"key withdrawn":   {"/v1/completions", "sk-withdrawn", nil, http.StatusUnauthorized},
		"takes no more":   {"/v1/completions", testKey, full, http.StatusServiceUnavailable},
		"wrong body type": {"/v1/completions", testKey, nil, http.StatusUnsupportedMediaType},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startGateway(t, c.change)
			conn, err := net.Dial("tcp", s.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			// The body is sent for longer than the 0.5 s for which net/http waits before it closes a connection that it has not read.
			rest := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
				c.path, c.key, size) + strings.Repeat("b", size)
			for len(rest) > 0 {
				n := min(len(rest), size/parts)
				_, err := io.WriteString(conn, rest[:n])
				assert.NilError(t, err)
				rest = rest[n:]
				time.Sleep(pause)
			}
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, c.status)
		})
	}
}
