// Package budget decides what callers may hold in a process: connections, heads of requests and bodies. Each has a part of
// the memory and of the file descriptors. It does no I/O; the caller passes the time.
package budget

import "github.com/magnolialever/magnolialever/units"

// Machine is what a process may use.
type Machine struct {
	// Memory is the size of its memory.
	Memory units.Bytes
	// Descriptors is the number of files and connections that it may have open, without those that are reserved; 0 if
	// that is unknown.
	Descriptors int
}

// Shares are the parts of a Machine that callers may use.
type Shares struct {
	// Connections bounds the connections of callers, ReadyConnections those to the readiness check, and
	// MetricsConnections those to the metrics.
	Connections, ReadyConnections, MetricsConnections int
	// Heads bounds what the heads of requests may take beyond FreeHeadBytes and FreeHeadFields each, at all listeners.
	Heads units.Bytes
	// Bodies bounds the buffered bodies of requests.
	Bodies units.Bytes
}

const (
	// MaxConnections bounds the connections of callers where memory and descriptors would allow more.
	MaxConnections = 1800
	// maxReadyConnections and maxMetricsConnections likewise.
	maxReadyConnections   = 64
	maxMetricsConnections = 16
	// minConnections is the number of connections of callers that any machine allows.
	minConnections = 16
	// ownDescriptors is the number of descriptors that a process uses for itself: its listeners, calls to the store,
	// sockets for other gateways, reports and orders of the leader.
	ownDescriptors = 64
	// descriptorsPerCaller is the number of descriptors that a connection may need: its own, and one to an upstream.
	descriptorsPerCaller = 2
	// connectionBytes is what a connection takes with a head that needs no claim: two buffers of 4 KiB, the stacks of two
	// goroutines, the parsed head, and what the system has received for it.
	connectionBytes = 48 << 10
	// connectionsPart, headsPart and bodiesPart divide the memory to give the shares. A body may be in memory twice while it
	// is sent.
	connectionsPart = 2
	headsPart       = 10
	bodiesPart      = 5
)

// Share divides a machine among what callers may hold.
func Share(m Machine) Shares {
	s := Shares{
		Connections: MaxConnections, ReadyConnections: maxReadyConnections, MetricsConnections: maxMetricsConnections,
		Heads: m.Memory / headsPart, Bodies: m.Memory / bodiesPart,
	}
	if m.Memory > 0 {
		s.Connections = min(s.Connections, int(m.Memory/connectionsPart/connectionBytes))
	}
	if m.Descriptors > 0 {
		left := m.Descriptors - ownDescriptors - s.ReadyConnections - s.MetricsConnections
		s.Connections = min(s.Connections, left*closingPart/(closingPart+1)/descriptorsPerCaller)
	}
	s.Connections = max(s.Connections, minConnections)
	return s
}
