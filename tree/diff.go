package tree

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Op is what a change did to an entry.
type Op string

// Kinds of difference.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Difference is one entry that two values do not share.
type Difference struct {
	Op   Op
	List string
	ID   string
	// Old and New are the entry in JSON; empty when the value does not have it.
	Old, New string
}

// Diff returns the differences from a to b; a nil value is empty. Attempt and
// history do not count.
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
	l = append(l, diffList(listZones, a.ExcludedZones, b.ExcludedZones, plainName)...)
	l = append(l, diffList(listUpstreams, a.ExcludedUpstreams, b.ExcludedUpstreams, plainName)...)
	return append(l, diffList("limits", a.limits(), b.limits(), func(Limits) string { return "fleet" })...)
}

func plainName[N ~string](n N) string { return string(n) }

func (v *Team) limits() []Limits {
	if v.Limits == nil {
		return nil
	}
	return []Limits{*v.Limits}
}

func diffList[E any](list string, a, b []E, id func(E) string) []Difference {
	old := make(map[string]string, len(a))
	for _, e := range a {
		old[id(e)] = text(e)
	}
	var l []Difference
	kept := make(map[string]struct{}, len(b))
	for _, e := range b {
		n, now := id(e), text(e)
		kept[n] = struct{}{}
		was, ok := old[n]
		switch {
		case !ok:
			l = append(l, Difference{Added, list, n, "", now})
		case was != now:
			l = append(l, Difference{Changed, list, n, was, now})
		}
	}
	for _, e := range a {
		if _, ok := kept[id(e)]; !ok {
			l = append(l, Difference{Removed, list, id(e), old[id(e)], ""})
		}
	}
	return l
}

func text[E any](e E) string {
	data, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// maxSummaryNames keeps a summary to one line.
const maxSummaryNames = 3

// Summarize describes differences in one line for the history.
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
