package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectBatch returns the two ends of a TCP connection, the first one batched.
func connectBatch(t *testing.T) (*batchConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { peer.Close() })
	return newBatchConn(conn), peer
}

// Guards against bytes that are lost or reordered, including those written just before Close.
func TestBatchPreservesBytes(t *testing.T) {
	conn, peer := connectBatch(t)
	const writes = 3000
	go func() {
		for i := range writes {
			if _, err := conn.Write([]byte{byte(i), byte(i >> 8)}); err != nil {
				return
			}
		}
		conn.Close()
	}()
	got, err := io.ReadAll(peer)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 2*writes)
	for i := range writes {
		assert.Equal(t, int(got[2*i])|int(got[2*i+1])<<8, i)
	}
}

// Guards against memory that grows while the peer does not read, and against a Close that then
// blocks forever.
func TestBatchStalledPeer(t *testing.T) {
	conn, _ := connectBatch(t)
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Write(make([]byte, 32<<10)); err != nil {
				ended <- err
				return
			}
		}
	}()
	time.Sleep(200 * time.Millisecond)
	conn.mu.Lock()
	size := len(conn.pending)
	conn.mu.Unlock()
	assert.Assert(t, size < maxBatchBytes+(32<<10), "%d bytes", size)
	closed := make(chan struct{})
	go func() {
		conn.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * closeTimeout):
		t.Fatal("Close did not return within 5 times its timeout")
	}
	assert.Assert(t, <-ended != nil)
}
