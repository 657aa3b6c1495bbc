package tree

import (
	"fmt"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// Bounds of numbers, so that sums and products can't overflow.
const (
	maxTokens units.Tokens = 1e12
	maxWeight uint32       = 1e6
	maxBytes  units.Bytes  = 1 << 50
)

// Names of the lists in paths and differences.
const (
	listCustomers   = "customers"
	listKeys        = "keys"
	listModels      = "models"
	listAdapters    = "adapters"
	listServices    = "services"
	listCredentials = "credentials"
	listZones       = "zones_out"
	listUpstreams   = "upstreams_out"
)

// Problem is something wrong with a value.
type Problem struct {
	// Path names the entry and field, such as "keys.3.customer"; indexes start at 0.
	Path string
	Text string
}

// checker collects the problems of one value.
type checker struct {
	report func(path, problem string)
}

func (c checker) addf(path, format string, args ...any) { c.report(path, fmt.Sprintf(format, args...)) }

func at(list string, i int, field string) string { return fmt.Sprintf("%s.%d.%s", list, i, field) }

// Check reports what is wrong with the value itself, whatever the other teams have.
// It makes Team a section of package config.
func (v *Team) Check(report func(path, problem string)) {
	c := checker{report}
	c.customers(v)
	c.keys(v)
	c.targets(v)
	c.services(v)
	c.credentials(v)
	c.marks(v)
	if v.Limits != nil {
		c.limits(v.Limits)
	}
}

// names checks the names of a list and reports those that occur twice. seen holds
// the names of earlier lists that share the name space.
func names[N ~string](c checker, list, chars string, l int, name func(i int) N, seen map[N]struct{}) {
	for i := range l {
		n := name(i)
		path := at(list, i, "id")
		if p := nameProblem(string(n), chars); p != "" {
			c.report(path, p)
		}
		if _, twice := seen[n]; twice {
			c.addf(path, "name %q occurs twice", n)
		}
		seen[n] = struct{}{}
	}
}

func (c checker) customers(v *Team) {
	names(c, listCustomers, nameChars, len(v.Customers),
		func(i int) units.CustomerID { return v.Customers[i].ID }, map[units.CustomerID]struct{}{})
	for i, e := range v.Customers {
		if e.Rate < 1 || e.Rate > maxTokens {
			c.addf(at(listCustomers, i, "rate"), "must be from 1 to %d", maxTokens)
		}
		if e.Burst < 1 || e.Burst > maxTokens {
			c.addf(at(listCustomers, i, "burst"), "must be from 1 to %d", maxTokens)
		}
		if e.Weight > maxWeight {
			c.addf(at(listCustomers, i, "weight"), "must be at most %d", maxWeight)
		}
		c.class(at(listCustomers, i, "class"), e.Class)
	}
}

func (c checker) class(path string, n ClassName) {
	if !n.known() {
		c.addf(path, "unknown class %q; known are live, normal and night", n)
	}
}

func (c checker) keys(v *Team) {
	names(c, listKeys, nameChars, len(v.Keys),
		func(i int) units.KeyID { return v.Keys[i].ID }, map[units.KeyID]struct{}{})
	known := make(map[units.CustomerID]struct{}, len(v.Customers))
	for _, e := range v.Customers {
		known[e.ID] = struct{}{}
	}
	seen := make(map[Hash]struct{}, len(v.Keys))
	for i, k := range v.Keys {
		if _, ok := known[k.Customer]; !ok {
			c.addf(at(listKeys, i, "customer"), "key %q names customer %q, which the team does not have", k.ID, k.Customer)
		}
		c.hash(at(listKeys, i, "hash"), k.Hash, seen)
		c.class(at(listKeys, i, "class"), k.Class)
	}
}

func (c checker) hash(path string, h Hash, seen map[Hash]struct{}) {
	if h == (Hash{}) {
		c.report(path, "must be a SHA-256 hash in hexadecimal")
	}
	if _, twice := seen[h]; twice {
		c.report(path, "the hash occurs twice")
	}
	seen[h] = struct{}{}
}

func (c checker) targets(v *Team) {
	seen := map[units.ModelID]struct{}{}
	names(c, listModels, modelChars, len(v.Models), func(i int) units.ModelID { return v.Models[i].ID }, seen)
	names(c, listAdapters, modelChars, len(v.Adapters), func(i int) units.ModelID { return v.Adapters[i].ID }, seen)
	for i, m := range v.Models {
		c.bytes(at(listModels, i, "bytes"), m.Bytes)
	}
	for i, a := range v.Adapters {
		c.bytes(at(listAdapters, i, "bytes"), a.Bytes)
		if a.Base == "" {
			c.report(at(listAdapters, i, "base"), "must not be empty")
		}
	}
}

func (c checker) bytes(path string, b units.Bytes) {
	if b < 1 || b > maxBytes {
		c.addf(path, "must be from 1 to %d", maxBytes)
	}
}

func (c checker) services(v *Team) {
	names(c, listServices, nameChars, len(v.Services),
		func(i int) units.ServiceID { return v.Services[i].ID }, map[units.ServiceID]struct{}{})
	for i, s := range v.Services {
		c.routes(at(listServices, i, "idempotent"), s.Idempotent)
		c.routes(at(listServices, i, "open"), s.Open)
	}
}

func (c checker) routes(path string, l []Route) {
	for i, r := range l {
		if r.Method != "*" && (r.Method == "" || strings.Trim(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			c.report(at(path, i, "method"), `must be an HTTP method in upper case, or "*"`)
		}
		if p, _ := strings.CutSuffix(r.Path, prefixMark); p != "" && !clean(p) || r.Path == "" || strings.Contains(p, "*") {
			c.report(at(path, i, "path"), `must be a path such as "/cases" or a prefix such as "/cases/*"`)
		}
	}
}

func (c checker) credentials(v *Team) {
	names(c, listCredentials, nameChars, len(v.Credentials),
		func(i int) string { return v.Credentials[i].ID }, map[string]struct{}{})
	seen := make(map[Hash]struct{}, len(v.Credentials))
	for i, e := range v.Credentials {
		c.hash(at(listCredentials, i, "hash"), e.Hash, seen)
	}
}

func (c checker) marks(v *Team) {
	marks(c, listZones, v.ExcludedZones)
	marks(c, listUpstreams, v.ExcludedUpstreams)
}

func marks[N ~string](c checker, list string, l []N) {
	seen := make(map[N]struct{}, len(l))
	for i, n := range l {
		path := fmt.Sprintf("%s.%d", list, i)
		if p := nameProblem(string(n), nameChars); p != "" {
			c.report(path, p)
		}
		if _, twice := seen[n]; twice {
			c.addf(path, "name %q occurs twice", n)
		}
		seen[n] = struct{}{}
	}
}

func (c checker) limits(l *Limits) {
	for _, f := range []struct {
		path     string
		negative bool
	}{
		{"limits.replica_bytes", l.ReplicaBytes < 0},
		{"limits.model_bytes", l.ModelBytes < 0},
		{"limits.rate", l.Rate < 0},
		{"limits.weight_loads", l.WeightLoadRate < 0},
		{"limits.weight_concurrent", l.WeightLoadConcurrency < 0},
		{"limits.customers", l.Customers < 0},
		{"limits.keys", l.Keys < 0},
		{"limits.models", l.Models < 0},
		{"limits.adapters", l.Adapters < 0},
	} {
		if f.negative {
			c.report(f.path, "must not be negative")
		}
	}
}
