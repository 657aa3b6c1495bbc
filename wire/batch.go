package wire

import (
	"net"
	"sync"
	"time"
)

const (
	// maxBatchBytes is the size of the batch at which writers wait.
	maxBatchBytes = 256 << 10
	// keptBatchBytes is the largest buffer that is kept for the next batch.
	keptBatchBytes = 64 << 10
	// closeTimeout is the time to send what was written before Close.
	closeTimeout = time.Second
)

// batch is a connection that sends what was written while the previous send was in
// progress in one system call. yamux writes each header and each body separately
// and from one goroutine, which otherwise bounds the streams of a session.
type batch struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	err     error
	closed  bool
	done    chan struct{}
}

func newBatch(c net.Conn) *batch {
	b := &batch{Conn: c, done: make(chan struct{})}
	b.changed.L = &b.mu
	go b.run()
	return b
}

// Write implements net.Conn. An error is reported by a later call.
func (b *batch) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) >= maxBatchBytes && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	if len(b.pending) == 0 {
		b.changed.Broadcast()
	}
	b.pending = append(b.pending, data...)
	return len(data), nil
}

// run sends until the connection is closed and nothing is left, or until an error.
func (b *batch) run() {
	defer close(b.done)
	var sending []byte
	for {
		sending = b.next(sending)
		if len(sending) == 0 {
			return
		}
		if _, err := b.Conn.Write(sending); err != nil {
			b.fail(err)
			return
		}
	}
}

// next waits for data, and returns it in exchange for the sent buffer. It returns
// nothing after Close.
func (b *batch) next(sent []byte) []byte {
	if cap(sent) > keptBatchBytes {
		sent = nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.changed.Wait()
	}
	data := b.pending
	b.pending = sent[:0]
	if len(data) >= maxBatchBytes {
		b.changed.Broadcast()
	}
	return data
}

// fail ends the connection, so that the reader learns of it too.
func (b *batch) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.changed.Broadcast()
	_ = b.Conn.Close()
}

// Close implements net.Conn. It sends what has been written, within a limit.
func (b *batch) Close() error {
	_ = b.SetWriteDeadline(time.Now().Add(closeTimeout))
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	<-b.done
	return b.Conn.Close()
}
