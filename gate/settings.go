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
	// Gateways are the peer addresses of other gateways, as IP:port.
	Gateways []string `json:"gateways"`
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
	// Notice is the time for which new requests are still taken after the readiness
	// check has begun to fail.
	Notice clock.Span `json:"notice"`
	// Connections is the largest number of connections to a listener.
	Connections int `json:"connections"`
	// Requests is the largest number of requests in progress.
	Requests int `json:"requests"`
	// CustomerRequests is the largest number of requests in progress of one customer.
	CustomerRequests int `json:"customer_requests"`
	// BufferBytes is the largest sum of request bodies in memory.
	BufferBytes int64 `json:"buffer_bytes"`
	// Deadlines are the times to the start of an answer, by class.
	Live   clock.Span `json:"live"`
	Normal clock.Span `json:"normal"`
	Night  clock.Span `json:"night"`
}

// defaultLimits are for requests of language models; a body of 8 MB holds about
// two million tokens.
var defaultLimits = Limits{
	BodyBytes:        8 << 20,
	HeaderBytes:      64 << 10,
	Header:           10 * clock.Second,
	Body:             clock.Minute,
	Write:            30 * clock.Second,
	Idle:             2 * clock.Minute,
	Stall:            clock.Minute,
	Stop:             10 * clock.Minute,
	Notice:           clock.Second,
	Connections:      8192,
	Requests:         4096,
	CustomerRequests: 2048,
	BufferBytes:      256 << 20,
	Live:             5 * clock.Second,
	Normal:           5 * clock.Minute,
	Night:            clock.Hour,
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
	orDefault(&l.Notice, d.Notice)
	orDefault(&l.Connections, d.Connections)
	orDefault(&l.Requests, d.Requests)
	orDefault(&l.CustomerRequests, d.CustomerRequests)
	orDefault(&l.BufferBytes, d.BufferBytes)
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
	for _, a := range s.Gateways {
		config.CheckAddress("gateways", a, report)
	}
	s.Limits.check(report)
}

func (l *Limits) check(report func(path, problem string)) {
	if l.BodyBytes < 0 || l.BodyBytes > maxBodyBytes {
		report("limits.body_bytes", fmt.Sprintf("must be between 0 and %d", maxBodyBytes))
	}
	values := []struct {
		path  string
		value int64
	}{
		{"limits.header_bytes", int64(l.HeaderBytes)},
		{"limits.connections", int64(l.Connections)},
		{"limits.requests", int64(l.Requests)},
		{"limits.customer_requests", int64(l.CustomerRequests)},
		{"limits.buffer_bytes", l.BufferBytes},
		{"limits.header", int64(l.Header)},
		{"limits.body", int64(l.Body)},
		{"limits.write", int64(l.Write)},
		{"limits.idle", int64(l.Idle)},
		{"limits.stall", int64(l.Stall)},
		{"limits.stop", int64(l.Stop)},
		{"limits.notice", int64(l.Notice)},
		{"limits.live", int64(l.Live)},
		{"limits.normal", int64(l.Normal)},
		{"limits.night", int64(l.Night)},
	}
	for _, v := range values {
		if v.value < 0 {
			report(v.path, "must not be negative")
		}
	}
}
