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

// Guards against rare lines that are lost among frequent ones, and against an unbounded volume of lines
// with a header.
func TestFrequentLinesDontDisplaceRareOnes(t *testing.T) {
	const frequent = "I0622 18:17:39.001171    5013 feed.go:219] upstream\n"
	const rare = "I0622 18:17:39.001171    5013 validity.go:60] keys not accepted\n"
	var out bytes.Buffer
	s := sink.New(&out, 20)
	for range 300 {
		_, err := s.Write([]byte(frequent))
		assert.NilError(t, err)
	}
	_, err := s.Write([]byte(rare))
	assert.NilError(t, err)
	run(s)()
	assert.Equal(t, strings.Count(out.String(), rare), 1)
	lines := strings.Count(out.String(), frequent)
	assert.Assert(t, lines >= 20 && lines <= 50, "%d lines written, limit 25 per second over at most two seconds", lines)
}

// Guards against last lines that are missing because more than one batch is queued when the process ends, as when a stop
// cuts many requests at once.
func TestLastLinesAreWritten(t *testing.T) {
	const lines, lineBytes = 400, 200
	var out bytes.Buffer
	s := sink.New(&out, 100_000)
	line := strings.Repeat("x", lineBytes-1) + "\n"
	for range lines {
		_, err := s.Write([]byte(line))
		assert.NilError(t, err)
	}
	run(s)()
	assert.Equal(t, strings.Count(out.String(), line), lines)
}
