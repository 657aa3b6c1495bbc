// Package agent implements the process that runs beside one upstream. All requests to
// the upstream and all load and unload orders pass through the agent, which decides
// whether they are admitted.
package agent

import (
	"crypto/tls"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/units"
)

// Kind is the type of an upstream.
type Kind string

// Values of Kind.
const (
	// Engine is a replica of a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
)

// Upstream describes the upstream of an agent.
type Upstream struct {
	Kind Kind `json:"kind"`
	// Address is the IP address and port of the upstream's HTTP interface.
	Address string `json:"address"`
	// Capacity is the accelerator memory available to models and adapters, in bytes.
	Capacity units.Bytes `json:"capacity"`
	// ChecksFence is true when the engine rejects stale fencing numbers itself. The agent
	// rejects them in either case.
	ChecksFence bool `json:"fences"`
	// Services lists the services that the upstream offers.
	Services []units.ServiceID `json:"services"`
}

// Limits bounds the work of an agent. A field that is zero or negative gets its
// default. Durations are in milliseconds.
type Limits struct {
	// Running is the maximum number of requests in flight at the upstream.
	Running int `json:"running"`
	// QueuedPerCustomer is the maximum number of queued requests of one customer.
	QueuedPerCustomer int `json:"queued_per_customer"`
	// QueuedBytesPerCustomer is the maximum total body size of these requests.
	QueuedBytesPerCustomer units.Bytes `json:"queued_bytes_per_customer"`
	// BodyBytes is the maximum body size of one request.
	BodyBytes units.Bytes `json:"body_bytes"`
	// Requests is the maximum number of queued and running requests of all customers.
	Requests int `json:"requests"`
	// Sessions is the maximum number of open sessions of gateways.
	Sessions int `json:"sessions"`
	// ColdStartRequests is the initial limit of requests in flight at a cold upstream.
	ColdStartRequests int `json:"start_allowance"`
	// StopTimeout is how long a graceful stop waits for requests in flight, and how
	// long an unload waits for the requests of its target.
	StopTimeout clock.Span `json:"stop"`
	// PollInterval is the interval between reads of the engine's load report.
	PollInterval clock.Span `json:"poll"`
}

// Defaults of Limits. defaultSessions is twice the number of gateways expected in two
// years.
const (
	defaultRunning                = 64
	defaultQueuedPerCustomer      = 1024
	defaultQueuedBytesPerCustomer = 64 << 20
	defaultBodyBytes              = 64 << 20
	defaultRequests               = 8192
	defaultSessions               = 640
	defaultColdStartRequests      = 2
	defaultStopTimeout            = 10 * clock.Minute
	defaultPollInterval           = 100 * clock.Millisecond
)

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (l *Limits) setDefaults() {
	setDefault(&l.Running, defaultRunning)
	setDefault(&l.QueuedPerCustomer, defaultQueuedPerCustomer)
	setDefault(&l.QueuedBytesPerCustomer, defaultQueuedBytesPerCustomer)
	setDefault(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.Requests, defaultRequests)
	setDefault(&l.Sessions, defaultSessions)
	setDefault(&l.ColdStartRequests, defaultColdStartRequests)
	setDefault(&l.StopTimeout, defaultStopTimeout)
	setDefault(&l.PollInterval, defaultPollInterval)
}

// Options configures an agent.
type Options struct {
	Node config.Node
	// Secret authenticates the sessions with gateways.
	Secret []byte
	// TLS, when set, encrypts the sessions with gateways.
	TLS      *tls.Config
	Upstream Upstream
	Limits   Limits
	// ReadSlotTable reads the slot table from the store. When it is nil, slot tables
	// received from gateways are trusted as current.
	ReadSlotTable SlotTableReader
	// AllowFree admits calls of cost zero without a permit, such as those on
	// unauthenticated routes of services.
	AllowFree bool
	// Clock defaults to the monotonic clock of the process.
	Clock clock.Clock
}
