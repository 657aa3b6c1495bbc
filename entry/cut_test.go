package entry_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// link is a way to a TCP server that can be cut: its connections end, and new ones get no answer.
type link struct {
	listener net.Listener
	target   string
	group    sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	k.group.Go(k.accept)
	t.Cleanup(func() {
		l.Close()
		k.setCut(true)
		k.group.Wait()
	})
	return k
}

func (k *link) accept() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.target)
		if err != nil || !k.add(in, out) {
			in.Close()
			continue
		}
		for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
			k.group.Go(func() { k.pass(pair[0], pair[1]) })
		}
	}
}

// add registers the connections, or closes them and returns false while the link is cut.
func (k *link) add(conns ...net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		if k.cut {
			c.Close()
			continue
		}
		k.conns[c] = true
	}
	return !k.cut
}

// pass copies until one side ends. An error means that a side has closed or was cut, which is all that matters here.
func (k *link) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	from.Close()
	to.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, from)
	delete(k.conns, to)
}

func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	for c := range k.conns {
		if cut {
			c.Close()
		}
	}
}

// Guards against a gateway that was cut off from the store alone and then sends requests to an upstream whose entry was
// removed, as if the store had lost it in an outage.
func TestRemovedUpstreamIsNotUsedAfterOwnCut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	way := newLink(t, c.store.Addr())
	g := c.startGatewayAt("gate-1", way.listener.Addr().String())
	c.gateways = append(c.gateways, g)
	c.waitFor("gateway serves", func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusOK })
	// The gateways have to know each other and how their clocks differ.
	time.Sleep(2 * time.Second)
	way.setCut(true)
	time.Sleep(4 * time.Second)
	way.setCut(false)
	c.store.Delete(fakes.UpstreamKeyPrefix + "app-1")
	time.Sleep(1200 * time.Millisecond)
	status, body := c.sendRequest(g, "/once/a", apiKey, "")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)
	assert.Equal(t, c.readyStatus(g), http.StatusOK)
}
