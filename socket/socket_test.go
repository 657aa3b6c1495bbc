package socket_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/socket"
)

// Guards against a state that is wrong, that takes bytes, or that waits for a goroutine which reads.
func TestPeek(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	in, err := l.Accept()
	assert.NilError(t, err)
	expect := func(want socket.State) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); socket.Peek(in) != want; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "state %d, not %d", socket.Peek(in), want)
		}
	}
	read := make(chan string)
	receive := func() {
		b := make([]byte, 8)
		n, _ := in.Read(b)
		read <- string(b[:n])
	}
	go receive()
	time.Sleep(10 * time.Millisecond)
	expect(socket.Open)
	_, err = out.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, <-read, "a")
	_, err = out.Write([]byte("b"))
	assert.NilError(t, err)
	expect(socket.Unread)
	go receive()
	assert.Equal(t, <-read, "b")
	out.Close()
	expect(socket.Closed)
	in.Close()
	assert.Equal(t, socket.Peek(in), socket.Closed)
}

// Guards against connections that wait and are not seen, and against ones that are taken.
func TestWaiting(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Check(t, !socket.Waiting(socket.Listener{Listener: l}))
	out, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer out.Close()
	for end := time.Now().Add(5 * time.Second); !socket.Waiting(socket.Listener{Listener: l}); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	in, err := l.Accept()
	assert.NilError(t, err)
	in.Close()
	assert.Check(t, !socket.Waiting(l))
	l.Close()
	assert.Check(t, !socket.Waiting(l))
}
