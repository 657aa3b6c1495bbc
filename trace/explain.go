package trace

import (
	"cmp"
	"slices"
	"strings"
)

// Step is a log line that belongs to the explanation of a request.
type Step struct {
	Record
	// Context is set for a line of an earlier event that a decision on the request depended
	// on. Other steps name the request itself.
	Context bool
}

// Names of log fields.
const (
	fieldRequest  = "request"
	fieldUpstream = "upstream"
	fieldModel    = "model"
	fieldAdapter  = "adapter"
	fieldCustomer = "customer"
)

// contextMessages are the messages of events that decisions on requests depend on. For each
// message, the newest line before the decision is part of the explanation.
var contextMessages = []struct {
	message string
	// matchFields are the fields whose values have to equal those of the decision's line.
	matchFields []string
	// anyGateway accepts lines of every gateway, for events in which one gateway acts for all.
	anyGateway bool
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

// Explain returns the lines that name the request, from all gateways and in order of time,
// together with the earlier events that the decisions on it depended on. The result is empty
// for a request that no line names. The records may be in any order.
func Explain(records []Record, request string) []Step {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return cmp.Compare(a.Timestamp, b.Timestamp) })
	selected := map[int]Step{}
	for i, r := range sorted {
		if r.Fields[fieldRequest] != request {
			continue
		}
		selected[i] = Step{Record: r}
		for _, b := range contextMessages {
			if j := newestBefore(sorted[:i], r, b.message, b.matchFields, b.anyGateway); j >= 0 {
				selected[j] = Step{Record: sorted[j], Context: true}
			}
		}
	}
	out := make([]Step, 0, len(selected))
	for i := range sorted {
		if s, ok := selected[i]; ok {
			out = append(out, s)
		}
	}
	return out
}

// newestBefore returns the index in before of the newest line with the message that agrees with
// the decision's line in matchFields, or -1. Without anyGateway it considers only lines of the
// process that decided.
func newestBefore(before []Record, decision Record, message string, matchFields []string, anyGateway bool) int {
	for i := len(before) - 1; i >= 0; i-- {
		r := before[i]
		if r.Message != message || !anyGateway && (r.Source != decision.Source || r.PID != decision.PID) {
			continue
		}
		if matchesFields(r, decision, matchFields) {
			return i
		}
	}
	return -1
}

// matchesFields reports whether r and decision agree in the fields. An empty value in decision
// matches nothing, except for the adapter: an empty adapter is the base model.
func matchesFields(r, decision Record, fields []string) bool {
	for _, f := range fields {
		if r.Fields[f] != decision.Fields[f] || f != fieldAdapter && decision.Fields[f] == "" {
			return false
		}
	}
	return true
}

// FormatFields returns the fields as "name=value", sorted by name and separated by spaces.
// Empty fields are left out; values are not quoted.
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
