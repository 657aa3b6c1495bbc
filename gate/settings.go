package gate

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
)

// Settings is the section gate.json.
type Settings struct {
	// PublicAddress is the address for callers, as IP:port.
	PublicAddress string `json:"public"`
	// AgentAddresses are the addresses of the agents, as IP:port.
	AgentAddresses []string `json:"agents"`
	// GatewayAddresses are the peer addresses of other gateways, as IP:port.
	GatewayAddresses []string `json:"gateways"`
	// Limits of the listeners; a value of 0 takes the default.
	Limits Limits `json:"limits"`
}

// Limits bound what callers can use. Spans are in milliseconds.
type Limits struct {
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes int64 `json:"body_bytes"`
	// MaxHeaderBytes is the largest request header.
	MaxHeaderBytes int `json:"header_bytes"`
	// HeaderTimeout is the time to read a request header.
	HeaderTimeout clock.Span `json:"header"`
	// BodyTimeout is the time to read a request body.
	BodyTimeout clock.Span `json:"body"`
	// WriteTimeout is the time for one flush to the caller.
	WriteTimeout clock.Span `json:"write"`
	// IdleTimeout is the time that a connection may stay without requests.
	IdleTimeout clock.Span `json:"idle"`
	// StallTimeout is the longest time between two frames of a running answer.
	StallTimeout clock.Span `json:"stall"`
	// StopTimeout is the time limit of a graceful stop.
	StopTimeout clock.Span `json:"stop"`
	// DrainDelay is the time for which new requests are still taken after the readiness
	// check has begun to fail.
	DrainDelay clock.Span `json:"notice"`
	// MaxConnections is the largest number of connections to a listener.
	MaxConnections int `json:"connections"`
	// MaxRequests is the largest number of requests in progress.
	MaxRequests int `json:"requests"`
	// MaxCustomerRequests is the largest number of requests in progress of one customer.
	MaxCustomerRequests int `json:"customer_requests"`
	// MaxBufferBytes is the largest sum of request bodies in memory.
	MaxBufferBytes int64 `json:"buffer_bytes"`
	// Deadlines are the times to the start of an answer, by class.
	LiveDeadline   clock.Span `json:"live"`
	NormalDeadline clock.Span `json:"normal"`
	NightDeadline  clock.Span `json:"night"`
}

// defaultLimits are for requests of language models; a body of 8 MB holds about
// two million tokens.
var defaultLimits = Limits{
	MaxBodyBytes:        8 << 20,
	MaxHeaderBytes:      64 << 10,
	HeaderTimeout:       10 * clock.Second,
	BodyTimeout:         clock.Minute,
	WriteTimeout:        30 * clock.Second,
	IdleTimeout:         2 * clock.Minute,
	StallTimeout:        clock.Minute,
	StopTimeout:         10 * clock.Minute,
	DrainDelay:          clock.Second,
	MaxConnections:      8192,
	MaxRequests:         4096,
	MaxCustomerRequests: 2048,
	MaxBufferBytes:      256 << 20,
	LiveDeadline:        5 * clock.Second,
	NormalDeadline:      5 * clock.Minute,
	NightDeadline:       clock.Hour,
}

// maxBodyBytes leaves room for the rest of a call in the largest frame.
const maxBodyBytes = 15 << 20

func (s *Settings) setDefaults() {
	l, d := &s.Limits, &defaultLimits
	orDefault(&l.MaxBodyBytes, d.MaxBodyBytes)
	orDefault(&l.MaxHeaderBytes, d.MaxHeaderBytes)
	orDefault(&l.HeaderTimeout, d.HeaderTimeout)
	orDefault(&l.BodyTimeout, d.BodyTimeout)
	orDefault(&l.WriteTimeout, d.WriteTimeout)
	orDefault(&l.IdleTimeout, d.IdleTimeout)
	orDefault(&l.StallTimeout, d.StallTimeout)
	orDefault(&l.StopTimeout, d.StopTimeout)
	orDefault(&l.DrainDelay, d.DrainDelay)
	orDefault(&l.MaxConnections, d.MaxConnections)
	orDefault(&l.MaxRequests, d.MaxRequests)
	orDefault(&l.MaxCustomerRequests, d.MaxCustomerRequests)
	orDefault(&l.MaxBufferBytes, d.MaxBufferBytes)
	orDefault(&l.LiveDeadline, d.LiveDeadline)
	orDefault(&l.NormalDeadline, d.NormalDeadline)
	orDefault(&l.NightDeadline, d.NightDeadline)
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Check implements config.Section.
func (s *Settings) Check(report func(path, problem string)) {
	config.CheckAddress("public", s.PublicAddress, report)
	for _, a := range s.AgentAddresses {
		config.CheckAddress("agents", a, report)
	}
	for _, a := range s.GatewayAddresses {
		config.CheckAddress("gateways", a, report)
	}
	s.Limits.check(report)
}

func (l *Limits) check(report func(path, problem string)) {
	if l.MaxBodyBytes < 0 || l.MaxBodyBytes > maxBodyBytes {
		report("limits.body_bytes", fmt.Sprintf("must be between 0 and %d", maxBodyBytes))
	}
	values := []struct {
		path  string
		value int64
	}{
		{"limits.header_bytes", int64(l.MaxHeaderBytes)},
		{"limits.connections", int64(l.MaxConnections)},
		{"limits.requests", int64(l.MaxRequests)},
		{"limits.customer_requests", int64(l.MaxCustomerRequests)},
		{"limits.buffer_bytes", l.MaxBufferBytes},
		{"limits.header", int64(l.HeaderTimeout)},
		{"limits.body", int64(l.BodyTimeout)},
		{"limits.write", int64(l.WriteTimeout)},
		{"limits.idle", int64(l.IdleTimeout)},
		{"limits.stall", int64(l.StallTimeout)},
		{"limits.stop", int64(l.StopTimeout)},
		{"limits.notice", int64(l.DrainDelay)},
		{"limits.live", int64(l.LiveDeadline)},
		{"limits.normal", int64(l.NormalDeadline)},
		{"limits.night", int64(l.NightDeadline)},
	}
	for _, v := range values {
		if v.value < 0 {
			report(v.path, "must not be negative")
		}
	}
}
