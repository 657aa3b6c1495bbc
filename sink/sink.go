// Package sink writes log lines asynchronously, so that a slow output never blocks the
// goroutines that log. Lines wait in a bounded queue; those that don't fit are dropped and
// their number is reported in the log.
package sink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 512
	// flushBytes is the size from which batched lines are written.
	flushBytes = 16 << 10
	// reportEvery is the interval between reports of dropped lines.
	reportEvery = time.Second
)

// Sink is an asynchronous io.Writer for log lines. Its methods are safe for concurrent use;
// one goroutine has to call Run.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// linesPerSecond is the rate limit; it applies to each second of the wall clock.
	linesPerSecond int
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64
	// currentSecond is the Unix time in seconds that linesThisSecond counts.
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// New returns a Sink that writes at most rate lines per second to out.
func New(out io.Writer, linesPerSecond int) *Sink {
	return &Sink{out: out, linesPerSecond: linesPerSecond, lines: make(chan []byte, queueLines)}
}

// Write queues a copy of one line and never blocks. It drops the line when the queue is full
// or the rate limit is exceeded. The returned error is always nil.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.allowLine(time.Now()) {
		s.dropped.Add(1)
		return len(p), nil
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

func (s *Sink) allowLine(now time.Time) bool {
	currentSecond := now.Unix()
	if s.currentSecond.Swap(currentSecond) != currentSecond {
		s.linesThisSecond.Store(0)
	}
	return s.linesThisSecond.Add(1) <= int64(s.linesPerSecond)
}

// Run writes queued lines until ctx is canceled. Before it returns, it writes one last batch
// of queued lines and reports dropped ones.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.drain()
			return
		case p := <-s.lines:
			s.write(s.batch(p))
		case <-t.C:
			s.reportDropped()
		}
	}
}

// batch appends queued lines to p until p holds flushBytes or the queue is empty.
func (s *Sink) batch(p []byte) []byte {
	for len(p) < flushBytes {
		select {
		case more := <-s.lines:
			p = append(p, more...)
		default:
			return p
		}
	}
	return p
}

func (s *Sink) drain() {
	select {
	case p := <-s.lines:
		s.write(s.batch(p))
	default:
	}
	s.reportDropped()
}

func (s *Sink) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, "sink: %d log lines were omitted\n", n))
	}
}

// write writes one batch. A failed batch counts as one dropped line, since a broken log output
// leaves no other place to report the error.
func (s *Sink) write(p []byte) {
	if _, err := s.out.Write(p); err != nil {
		s.dropped.Add(1)
	}
}
