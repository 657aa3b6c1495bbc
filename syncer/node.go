package syncer

import (
	"cmp"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// Node is the state of this node or a peer, for operators: the configuration versions that it
// uses.
type Node struct {
	ID       units.VMID
	Gateway  bool
	Versions []NodeVersion
	// SinceLastMessage is the time since the last message from the node; 0 for this node.
	SinceLastMessage clock.Span
}

// NodeVersion is the version of one team's configuration on a node.
type NodeVersion struct {
	tree.Version
	// Rejected is the newest revision that the node could not decode, or 0.
	Rejected units.Revision
}

// Nodes returns this node and its peers, sorted by ID, with the versions that they last
// reported.
func (s *State) Nodes(now clock.Time) []Node {
	self := Node{ID: s.self, Gateway: true}
	for _, v := range s.snapshot.Versions() {
		self.Versions = append(self.Versions, NodeVersion{v, s.newestRejected(v.Team)})
	}
	nodes := make([]Node, 0, 1+len(s.peers))
	nodes = append(nodes, self)
	for id, p := range s.peers {
		node := Node{ID: id, Gateway: p.gateway, SinceLastMessage: now.Sub(p.lastMessage)}
		for t, v := range p.versions {
			node.Versions = append(node.Versions, NodeVersion{tree.Version{Team: t,
				Revision: v.revision}, v.rejected})
		}
		slices.SortFunc(node.Versions, func(a, b NodeVersion) int { return cmp.Compare(a.Team, b.Team) })
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}
