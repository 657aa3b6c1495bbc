package tree

import (
	"fmt"

	"github.com/magnolialever/magnolialever/units"
)

// MaxValueBytes is the maximum size of a stored team configuration.
const MaxValueBytes = 1_000_000

// Validate returns the problems that v would cause as the team's configuration, with all
// other teams as in s. Concurrent writes of two teams can leave conflicts between them;
// conflicts that s already has are not returned, so that they can't block an urgent change
// such as the withdrawal of a key.
func Validate(s *Snapshot, team units.TeamID, v *Team) []Problem {
	var l []Problem
	report := func(path, text string) { l = append(l, Problem{path, text}) }
	if !ValidTeam(team) {
		report("", fmt.Sprintf("%q is not a valid team name", team))
	}
	v.Check(report)
	c := checker{report}
	c.fleetOnlyFields(team, v)
	c.reinstatedKeys(s.partition(team), v)
	c.encodedSize(v)
	if len(l) > 0 {
		return l
	}
	next, _ := s.withPartition(newPartition(team, s.Revision(team)+1, nil, v))
	l = newProblems(s.crossProblems(team), next.crossProblems(team))
	c.fleetTotals(s, next)
	return l
}

// Conflicts returns the problems between the team's configuration in s and the other
// teams'. Concurrent writes of two teams can leave some.
func Conflicts(s *Snapshot, team units.TeamID) []Problem { return s.crossProblems(team) }

// newProblems returns the problems of after whose text is not in before. It compares texts,
// which name the entry, because the indexes in paths may shift.
func newProblems(before, after []Problem) []Problem {
	known := make(map[string]struct{}, len(before))
	for _, p := range before {
		known[p.Text] = struct{}{}
	}
	var l []Problem
	for _, p := range after {
		if _, ok := known[p.Text]; !ok {
			l = append(l, p)
		}
	}
	return l
}

// fleetOnlyFields reports fields that only FleetTeam may set.
func (c checker) fleetOnlyFields(team units.TeamID, v *Team) {
	if team == FleetTeam {
		return
	}
	const problem = `only the team "fleet" may set this`
	if len(v.ExcludedZones) > 0 {
		c.report(listZones, problem)
	}
	if len(v.ExcludedUpstreams) > 0 {
		c.report(listUpstreams, problem)
	}
	if v.Limits != nil {
		c.report("limits", problem)
	}
}

// reinstatedKeys reports withdrawn keys that v would make valid again, for example because an
// outdated file is applied.
func (c checker) reinstatedKeys(old *partition, v *Team) {
	if old == nil {
		return
	}
	for i, k := range v.Keys {
		if o, ok := old.keys[k.Hash]; ok && o.Withdrawn && !k.Withdrawn {
			c.reportf(fieldPath(listKeys, i, "withdrawn"), "key %q has been withdrawn and can't become valid again", k.ID)
		}
	}
}

// encodedSize reports a configuration that is too large for the store.
func (c checker) encodedSize(v *Team) {
	data, err := Encode(v)
	if err != nil {
		c.report("", err.Error())
		return
	}
	if len(data) > MaxValueBytes {
		c.reportf("", "the configuration has %d bytes; the maximum is %d", len(data), MaxValueBytes)
	}
}

// crossProblems returns the problems between the team's configuration and the rest of s.
func (s *Snapshot) crossProblems(team units.TeamID) []Problem {
	p := s.partition(team)
	if p == nil {
		return nil
	}
	var l []Problem
	c := checker{func(path, text string) { l = append(l, Problem{path, text}) }}
	for _, o := range s.partitions {
		if o != p {
			c.duplicates(p, o)
		}
		c.missingBases(s, p, o)
		if o == p || team == FleetTeam {
			c.entryCounts(s.limits, p, o)
		}
	}
	c.replicaMemory(s, p)
	return l
}

