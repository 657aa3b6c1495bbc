// Package sink writes log lines without delaying the goroutines that log: a bounded
// queue stands between them and the output, and lines beyond it are counted instead.
package sink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 512
	// flushBytes is the size of one write at most.
	flushBytes = 16 << 10
	// reportEvery is the interval at which omitted lines are reported.
	reportEvery = time.Second
)

// Sink is a writer of log lines. Write never blocks.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// rate is the number of lines a second that are written.
	rate    int
	omitted atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
}

// New returns a Sink for at most rate lines a second.
func New(out io.Writer, rate int) *Sink {
	return &Sink{out: out, rate: rate, lines: make(chan []byte, queueLines)}
}

// Write queues one line. It omits the line where the output is too slow or the rate
// is exceeded.
func (s *Sink) Write(p []byte) (int, error) {
	if !s.allow(time.Now()) {
		s.omitted.Add(1)
		return len(p), nil
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.omitted.Add(1)
	}
	return len(p), nil
}

func (s *Sink) allow(now time.Time) bool {
	second := now.Unix()
	if s.second.Swap(second) != second {
		s.count.Store(0)
	}
	return s.count.Add(1) <= int64(s.rate)
}

// Run writes queued lines until the context is done, and then those that are left.
func (s *Sink) Run(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.rest()
			return
		case p := <-s.lines:
			s.write(s.collect(p))
		case <-t.C:
			s.report()
		}
	}
}

// collect joins lines that wait into one write.
func (s *Sink) collect(p []byte) []byte {
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

func (s *Sink) rest() {
	select {
	case p := <-s.lines:
		s.write(s.collect(p))
	default:
	}
	s.report()
}

func (s *Sink) report() {
	if n := s.omitted.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, "sink: %d log lines were omitted\n", n))
	}
}

// write writes to the output. An output that fails can't be told of.
func (s *Sink) write(p []byte) {
	if _, err := s.out.Write(p); err != nil {
		s.omitted.Add(1)
	}
}
