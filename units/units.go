// Package units defines the named types of identifiers and quantities that the
// packages exchange.
package units

// Identifiers.
type (
	// CustomerID names a customer.
	CustomerID string
	// TeamID names a team of operators and the subtree that it may change.
	TeamID string
	// KeyID names a key of a customer; it is not the secret.
	KeyID string
	// ModelID names a model or an adapter: both share one name space.
	ModelID string
	// ServiceID names a plain service.
	ServiceID string
	// UpstreamID names one replica of a model engine or a plain service.
	UpstreamID string
	// VMID names a VM.
	VMID string
	// Zone names an availability zone.
	Zone string
	// AttemptID names one attempt to run a request.
	AttemptID string
)

// Quantities.
type (
	// Tokens counts tokens of prompts and answers.
	Tokens int64
	// Bytes counts bytes of memory or of messages.
	Bytes int64
	// Fence is a fencing number of the controller's lease; it only grows.
	Fence int64
	// Epoch numbers changes of ownership or leadership; it only grows.
	Epoch int64
	// Revision is a revision of the platform's key-value service; it only grows.
	Revision int64
)

// Class is the deadline class of a request.
type Class uint8

// Deadline classes, most urgent first.
const (
	// Live requests are interactive, such as captions and exam help.
	Live Class = iota
	// Normal requests have a caller that waits for the answer.
	Normal
	// Night requests may be queued for hours.
	Night
)

// Classes is the number of deadline classes.
const Classes = 3

var classNames = [Classes]string{"live", "normal", "night"}

// String returns the name of the class as used in settings and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass returns the class with the given name.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return Normal, false
}
