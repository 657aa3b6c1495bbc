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
	// Heads bounds what the heads of requests may take beyond FreeHeadBytes and FreeHeadEntries each, at all listeners.
	Heads units.Bytes
	// Bodies bounds the buffered bodies of requests.
	Bodies units.Bytes
	// Unread bounds what the system has received for callers and the process has not read.
	Unread units.Bytes
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
	// callersShare of descriptorShares of the other descriptors are for connections of callers; the rest is for connections to
	// upstreams, of which only running requests need one, and for connections that are closing.
	callersShare     = 2
	descriptorShares = 3
	// connectionBytes is what a connection takes with a head that needs no claim: two buffers of 4 KiB, the stacks of two
	// goroutines and the parsed head. 9 KiB were measured for one without a request.
	connectionBytes = 24 << 10
	// The parts of the memory in percent. Answers have the same part as bodies, incomplete events half of it.
	connectionsPercent = 30
	headsPercent       = 5
	bodiesPercent      = 15
	unreadPercent      = 5
	percent            = 100
)

// Share divides a machine among what callers may hold.
func Share(m Machine) Shares {
	s := Shares{
		Connections: MaxConnections, ReadyConnections: maxReadyConnections, MetricsConnections: maxMetricsConnections,
		Heads: m.Memory * headsPercent / percent, Bodies: m.Memory * bodiesPercent / percent,
		Unread: m.Memory * unreadPercent / percent,
	}
	if m.Memory > 0 {
		s.Connections = min(s.Connections, int(m.Memory*connectionsPercent/percent/connectionBytes))
	}
	if m.Descriptors > 0 {
		left := m.Descriptors - ownDescriptors - s.ReadyConnections - s.MetricsConnections
		s.Connections = min(s.Connections, left*callersShare/descriptorShares)
	}
	s.Connections = max(s.Connections, minConnections)
	return s
}
