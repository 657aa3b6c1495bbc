// Package agent is the process beside one upstream. It is the final authority on
// that upstream: each request and each order passes through it.
package agent

import (
	"crypto/tls"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/units"
)

// Kind tells what the upstream is.
type Kind string

// Kinds of upstreams.
const (
	// Engine is a replica of a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
)

// Upstream describes the upstream of an agent.
type Upstream struct {
	Kind Kind `json:"kind"`
	// Address is the IP address and port of its HTTP interface.
	Address string `json:"address"`
	// Capacity is the accelerator memory that models and adapters may take, in bytes.
	Capacity units.Bytes `json:"capacity"`
	// ChecksFence is true when the engine refuses old fencing numbers itself. The agent
	// refuses them in both cases.
	ChecksFence bool `json:"fences"`
	// Services are the services that the upstream offers.
	Services []units.ServiceID `json:"services"`
}

// Limits bound the work of an agent. A zero field takes its default. Spans are in
// milliseconds.
type Limits struct {
	// Running is the number of requests that the upstream runs at once.
	Running int `json:"running"`
	// QueuedPerCustomer bounds the waiting requests of one customer.
	QueuedPerCustomer int `json:"queued_per_customer"`
	// QueuedBytesPerCustomer bounds the bodies of these requests.
	QueuedBytesPerCustomer units.Bytes `json:"queued_bytes_per_customer"`
	// BodyBytes bounds the body of one request.
	BodyBytes units.Bytes `json:"body_bytes"`
	// Requests bounds the requests of all customers.
	Requests int `json:"requests"`
	// Sessions bounds the sessions of gateways.
	Sessions int `json:"sessions"`
	// ColdStartRequests is the number of requests at once that a cold upstream bears.
	ColdStartRequests int `json:"start_allowance"`
	// StopTimeout is the time that a graceful stop waits for running requests.
	StopTimeout clock.Span `json:"stop"`
	// PollInterval is the interval between reads of the engine's load.
	PollInterval clock.Span `json:"poll"`
}

// Defaults of the limits. The sessions suffice for twice the gateways expected in
// two years.
const (
	defaultRunning                = 64
	defaultQueuedPerCustomer      = 1024
	defaultQueuedBytesPerCustomer = 64 << 20
	defaultBodyBytes              = 64 << 20
	defaultRequests               = 8192
	defaultSessions               = 640
	defaultStartAllowance         = 2
	defaultStop                   = 10 * clock.Minute
	defaultPoll                   = 100 * clock.Millisecond
)

func orDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (l *Limits) complete() {
	orDefault(&l.Running, defaultRunning)
	orDefault(&l.QueuedPerCustomer, defaultQueuedPerCustomer)
	orDefault(&l.QueuedBytesPerCustomer, defaultQueuedBytesPerCustomer)
	orDefault(&l.BodyBytes, defaultBodyBytes)
	orDefault(&l.Requests, defaultRequests)
	orDefault(&l.Sessions, defaultSessions)
	orDefault(&l.ColdStartRequests, defaultStartAllowance)
	orDefault(&l.StopTimeout, defaultStop)
	orDefault(&l.PollInterval, defaultPoll)
}

// Options configure an agent.
type Options struct {
	Node   config.Node
	Secret []byte
	// TLS, when set, protects the sessions with gateways.
	TLS      *tls.Config
	Upstream Upstream
	Limits   Limits
	// ReadSlotTable reads the table of rate slot owners from the store. Without it, tables of
	// gateways count as current.
	ReadSlotTable SlotTableReader
	// AllowFree admits calls that cost nothing without a permit, such as those of open
	// routes of services.
	AllowFree bool
	// Clock defaults to the monotonic clock of the process.
	Clock clock.Clock
}
