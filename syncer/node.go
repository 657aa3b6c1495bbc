package syncer

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// Node tells which versions a node has in force.
type Node struct {
	ID       units.VMID
	Gateway  bool
	Versions []NodeVersion
	// SinceLastMessage is the span since the node was last heard from; 0 for this node.
	SinceLastMessage clock.Span
}

// NodeVersion is the version of one team's value on a node.
type NodeVersion struct {
	tree.Version
	// Rejected is the newest revision that the node could not read, or 0.
	Rejected units.Revision
}

// Nodes returns this node and its peers, by id, with the versions they last told.
func (s *State) Nodes(now clock.Time) []Node {
	self := Node{ID: s.self, Gateway: true}
	for _, v := range s.snapshot.Versions() {
		self.Versions = append(self.Versions, NodeVersion{v, s.newestRejected(v.Team)})
	}
	l := make([]Node, 0, 1+len(s.peers))
	l = append(l, self)
	for id, p := range s.peers {
		n := Node{ID: id, Gateway: p.gateway, SinceLastMessage: now.Sub(p.heard)}
		for t, v := range p.versions {
			n.Versions = append(n.Versions, NodeVersion{tree.Version{Team: t, Revision: v.revision}, v.rejected})
		}
		slices.SortFunc(n.Versions, func(a, b NodeVersion) int { return cmp.Compare(a.Team, b.Team) })
		l = append(l, n)
	}
	slices.SortFunc(l, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return l
}
