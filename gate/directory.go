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
	// Open routes need no key.
	Open bool
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

// Static is a Directory that is filled before use. Every customer may use every
// model.
type Static struct {
	Keys     map[KeyHash]Caller
	Names    map[units.ModelID]bool
	Services map[units.ServiceID]func(method, path string) Route
}

// Caller implements Directory.
func (s *Static) Caller(h KeyHash) (Caller, bool) {
	c, ok := s.Keys[h]
	return c, ok
}

// Model implements Directory.
func (s *Static) Model(_ units.CustomerID, m units.ModelID) bool { return s.Names[m] }

// Models implements Directory.
func (s *Static) Models(units.CustomerID) []units.ModelID {
	names := make([]units.ModelID, 0, len(s.Names))
	for n := range s.Names {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Route implements Directory.
func (s *Static) Route(id units.ServiceID, method, path string) (Route, bool) {
	f, ok := s.Services[id]
	if !ok {
		return Route{}, false
	}
	return f(method, path), true
}
