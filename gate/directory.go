package gate

import (
	"crypto/sha256"
	"sort"

	"github.com/magnolialever/magnolialever/units"
)

// KeyHash is the SHA-256 of an API key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an API key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Caller is the identity to which an API key belongs.
type Caller struct {
	Customer units.CustomerID
	Key      units.KeyID
	// Class is the default priority class of requests with the key.
	Class units.Class
	// Weight is the customer's weight in the fair queue.
	Weight uint32
}

// Route holds the rules for one call of a plain service, as configured by the operators.
type Route struct {
	// Unauthenticated routes need no API key.
	Unauthenticated bool
	// Idempotent calls may be retried after an attempt that may have run.
	Idempotent bool
}

// Directory is an immutable snapshot of API keys, permissions and service routes. It must be safe
// for concurrent use.
type Directory interface {
	// Caller returns the identity to which the key with the hash belongs; false when there is no
	// such key.
	Caller(h KeyHash) (Caller, bool)
	// Model reports whether the customer may use the model or adapter.
	Model(c units.CustomerID, m units.ModelID) bool
	// Models returns the models and adapters that the customer may use, sorted.
	Models(c units.CustomerID) []units.ModelID
	// Route returns the rules for a call of a service; false when there is no such service. The
	// path is decoded and starts with a slash.
	Route(s units.ServiceID, method, path string) (Route, bool)
}

// StaticDirectory is a Directory with fixed content. Every customer may use every model. It must
// not be modified after first use.
type StaticDirectory struct {
	Keys     map[KeyHash]Caller
	ModelIDs map[units.ModelID]bool
	Services map[units.ServiceID]func(method, path string) Route
}

// Caller implements Directory.
func (s *StaticDirectory) Caller(h KeyHash) (Caller, bool) {
	c, ok := s.Keys[h]
	return c, ok
}

// Model implements Directory.
func (s *StaticDirectory) Model(_ units.CustomerID, m units.ModelID) bool { return s.ModelIDs[m] }

// Models implements Directory.
func (s *StaticDirectory) Models(units.CustomerID) []units.ModelID {
	names := make([]units.ModelID, 0, len(s.ModelIDs))
	for n := range s.ModelIDs {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Route implements Directory.
func (s *StaticDirectory) Route(id units.ServiceID, method, path string) (Route, bool) {
	f, ok := s.Services[id]
	if !ok {
		return Route{}, false
	}
	return f(method, path), true
}
