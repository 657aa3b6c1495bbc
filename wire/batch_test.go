package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func pair(t *testing.T) (*batch, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	other, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { other.Close() })
	return newBatch(c), other
}

// Guards against bytes that are lost or reordered, also those written just before
// Close.
func TestBatchKeepsBytes(t *testing.T) {
	b, other := pair(t)
	const writes = 3000
	go func() {
		for i := range writes {
			if _, err := b.Write([]byte{byte(i), byte(i >> 8)}); err != nil {
				return
			}
		}
		b.Close()
	}()
	got, err := io.ReadAll(other)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 2*writes)
	for i := range writes {
		assert.Equal(t, int(got[2*i])|int(got[2*i+1])<<8, i)
	}
}

// Guards against memory that grows while the peer does not read, and against a
// Close that never returns then.
func TestBatchStalledPeer(t *testing.T) {
	b, _ := pair(t)
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := b.Write(make([]byte, 32<<10)); err != nil {
				ended <- err
				return
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	b.mu.Lock()
	size := len(b.pending)
	b.mu.Unlock()
	assert.Assert(t, size < maxBatchBytes+(32<<10), "%d bytes", size)
	closed := make(chan struct{})
	go func() {
		b.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * closeTimeout):
		t.Fatal("Close did not return")
	}
	assert.Assert(t, <-ended != nil)
}
