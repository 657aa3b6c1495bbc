package parts

// State tells whether a request with a part may be sent.
type State uint8

// States of a part.
const (
	// Unproven parts need the permission of their owner.
	Unproven State = iota
	// Proven parts are harmless.
	Proven
	// Refused parts crash upstreams.
	Refused
)

// Reply is the answer of a part's owner to a gateway that wants to send a request with the part.
type Reply uint8

// Replies of an owner.
const (
	// Busy means that enough requests with the part are on their way.
	Busy Reply = iota
	// Granted means that the request may be sent. Its end has to be reported.
	Granted
	// Harmless means that the part is proven.
	Harmless
	// Denied means that the part is refused.
	Denied
)

// Permit identifies a granted request.
type Permit uint64

// Stage is how far a request with a permit has come.
type Stage uint8

// Stages of a request.
const (
	// Queued requests wait for an upstream.
	Queued Stage = iota
	// Sending means that the request is sent as soon as the owner grants it.
	Sending
)

// Reach is how many of the gateways the one that decides on a part hears. Those that it does not hear may
// decide as well.
type Reach uint8

// Reaches of a gateway.
const (
	// ReachAll means that it hears all gateways.
	ReachAll Reach = iota
	// ReachMost means that it hears more than half of them, itself included.
	ReachMost
	// ReachFew means that it hears at most half of them.
	ReachFew
)

// String returns the name of the reach for logs.
func (r Reach) String() string {
	switch r {
	case ReachAll:
		return "all"
	case ReachMost:
		return "most"
	case ReachFew:
		return "few"
	}
	return "unknown"
}
