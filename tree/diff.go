package tree

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Op is the kind of a difference.
type Op string

// Kinds of differences.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Difference is one entry that differs between two team configurations.
type Difference struct {
	Op Op
	// List is the JSON name of the list that holds the entry, or "limits".
	List string
	ID   string
	// Old and New are the entry in JSON; empty if that configuration does not have it.
	Old, New string
}

// Diff returns the differences from a to b. A nil configuration is treated as empty.
// Attempt and History are not compared.
func Diff(a, b *Team) []Difference {
	if a == nil {
		a = &Team{}
	}
	if b == nil {
		b = &Team{}
	}
	var l []Difference
	l = append(l, diffList(listCustomers, a.Customers, b.Customers, func(e Customer) string { return string(e.ID) })...)
	l = append(l, diffList(listKeys, a.Keys, b.Keys, func(e Key) string { return string(e.ID) })...)
	l = append(l, diffList(listModels, a.Models, b.Models, func(e Model) string { return string(e.ID) })...)
	l = append(l, diffList(listAdapters, a.Adapters, b.Adapters, func(e Adapter) string { return string(e.ID) })...)
	l = append(l, diffList(listServices, a.Services, b.Services, func(e Service) string { return string(e.ID) })...)
	l = append(l, diffList(listCredentials, a.Credentials, b.Credentials, func(e Credential) string { return e.ID })...)
	l = append(l, diffList(listZones, a.ExcludedZones, b.ExcludedZones, nameString)...)
	l = append(l, diffList(listUpstreams, a.ExcludedUpstreams, b.ExcludedUpstreams, nameString)...)
	return append(l, diffList("limits", a.limits(), b.limits(), func(Limits) string { return "fleet" })...)
}

func nameString[N ~string](n N) string { return string(n) }

func (v *Team) limits() []Limits {
	if v.Limits == nil {
		return nil
	}
	return []Limits{*v.Limits}
}

func diffList[E any](list string, a, b []E, id func(E) string) []Difference {
	oldTexts := make(map[string]string, len(a))
	for _, e := range a {
		oldTexts[id(e)] = marshalText(e)
	}
	var l []Difference
	inB := make(map[string]struct{}, len(b))
	for _, e := range b {
		n, newText := id(e), marshalText(e)
		inB[n] = struct{}{}
		oldText, ok := oldTexts[n]
		switch {
		case !ok:
			l = append(l, Difference{Added, list, n, "", newText})
		case oldText != newText:
			l = append(l, Difference{Changed, list, n, oldText, newText})
		}
	}
	for _, e := range a {
		if _, ok := inB[id(e)]; !ok {
			l = append(l, Difference{Removed, list, id(e), oldTexts[id(e)], ""})
		}
	}
	return l
}

func marshalText[E any](e E) string {
	data, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// maxSummaryNames limits the names per list in a summary, which is one line long.
const maxSummaryNames = 3

// Summarize describes the differences in one line, for the change history.
func Summarize(l []Difference) string {
	if len(l) == 0 {
		return "no difference"
	}
	var parts []string
	for i := 0; i < len(l); {
		j := i
		var names []string
		for j < len(l) && l[j].List == l[i].List && l[j].Op == l[i].Op {
			names = append(names, l[j].ID)
			j++
		}
		if extra := len(names) - maxSummaryNames; extra > 0 {
			names = append(names[:maxSummaryNames], fmt.Sprintf("%d more", extra))
		}
		parts = append(parts, fmt.Sprintf("%s %s: %s", l[i].List, l[i].Op, strings.Join(names, ", ")))
		i = j
	}
	return strings.Join(parts, "; ")
}
