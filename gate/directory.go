package gate

import (
	"crypto/sha256"
	"sort"

	"github.com/magnolialever/magnolialever/units"
)

// KeyHash is the SHA-256 of a key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash by which a key is looked up.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Caller is what a key stands for.
type Caller struct {
	Customer units.CustomerID
	Key      units.KeyID
	// Class is the default class of requests with the key.
	Class units.Class
	// Weight is the share of the customer in the fair queue.
	Weight uint32
}

// Route is what the operators' entry of a service says about one call.
type Route struct {
	// Unauthenticated routes need no key.
	Unauthenticated bool
	// Idempotent calls may be repeated.
	Idempotent bool
}

// Directory answers who may call what. It is an immutable snapshot, safe for
// concurrent use.
type Directory interface {
	// Caller returns what the key with the hash stands for.
	Caller(h KeyHash) (Caller, bool)
	// Model reports whether the customer may use the model or adapter.
	Model(c units.CustomerID, m units.ModelID) bool
	// Models lists what the customer may use, sorted.
	Models(c units.CustomerID) []units.ModelID
	// Route returns the rules for a call of a service; false when there is no such
	// service.
	Route(s units.ServiceID, method, path string) (Route, bool)
}

// StaticDirectory is a Directory that is filled before use. Every customer may use every
// model.
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
