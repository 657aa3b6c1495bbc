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

// stuck blocks each write until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

func run(s *sink.Sink) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// Guards against requests that wait for whoever reads standard output.
func TestStalledReaderDelaysNobody(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := sink.New(out, 100_000)
	stop := run(s)
	begin := time.Now()
	for range 5000 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < time.Second)
	close(out.release)
	stop()
	assert.Assert(t, strings.Contains(out.out.String(), "log lines were omitted"))
}

// Guards against a volume of logs without bound, and lines that go missing unsaid.
func TestRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	s := sink.New(&out, 20)
	for range 300 {
		_, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	run(s)()
	lines := strings.Count(out.String(), "line\n")
	assert.Assert(t, lines >= 20 && lines <= 40, "%d lines in at most two seconds", lines)
	assert.Assert(t, strings.Contains(out.String(), "log lines were omitted"))
}
