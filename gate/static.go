package gate

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// StaticSettings fill a Static directory, for tests and trials without the
// operators' tree.
type StaticSettings struct {
	Keys     []StaticKey     `json:"keys"`
	Models   []string        `json:"models"`
	Services []StaticService `json:"services"`
}

// StaticKey is one key of a customer.
type StaticKey struct {
	// Hash is the SHA-256 of the key, in hexadecimal digits.
	Hash     string `json:"hash"`
	ID       string `json:"id"`
	Customer string `json:"customer"`
	// Class is the default class; empty: normal.
	Class  string `json:"class"`
	Weight uint32 `json:"weight"`
}

// StaticService is one plain service. A rule is a method and the start of a path,
// such as "GET /cases/".
type StaticService struct {
	ID         string   `json:"id"`
	Open       []string `json:"open"`
	Idempotent []string `json:"idempotent"`
}

func (s *StaticSettings) check(report func(path, problem string)) {
	for i, k := range s.Keys {
		path := fmt.Sprintf("static.keys[%d]", i)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != len(KeyHash{}) {
			report(path+".hash", "must be a SHA-256 in 64 hexadecimal digits")
		}
		if _, ok := units.ParseClass(k.Class); !ok && k.Class != "" {
			report(path+".class", "must be live, normal or night")
		}
	}
}

// directory returns the settings as a Directory.
func (s *StaticSettings) directory() *Static {
	d := &Static{
		Keys:     map[KeyHash]Caller{},
		Names:    map[units.ModelID]bool{},
		Services: map[units.ServiceID]func(method, path string) Route{},
	}
	for _, k := range s.Keys {
		var h KeyHash
		_, _ = hex.Decode(h[:], []byte(k.Hash)) // checked before
		c, _ := units.ParseClass(k.Class)
		d.Keys[h] = Caller{Customer: units.CustomerID(k.Customer), Key: units.KeyID(k.ID), Class: c, Weight: max(k.Weight, 1)}
	}
	for _, m := range s.Models {
		d.Names[units.ModelID(m)] = true
	}
	for _, v := range s.Services {
		d.Services[units.ServiceID(v.ID)] = v.route
	}
	return d
}

func (s StaticService) route(method, path string) Route {
	call := method + " " + path
	matches := func(rule string) bool { return strings.HasPrefix(call, rule) }
	return Route{
		Open:       slices.ContainsFunc(s.Open, matches),
		Idempotent: slices.ContainsFunc(s.Idempotent, matches),
	}
}