// duplicates reports names and key hashes of p that o also has.
func (c checker) duplicates(p, o *partition) {
	const taken = "name %q is already used by team %s"
	for i, e := range p.value.Customers {
		if _, ok := o.customers[e.ID]; ok {
			c.reportf(fieldPath(listCustomers, i, "id"), "customer "+taken, e.ID, o.team)
		}
	}
	keyIDs := make(map[units.KeyID]struct{}, len(o.value.Keys))
	for _, k := range o.value.Keys {
		keyIDs[k.ID] = struct{}{}
	}
	for i, k := range p.value.Keys {
		if _, ok := keyIDs[k.ID]; ok {
			c.reportf(fieldPath(listKeys, i, "id"), "key "+taken, k.ID, o.team)
		}
		if _, ok := o.keys[k.Hash]; ok {
			c.reportf(fieldPath(listKeys, i, "hash"), "key %q has the same hash as a key of team %s", k.ID, o.team)
		}
	}
	for i, m := range p.value.Models {
		if _, ok := o.targets[m.ID]; ok {
			c.reportf(fieldPath(listModels, i, "id"), "model "+taken, m.ID, o.team)
		}
	}
	for i, a := range p.value.Adapters {
		if _, ok := o.targets[a.ID]; ok {
			c.reportf(fieldPath(listAdapters, i, "id"), "adapter "+taken, a.ID, o.team)
		}
	}
	for i, v := range p.value.Services {
		if _, ok := o.services[v.ID]; ok {
			c.reportf(fieldPath(listServices, i, "id"), "service "+taken, v.ID, o.team)
		}
	}
}

// missingBases reports adapters of o whose base model does not exist. It applies to other
// teams too because p may have removed the model.
func (c checker) missingBases(s *Snapshot, p, o *partition) {
	for i, a := range o.value.Adapters {
		b, ok := s.targets.get(a.Base)
		if ok && !b.IsAdapter() {
			continue
		}
		path := listModels
		if o == p {
			path = fieldPath(listAdapters, i, "base")
		}
		c.reportf(path, "adapter %q of team %s needs base model %q, which does not exist", a.ID, o.team, a.Base)
	}
}

// entryCounts reports lists of o with more entries than the limits allow.
func (c checker) entryCounts(l Limits, p, o *partition) {
	for _, f := range []struct {
		list         string
		count, limit int
	}{
		{listCustomers, len(o.value.Customers), l.Customers},
		{listKeys, len(o.value.Keys), l.Keys},
		{listModels, len(o.value.Models), l.Models},
		{listAdapters, len(o.value.Adapters), l.Adapters},
	} {
		if f.limit == 0 || f.count <= f.limit {
			continue
		}
		path := f.list
		if o != p {
			path = "limits." + f.list
		}
		c.reportf(path, "team %s has %d %s; the limit is %d", o.team, f.count, f.list, f.limit)
	}
}

// replicaMemory reports models and adapters that do not fit in the memory of a replica.
func (c checker) replicaMemory(s *Snapshot, p *partition) {
	limit := s.limits.ReplicaBytes
	if limit == 0 {
		return
	}
	for _, t := range s.Targets() {
		required := t.Bytes
		if t.IsAdapter() {
			b, _ := s.targets.get(t.Base)
			required += b.Bytes
		}
		if required > limit {
			c.reportf(p.sizePath(t), "%q needs %d bytes; a replica has %d", t.ID, required, limit)
		}
	}
}

// sizePath returns the path of the target's size in p. For a target of another team it
// returns the path of the limit if p is FleetTeam's, else that of the list of models.
func (p *partition) sizePath(t Target) string {
	for i, m := range p.value.Models {
		if m.ID == t.ID {
			return fieldPath(listModels, i, "bytes")
		}
	}
	for i, a := range p.value.Adapters {
		if a.ID == t.ID {
			return fieldPath(listAdapters, i, "bytes")
		}
	}
	if p.team == FleetTeam {
		return "limits.replica_bytes"
	}
	return listModels
}

// totals are sums over all teams that are subject to limits.
type totals struct {
	memory units.Bytes  // of base models, one copy each
	rate   units.Tokens // per second, of customers
}

func (s *Snapshot) totals() totals {
	var t totals
	for _, m := range s.targets.all() {
		if !m.IsAdapter() {
			t.memory += m.Bytes
		}
	}
	for _, e := range s.customers.all() {
		t.rate += e.Rate
	}
	return t
}

// fleetTotals reports totals of next that exceed the limits. If the limits are the same as in
// s, a total that does not grow is not reported, since this change did not cause the excess.
func (c checker) fleetTotals(s, next *Snapshot) {
	before, after := s.totals(), next.totals()
	limitsUnchanged := s.limits == next.limits
	if l := next.limits.ModelBytes; l > 0 && after.memory > l && (!limitsUnchanged || after.memory > before.memory) {
		c.reportf(listModels, "all models together need %d bytes; the limit is %d", after.memory, l)
	}
	if l := next.limits.Rate; l > 0 && after.rate > l && (!limitsUnchanged || after.rate > before.rate) {
		c.reportf(listCustomers, "the rates of all customers add up to %d tokens/s; the limit is %d", after.rate, l)
	}
}
