package wire

import (
	"net"
	"sync"
	"time"
)

const (
	// maxBatchBytes is the size of the pending batch from which on writers block.
	maxBatchBytes = 256 << 10
	// maxKeptBatchBytes is the capacity up to which a buffer is reused for a later batch.
	maxKeptBatchBytes = 64 << 10
	// closeTimeout bounds how long Close sends pending data.
	closeTimeout = time.Second
)

// batchConn is a connection that collects the data written during a system call and sends it
// with the next one. yamux writes each header and each body separately and from one goroutine,
// so the number of system calls would limit the throughput of a session.
type batchConn struct {
	net.Conn
	mu      sync.Mutex
	cond    sync.Cond
	pending []byte
	err     error
	closed  bool
	done    chan struct{}
}

func newBatchConn(c net.Conn) *batchConn {
	b := &batchConn{Conn: c, done: make(chan struct{})}
	b.cond.L = &b.mu
	go b.run()
	return b
}

// Write implements net.Conn. It blocks while maxBatchBytes are pending. It returns before the
// data is sent; a later call reports the error.
func (b *batchConn) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxBatchBytes && b.err == nil && !b.closed {
		b.cond.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending) == 0 {
		b.cond.Broadcast()
	}
	b.pending = append(b.pending, data...)
	return len(data), nil
}

// run sends batches until the connection is closed and all data is sent, or until an error.
func (b *batchConn) run() {
	defer close(b.done)
	var sending []byte
	for {
		sending = b.nextBatch(sending)
		if len(sending) == 0 {
			return
		}
		if _, err := b.Conn.Write(sending); err != nil {
			b.fail(err)
			return
		}
	}
}

// nextBatch waits for data and returns it. It takes over the sent buffer for new data. It
// returns no data after Close, once all is sent.
func (b *batchConn) nextBatch(sent []byte) []byte {
	if cap(sent) > maxKeptBatchBytes {
		sent = nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.cond.Wait()
	}
	data := b.pending
	b.pending = sent[:0]
	if len(data) >= maxBatchBytes {
		b.cond.Broadcast()
	}
	return data
}

// fail records the error for writers, and closes the connection so that readers fail too.
func (b *batchConn) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.cond.Broadcast()
	_ = b.Conn.Close()
}

// Close implements net.Conn. It first sends pending data, for at most closeTimeout.
func (b *batchConn) Close() error {
	_ = b.SetWriteDeadline(time.Now().Add(closeTimeout))
	b.mu.Lock()
	b.closed = true
	b.cond.Broadcast()
	b.mu.Unlock()
	<-b.done
	return b.Conn.Close()
}
