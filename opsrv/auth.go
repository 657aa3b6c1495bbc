package opsrv

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// principal is the operator that a credential stands for.
type principal struct {
	team units.TeamID
	name string
}

// reaches reports whether the operator may read and change the team.
func (p principal) reaches(team units.TeamID) bool { return p.team == tree.FleetTeam || p.team == team }

// who names the operator in the history.
func (p principal) who() string { return string(p.team) + "/" + p.name }

type principalKey struct{}

// HandleOperator finds the operator of a request. Credentials are those of the
// snapshot in force, so that they work while the store is out.
func (s *server) HandleOperator(
	ctx context.Context, _ opsapi.OperationName, o opsapi.Operator,
) (context.Context, error) {
	p, ok := s.principal(tree.HashSecret(o.Token))
	if !ok {
		stats.Event("ops_credential_refused")
		return ctx, errCredential
	}
	return context.WithValue(ctx, principalKey{}, p), nil
}

// principal finds the credential. Comparing hashes gives nothing away by its time,
// as the caller can't choose the hash.
func (s *server) principal(h tree.Hash) (principal, bool) {
	if s.bootstrap != (tree.Hash{}) && h == s.bootstrap {
		return principal{tree.FleetTeam, "bootstrap"}, true
	}
	c := s.config.Snapshot()
	if p, ok := credentialIn(c, tree.FleetTeam, h); ok {
		return p, true
	}
	for _, v := range c.Versions() {
		if p, ok := credentialIn(c, v.Team, h); ok {
			return p, true
		}
	}
	return principal{}, false
}

func credentialIn(c *tree.Snapshot, team units.TeamID, h tree.Hash) (principal, bool) {
	v := c.Team(team)
	if v == nil {
		return principal{}, false
	}
	for _, e := range v.Credentials {
		if e.Hash == h {
			return principal{team, e.ID}, true
		}
	}
	return principal{}, false
}

// authorise returns the operator and the team when the operator reaches it.
func authorise(ctx context.Context, team string) (principal, units.TeamID, error) {
	p, ok := ctx.Value(principalKey{}).(principal)
	id := units.TeamID(team)
	switch {
	case !ok || !p.reaches(id):
		return principal{}, "", errForbidden
	case !tree.ValidTeam(id):
		return principal{}, "", fmt.Errorf("%w: %q", errTeam, team)
	}
	return p, id, nil
}
