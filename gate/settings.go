package gate

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
)

// Settings is the section gate.json.
type Settings struct {
	// Public is the address for callers, as IP:port.
	Public string `json:"public"`
	// Agents are the addresses of the agents, as IP:port.
	Agents []string `json:"agents"`
	// Limits of the listeners; a value of 0 takes the default.
	Limits Limits `json:"limits"`
}

// Limits bound what callers can use. Spans are in milliseconds.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderBytes is the largest request header.
	HeaderBytes int `json:"header_bytes"`
	// Header is the time to read a request header.
	Header clock.Span `json:"header"`
	// Body is the time to read a request body.
	Body clock.Span `json:"body"`
	// Write is the time for one flush to the caller.
	Write clock.Span `json:"write"`
	// Idle is the time that a connection may stay without requests.
	Idle clock.Span `json:"idle"`
	// Stall is the longest time between two frames of a running answer.
	Stall clock.Span `json:"stall"`
	// Stop is the time limit of a graceful stop.
	Stop clock.Span `json:"stop"`
	// Deadlines are the times to the start of an answer, by class.
	Live   clock.Span `json:"live"`
	Normal clock.Span `json:"normal"`
	Night  clock.Span `json:"night"`
}

// defaultLimits are for requests of language models; a body of 8 MB holds about
// two million tokens.
var defaultLimits = Limits{
	BodyBytes:   8 << 20,
	HeaderBytes: 64 << 10,
	Header:      10 * clock.Second,
	Body:        clock.Minute,
	Write:       30 * clock.Second,
	Idle:        2 * clock.Minute,
	Stall:       clock.Minute,
	Stop:        10 * clock.Minute,
	Live:        30 * clock.Second,
	Normal:      5 * clock.Minute,
	Night:       clock.Hour,
}

// maxBodyBytes leaves room for the rest of a call in the largest frame.
const maxBodyBytes = 15 << 20

func (s *Settings) setDefaults() {
	l, d := &s.Limits, &defaultLimits
	orDefault(&l.BodyBytes, d.BodyBytes)
	orDefault(&l.HeaderBytes, d.HeaderBytes)
	orDefault(&l.Header, d.Header)
	orDefault(&l.Body, d.Body)
	orDefault(&l.Write, d.Write)
	orDefault(&l.Idle, d.Idle)
	orDefault(&l.Stall, d.Stall)
	orDefault(&l.Stop, d.Stop)
	orDefault(&l.Live, d.Live)
	orDefault(&l.Normal, d.Normal)
	orDefault(&l.Night, d.Night)
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Check implements config.Section.
func (s *Settings) Check(report func(path, problem string)) {
	config.CheckAddress("public", s.Public, report)
	for _, a := range s.Agents {
		config.CheckAddress("agents", a, report)
	}
	s.Limits.check(report)
}

func (l *Limits) check(report func(path, problem string)) {
	if l.BodyBytes < 0 || l.BodyBytes > maxBodyBytes {
		report("limits.body_bytes", fmt.Sprintf("must be between 0 and %d", maxBodyBytes))
	}
	if l.HeaderBytes < 0 {
		report("limits.header_bytes", "must not be negative")
	}
	spans := []struct {
		path string
		span clock.Span
	}{
		{"limits.header", l.Header},
		{"limits.body", l.Body},
		{"limits.write", l.Write},
		{"limits.idle", l.Idle},
		{"limits.stall", l.Stall},
		{"limits.stop", l.Stop},
		{"limits.live", l.Live},
		{"limits.normal", l.Normal},
		{"limits.night", l.Night},
	}
	for _, s := range spans {
		if s.span < 0 {
			report(s.path, "must not be negative")
		}
	}
}
