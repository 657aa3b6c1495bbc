// Package sink writes log lines asynchronously, so that a slow output never blocks the
// goroutines that log. Lines wait in a bounded queue; those that don't fit are dropped and
// their number is reported in the log.
package sink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
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
	// reservedLines is the number of lines a second that each place in the code may write beyond the
	// rate limit, so that frequent lines don't displace rare ones.
	reservedLines = 5
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

	mu sync.Mutex // guards the fields below
	// currentSecond is the Unix time in seconds to which the counts belong.
	currentSecond int64
	// sharedLines counts the lines beyond the reserved ones, linesByPlace all lines by the place in the
	// code that wrote them.
	sharedLines  int
	linesByPlace map[string]int
}

// New returns a Sink that writes at most linesPerSecond to out, besides reservedLines for each place in
// the code that logs.
func New(out io.Writer, linesPerSecond int) *Sink {
	return &Sink{out: out, linesPerSecond: linesPerSecond, lines: make(chan []byte, queueLines), linesByPlace: map[string]int{}}
}

// Write queues a copy of one line and never blocks. It drops the line when the queue is full
// or the rate limit is exceeded. The returned error is always nil.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.allowLine(time.Now().Unix(), p) {
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

// allowLine counts a line that was written in the second and reports whether it is within the limits.
func (s *Sink) allowLine(second int64, line []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentSecond != second {
		s.currentSecond, s.sharedLines = second, 0
		clear(s.linesByPlace)
	}
	if place := placeOf(line); place != "" {
		s.linesByPlace[place]++
		if s.linesByPlace[place] <= reservedLines {
			return true
		}
	}
	s.sharedLines++
	return s.sharedLines <= s.linesPerSecond
}

// placeOf returns the file and line number in the header of a log line; empty if there is no header.
func placeOf(line []byte) string {
	header, _, ok := bytes.Cut(line, []byte("] "))
	if !ok {
		return ""
	}
	return string(header[bytes.LastIndexByte(header, ' ')+1:])
}

// Run writes queued lines until ctx is canceled. Before it returns, it writes the lines that are queued
// by then and reports dropped ones.
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

// drain writes all queued lines. Lines that are queued meanwhile don't prolong it beyond the capacity of the queue.
func (s *Sink) drain() {
	for range queueLines {
		select {
		case p := <-s.lines:
			s.write(s.batch(p))
		default:
			s.reportDropped()
			return
		}
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
