package sink_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/sink"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// run starts s; stop cancels it and waits until Run has returned.
func run(s *sink.Sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// Guards against requests that are delayed by a stalled reader of standard output.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := sink.New(out, 100_000)
	stop := run(s)
	started := time.Now()
	for range 5000 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < time.Second)
	close(out.release)
	stop()
	assert.Assert(t, strings.Contains(out.out.String(), "log lines were omitted"))
}

// Guards against an unbounded log volume, and against dropped lines that are not reported.
func TestWriteRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	s := sink.New(&out, 20)
	for range 300 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	run(s)()
	lines := strings.Count(out.String(), "line\n")
	assert.Assert(t, lines >= 20 && lines <= 40, "%d lines written, limit 20 per second over at most two seconds", lines)
	assert.Assert(t, strings.Contains(out.String(), "log lines were omitted"))
}
