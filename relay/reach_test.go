package relay_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// listenOnce returns the address of a listener that passes one connection on to the target and answers no further
// attempt to connect, like a VM that is powered off: its queue of connections is full.
func listenOnce(t *testing.T, target string) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		in, err := l.Accept()
		if err != nil {
			return
		}
		defer in.Close()
		for range 2 {
			c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
			if err == nil {
				defer c.Close()
			}
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer out.Close()
		go func() { _, _ = io.Copy(out, in) }()
		_, _ = io.Copy(in, out)
	}()
	return l.Addr().String()
}

// Guards against streams that wait for an upstream that answers no attempt to connect, although another one has begun to go
// on with them: their callers leave after 2 s.
func TestProbeOfSilentUpstreamDoesNotHoldStream(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		r.WaitForClose()
	})
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(3, 6, true) })
	g := newPatientGateway(t, fakes.EngineService, one, two)
	address := ""
	for id, e := range g.snapshot.Upstreams {
		if id == units.UpstreamID(one.Instance) {
			e.Address = listenOnce(t, e.Address)
			address = e.Address
		}
	}
	first := &view.Snapshot{Config: g.snapshot.Config, Upstreams: map[units.UpstreamID]*view.Entry{"one": g.snapshot.Upstreams["one"]}}
	g.server.SetView(first)
	time.AfterFunc(time.Second, func() { g.server.SetView(g.snapshot) })
	begun := time.Now()
	got := g.postStream("/talk/a")
	took := time.Since(begun)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	_, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
	assert.ErrorContains(t, err, "timeout")
	assert.Assert(t, took < 1700*time.Millisecond, "the stream took %v", took)
}
