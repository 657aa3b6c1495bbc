package tree

import (
	"fmt"

	"github.com/magnolialever/magnolialever/units"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1_000_000

// Validate returns what would be wrong if v became the value of the team while all
// other teams keep the values in s. Two teams that write at the same moment can
// leave a problem between them; a problem that the tree in s already has is not
// returned, so that it can't block an urgent change such as a withdrawn key.
func Validate(s *Snapshot, team units.TeamID, v *Team) []Problem {
	var l []Problem
	report := func(path, text string) { l = append(l, Problem{path, text}) }
	if !ValidTeam(team) {
		report("", fmt.Sprintf("%q can't name a team", team))
	}
	v.Check(report)
	c := checker{report}
	c.fleetOnly(team, v)
	c.withdrawn(s.part(team), v)
	c.size(v)
	if len(l) > 0 {
		return l
	}
	next, _ := s.with(newPart(team, s.Revision(team)+1, nil, v))
	l = newProblems(s.crossProblems(team), next.crossProblems(team))
	c.sums(s, next)
	return l
}

// Conflicts returns the problems between the team's value in force and the other
// teams. Two teams that write at the same moment can leave some.
func Conflicts(s *Snapshot, team units.TeamID) []Problem { return s.crossProblems(team) }

// newProblems returns the problems of now whose text is not among those of old. The
// text of a problem names the entry, as its path may shift.
func newProblems(old, now []Problem) []Problem {
	known := make(map[string]struct{}, len(old))
	for _, p := range old {
		known[p.Text] = struct{}{}
	}
	var l []Problem
	for _, p := range now {
		if _, ok := known[p.Text]; !ok {
			l = append(l, p)
		}
	}
	return l
}

func (c checker) fleetOnly(team units.TeamID, v *Team) {
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

// withdrawn reports keys that would become valid again, as when an old file is
// applied after a withdrawal.
func (c checker) withdrawn(old *part, v *Team) {
	if old == nil {
		return
	}
	for i, k := range v.Keys {
		if o, ok := old.keys[k.Hash]; ok && o.Withdrawn && !k.Withdrawn {
			c.addf(at(listKeys, i, "withdrawn"), "key %q has been withdrawn and can't become valid again", k.ID)
		}
	}
}

func (c checker) size(v *Team) {
	data, err := Encode(v)
	if err != nil {
		c.report("", err.Error())
		return
	}
	if len(data) > MaxValueBytes {
		c.addf("", "the value has %d bytes; the store holds at most %d", len(data), MaxValueBytes)
	}
}

// crossProblems returns the problems between the team's value and the rest of s.
func (s *Snapshot) crossProblems(team units.TeamID) []Problem {
	p := s.part(team)
	if p == nil {
		return nil
	}
	var l []Problem
	c := checker{func(path, text string) { l = append(l, Problem{path, text}) }}
	for _, o := range s.parts {
		if o != p {
			c.duplicates(p, o)
		}
		c.bases(s, p, o)
		if o == p || team == FleetTeam {
			c.counts(s.limits, p, o)
		}
	}
	c.replicas(s, p)
	return l
}

// duplicates reports names of p that o also has.
func (c checker) duplicates(p, o *part) {
	const taken = "name %q is taken by team %s"
	for i, e := range p.value.Customers {
		if _, ok := o.customers[e.ID]; ok {
			c.addf(at(listCustomers, i, "id"), "customer "+taken, e.ID, o.team)
		}
	}
	keyIDs := make(map[units.KeyID]struct{}, len(o.value.Keys))
	for _, k := range o.value.Keys {
		keyIDs[k.ID] = struct{}{}
	}
	for i, k := range p.value.Keys {
		if _, ok := keyIDs[k.ID]; ok {
			c.addf(at(listKeys, i, "id"), "key "+taken, k.ID, o.team)
		}
		if _, ok := o.keys[k.Hash]; ok {
			c.addf(at(listKeys, i, "hash"), "key %q has the hash of a key of team %s", k.ID, o.team)
		}
	}
	for i, m := range p.value.Models {
		if _, ok := o.targets[m.ID]; ok {
			c.addf(at(listModels, i, "id"), "model "+taken, m.ID, o.team)
		}
	}
	for i, a := range p.value.Adapters {
		if _, ok := o.targets[a.ID]; ok {
			c.addf(at(listAdapters, i, "id"), "adapter "+taken, a.ID, o.team)
		}
	}
	for i, v := range p.value.Services {
		if _, ok := o.services[v.ID]; ok {
			c.addf(at(listServices, i, "id"), "service "+taken, v.ID, o.team)
		}
	}
}

// bases reports adapters of o without a base model. Those of other teams are
// reported too, as the value of p may have lost the model.
func (c checker) bases(s *Snapshot, p, o *part) {
	for i, a := range o.value.Adapters {
		b, ok := s.targets.get(a.Base)
		if ok && !b.IsAdapter() {
			continue
		}
		path := listModels
		if o == p {
			path = at(listAdapters, i, "base")
		}
		c.addf(path, "adapter %q of team %s needs base model %q, which does not exist", a.ID, o.team, a.Base)
	}
}

// counts reports lists of o that are longer than the limits allow.
func (c checker) counts(l Limits, p, o *part) {
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
		c.addf(path, "team %s has %d %s; the limit is %d", o.team, f.count, f.list, f.limit)
	}
}

// replicas reports models and adapters that do not fit on a replica.
func (c checker) replicas(s *Snapshot, p *part) {
	limit := s.limits.ReplicaBytes
	if limit == 0 {
		return
	}
	for _, t := range s.Targets() {
		need := t.Bytes
		if t.IsAdapter() {
			b, _ := s.targets.get(t.Base)
			need += b.Bytes
		}
		if need > limit {
			c.addf(p.pathOf(t), "%q needs %d bytes; a replica has %d", t.ID, need, limit)
		}
	}
}

// pathOf returns the path of the target's size, or that of the limit when the target
// belongs to another team.
func (p *part) pathOf(t Target) string {
	for i, m := range p.value.Models {
		if m.ID == t.ID {
			return at(listModels, i, "bytes")
		}
	}
	for i, a := range p.value.Adapters {
		if a.ID == t.ID {
			return at(listAdapters, i, "bytes")
		}
	}
	if p.team == FleetTeam {
		return "limits.replica_bytes"
	}
	return listModels
}

// totals are the sums over all teams that limits bound.
type totals struct {
	memory units.Bytes
	rate   units.Tokens
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

// sums reports totals of next above the limits. When the limits stay, a total that
// does not grow is no problem of this change.
func (c checker) sums(s, next *Snapshot) {
	was, now := s.totals(), next.totals()
	same := s.limits == next.limits
	if l := next.limits.ModelBytes; l > 0 && now.memory > l && (!same || now.memory > was.memory) {
		c.addf(listModels, "all models together need %d bytes; the limit is %d", now.memory, l)
	}
	if l := next.limits.Rate; l > 0 && now.rate > l && (!same || now.rate > was.rate) {
		c.addf(listCustomers, "all customers together have a rate of %d tokens/s; the limit is %d", now.rate, l)
	}
}
