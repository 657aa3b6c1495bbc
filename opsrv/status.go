package opsrv

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
)

// GetStatus returns the configuration versions in use on each node, for the teams that the
// operator may access.
func (s *server) GetStatus(ctx context.Context) (*opsapi.Status, error) {
	p, _ := ctx.Value(principalKey{}).(principal)
	l, err := s.config.Nodes(ctx)
	if err != nil {
		return nil, fmt.Errorf("read the versions of the nodes: %w", err)
	}
	st := &opsapi.Status{Nodes: make([]opsapi.Node, 0, len(l))}
	for _, n := range l {
		e := opsapi.Node{
			ID: string(n.ID), Role: opsapi.NodeRoleAgent, Age: int64(n.SinceLastMessage), Versions: []opsapi.NodeVersion{},
		}
		if n.Gateway {
			e.Role = opsapi.NodeRoleGateway
		}
		for _, v := range n.Versions {
			if p.mayAccess(v.Team) {
				e.Versions = append(e.Versions, opsapi.NodeVersion{
					Team: string(v.Team), Revision: opsapi.Revision(v.Revision), Rejected: int64(v.Rejected),
				})
			}
		}
		st.Nodes = append(st.Nodes, e)
	}
	return st, nil
}
