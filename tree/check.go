package tree

import (
	"fmt"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// Upper bounds of configured numbers, which keep sums and products from overflowing.
const (
	maxTokens units.Tokens = 1e12
	maxWeight uint32       = 1e6
	maxBytes  units.Bytes  = 1 << 50
)

// Names of the lists in problem paths and differences; they equal the JSON names.
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

// Problem is a validation error of a team configuration.
type Problem struct {
	// Path is the path of the field, such as "keys.3.customer"; indexes start at 0. It is
	// empty for a problem of the whole configuration.
	Path string
	// Text describes the problem.
	Text string
}

// checker validates one team configuration and passes each problem to report.
type checker struct {
	report func(path, problem string)
}

func (c checker) reportf(path, format string, args ...any) {
	c.report(path, fmt.Sprintf(format, args...))
}

func fieldPath(list string, i int, field string) string {
	return fmt.Sprintf("%s.%d.%s", list, i, field)
}

// Check reports the problems of v that don't depend on other teams. It implements the
// section interface of package config.
func (v *Team) Check(report func(path, problem string)) {
	c := checker{report}
	c.customers(v)
	c.keys(v)
	c.targets(v)
	c.services(v)
	c.credentials(v)
	c.exclusions(v)
	if v.Limits != nil {
		c.limits(v.Limits)
	}
}

// checkNames validates the l names of a list and reports duplicates. It adds the names to
// seen, which holds those of other lists in the same namespace.
func checkNames[N ~string](c checker, list, chars string, count int, name func(i int) N, seen map[N]struct{}) {
	for i := range count {
		n := name(i)
		path := fieldPath(list, i, "id")
		if p := nameProblem(string(n), chars); p != "" {
			c.report(path, p)
		}
		if _, duplicate := seen[n]; duplicate {
			c.reportf(path, "duplicate name %q", n)
		}
		seen[n] = struct{}{}
	}
}

func (c checker) customers(v *Team) {
	checkNames(c, listCustomers, nameChars, len(v.Customers),
		func(i int) units.CustomerID { return v.Customers[i].ID }, map[units.CustomerID]struct{}{})
	for i, e := range v.Customers {
		if e.Rate < 1 || e.Rate > maxTokens {
			c.reportf(fieldPath(listCustomers, i, "rate"), "must be between 1 and %d", maxTokens)
		}
		if e.Burst < 1 || e.Burst > maxTokens {
			c.reportf(fieldPath(listCustomers, i, "burst"), "must be between 1 and %d", maxTokens)
		}
		if e.Weight > maxWeight {
			c.reportf(fieldPath(listCustomers, i, "weight"), "must be at most %d", maxWeight)
		}
		c.class(fieldPath(listCustomers, i, "class"), e.Class)
	}
}

func (c checker) class(path string, n ClassName) {
	if !n.known() {
		c.reportf(path, "unknown class %q; must be live, normal or night", n)
	}
}

func (c checker) keys(v *Team) {
	checkNames(c, listKeys, nameChars, len(v.Keys),
		func(i int) units.KeyID { return v.Keys[i].ID }, map[units.KeyID]struct{}{})
	known := make(map[units.CustomerID]struct{}, len(v.Customers))
	for _, e := range v.Customers {
		known[e.ID] = struct{}{}
	}
	seen := make(map[Hash]struct{}, len(v.Keys))
	for i, k := range v.Keys {
		if _, ok := known[k.Customer]; !ok {
			c.reportf(fieldPath(listKeys, i, "customer"), "key %q refers to customer %q, which the team does not have", k.ID, k.Customer)
		}
		c.hash(fieldPath(listKeys, i, "hash"), k.Hash, seen)
		c.class(fieldPath(listKeys, i, "class"), k.Class)
	}
}

// hash reports an unset hash and one that is already in seen, to which it adds h.
func (c checker) hash(path string, h Hash, seen map[Hash]struct{}) {
	if h == (Hash{}) {
		c.report(path, "must be a SHA-256 hash in hexadecimal")
	}
	if _, duplicate := seen[h]; duplicate {
		c.report(path, "duplicate hash")
	}
	seen[h] = struct{}{}
}

func (c checker) targets(v *Team) {
	seen := map[units.ModelID]struct{}{}
	checkNames(c, listModels, modelChars, len(v.Models), func(i int) units.ModelID { return v.Models[i].ID }, seen)
	checkNames(c, listAdapters, modelChars, len(v.Adapters), func(i int) units.ModelID { return v.Adapters[i].ID }, seen)
	for i, m := range v.Models {
		c.bytes(fieldPath(listModels, i, "bytes"), m.Bytes)
	}
	for i, a := range v.Adapters {
		c.bytes(fieldPath(listAdapters, i, "bytes"), a.Bytes)
		if a.Base == "" {
			c.report(fieldPath(listAdapters, i, "base"), "must not be empty")
		}
	}
}

func (c checker) bytes(path string, b units.Bytes) {
	if b < 1 || b > maxBytes {
		c.reportf(path, "must be between 1 and %d", maxBytes)
	}
}

func (c checker) services(v *Team) {
	checkNames(c, listServices, nameChars, len(v.Services),
		func(i int) units.ServiceID { return v.Services[i].ID }, map[units.ServiceID]struct{}{})
	for i, s := range v.Services {
		c.routes(fieldPath(listServices, i, "idempotent"), s.Idempotent)
		c.routes(fieldPath(listServices, i, "open"), s.Open)
	}
}

func (c checker) routes(path string, l []Route) {
	for i, r := range l {
		if r.Method != "*" && (r.Method == "" || strings.Trim(r.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "") {
			c.report(fieldPath(path, i, "method"), `must be an HTTP method in upper case, or "*"`)
		}
		if p, _ := strings.CutSuffix(r.Path, wildcardSuffix); p != "" && !isCanonical(p) || r.Path == "" || strings.Contains(p, "*") {
			c.report(fieldPath(path, i, "path"), `must be a path such as "/cases" or a prefix such as "/cases/*"`)
		}
	}
}

func (c checker) credentials(v *Team) {
	checkNames(c, listCredentials, nameChars, len(v.Credentials),
		func(i int) string { return v.Credentials[i].ID }, map[string]struct{}{})
	seen := make(map[Hash]struct{}, len(v.Credentials))
	for i, e := range v.Credentials {
		c.hash(fieldPath(listCredentials, i, "hash"), e.Hash, seen)
	}
}

func (c checker) exclusions(v *Team) {
	checkExclusions(c, listZones, v.ExcludedZones)
	checkExclusions(c, listUpstreams, v.ExcludedUpstreams)
}

// checkExclusions validates the names of excluded zones or upstreams.
func checkExclusions[N ~string](c checker, list string, l []N) {
	seen := make(map[N]struct{}, len(l))
	for i, n := range l {
		path := fmt.Sprintf("%s.%d", list, i)
		if p := nameProblem(string(n), nameChars); p != "" {
			c.report(path, p)
		}
		if _, duplicate := seen[n]; duplicate {
			c.reportf(path, "duplicate name %q", n)
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
