package gate

import (
	"fmt"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
)

// Settings is the content of gate.json.
type Settings struct {
	// PublicAddress is the listener address for callers, as IP:port.
	PublicAddress string `json:"public"`
	// AgentAddresses are the addresses of the agents, as IP:port.
	AgentAddresses []string `json:"agents"`
	// GatewayAddresses are the peer addresses of other gateways, as IP:port.
	GatewayAddresses []string `json:"gateways"`
	// Limits of requests and connections; a value of 0 selects the default.
	Limits Limits `json:"limits"`
}

// Limits bound the resources that callers can use. All clock.Span values are in milliseconds.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `json:"body_bytes"`
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `json:"header_bytes"`
	// HeaderTimeout bounds the time to read the headers of a request.
	HeaderTimeout clock.Span `json:"header"`
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout clock.Span `json:"body"`
	// WriteTimeout bounds the time of one write and flush to the caller.
	WriteTimeout clock.Span `json:"write"`
	// IdleTimeout bounds the time that a connection stays open without requests.
	IdleTimeout clock.Span `json:"idle"`
	// StallTimeout bounds the time between two frames of a response in progress.
	StallTimeout clock.Span `json:"stall"`
	// StopTimeout is the time after which a graceful stop cancels the requests in progress.
	StopTimeout clock.Span `json:"stop"`
	// DrainDelay is how long a stopping gateway still accepts new requests after its readiness
	// check has begun to fail.
	DrainDelay clock.Span `json:"notice"`
	// MaxConnections bounds the open connections of each listener.
	MaxConnections int `json:"connections"`
	// MaxRequests bounds the requests in progress.
	MaxRequests int `json:"requests"`
	// MaxCustomerRequests bounds the requests in progress of one customer.
	MaxCustomerRequests int `json:"customer_requests"`
	// MaxBufferBytes bounds the total size of request body buffers.
	MaxBufferBytes int64 `json:"buffer_bytes"`
	// MaxHeadBuffers bounds what the headers of all requests in memory take beyond 4 KiB and 64 lines and commas each; by default a
	// quarter of MaxBufferBytes.
	MaxHeadBuffers int64 `json:"head_buffer_bytes"`
	// LiveDeadline, NormalDeadline and NightDeadline are the times from the arrival of a request to
	// the start of its response, by class.
	LiveDeadline   clock.Span `json:"live"`
	NormalDeadline clock.Span `json:"normal"`
	NightDeadline  clock.Span `json:"night"`
}

// defaultLimits suit requests to language models; a body of 8 MB holds about two million tokens.
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

// headBufferPart divides MaxBufferBytes to give the default of MaxHeadBuffers.
const headBufferPart = 4

// maxBodyBytes leaves room for the other fields of a wire.Call in a frame of the largest size.
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
	orDefault(&l.MaxHeadBuffers, l.MaxBufferBytes/headBufferPart)
	orDefault(&l.LiveDeadline, d.LiveDeadline)
	orDefault(&l.NormalDeadline, d.NormalDeadline)
	orDefault(&l.NightDeadline, d.NightDeadline)
}

// WithDefaults returns the limits with the defaults of those that are not set.
func (l Limits) WithDefaults() Limits {
	s := Settings{Limits: l}
	s.setDefaults()
	return s.Limits
}

// orDefault sets a zero value to the fallback.
func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Check implements config.Section: it reports each invalid value with its path.
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
		{"limits.head_buffer_bytes", l.MaxHeadBuffers},
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
