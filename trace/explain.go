package trace

import (
	"cmp"
	"slices"
	"strings"
)

// Step is a line that tells something of the request.
type Step struct {
	Record
	// Context marks what the gateway believed or did before, on which it decided.
	Context bool
}

// Names of fields.
const (
	fieldRequest  = "request"
	fieldUpstream = "upstream"
	fieldModel    = "model"
	fieldAdapter  = "adapter"
	fieldCustomer = "customer"
)

// beliefs are the messages that may tell what a decision on the request was made by. The
// newest of each before the decision counts, with the same values of the fields that are
// named.
var beliefs = []struct {
	message string
	same    []string
	// fleet is set where lines of all gateways tell, as one of them acts for all.
	fleet bool
}{
	{startMessage, nil, false},
	{"entry: stopping", nil, false},
	{"entry: gateways", nil, false},
	{"feed: store does not answer", nil, false},
	{"feed: store answers again", nil, false},
	{"feed: configuration", nil, false},
	{"feed: customer", []string{fieldCustomer}, false},
	{"feed: upstream", []string{fieldUpstream}, false},
	{"feed: upstream is gone", []string{fieldUpstream}, false},
	{"entry: order", []string{fieldModel, fieldAdapter}, true},
	{"relay: upstream ended after answers broke off", nil, false},
}

// Explain returns what happened to the request over all gateways, in order of time, with
// the beliefs that decided it. It returns nothing for a request that no line names.
func Explain(records []Record, request string) []Step {
	ordered := slices.Clone(records)
	slices.SortStableFunc(ordered, func(a, b Record) int { return cmp.Compare(a.Timestamp, b.Timestamp) })
	kept := map[int]Step{}
	for i, r := range ordered {
		if r.Fields[fieldRequest] != request {
			continue
		}
		kept[i] = Step{Record: r}
		for _, b := range beliefs {
			if j := last(ordered[:i], r, b.message, b.same, b.fleet); j >= 0 {
				kept[j] = Step{Record: ordered[j], Context: true}
			}
		}
	}
	out := make([]Step, 0, len(kept))
	for i := range ordered {
		if s, ok := kept[i]; ok {
			out = append(out, s)
		}
	}
	return out
}

// last is the index of the newest line with the message that concerns the decision; -1 is
// none.
func last(before []Record, decision Record, message string, same []string, fleet bool) int {
	for i := len(before) - 1; i >= 0; i-- {
		r := before[i]
		if r.Message != message || !fleet && (r.Source != decision.Source || r.PID != decision.PID) {
			continue
		}
		if concerns(r, decision, same) {
			return i
		}
	}
	return -1
}

func concerns(r, decision Record, same []string) bool {
	for _, f := range same {
		if r.Fields[f] != decision.Fields[f] || f != fieldAdapter && decision.Fields[f] == "" {
			return false
		}
	}
	return true
}

// FormatFields is the line's fields in order of their names, without those that are empty.
func (r Record) FormatFields() string {
	names := make([]string, 0, len(r.Fields))
	for n, v := range r.Fields {
		if v != "" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, n := range names {
		parts = append(parts, n+"="+r.Fields[n])
	}
	return strings.Join(parts, " ")
}
