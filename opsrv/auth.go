package opsrv

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// principal is an authenticated operator: the team and the ID of the credential.
type principal struct {
	team       units.TeamID
	credential string
}

// mayAccess reports whether the operator may read and change the team's configuration. Operators
// of FleetTeam may access all teams.
func (p principal) mayAccess(team units.TeamID) bool {
	return p.team == tree.FleetTeam || p.team == team
}

// historyName returns the operator's name for the change history.
func (p principal) historyName() string { return string(p.team) + "/" + p.credential }

// principalKey is the context key of the principal.
type principalKey struct{}

// HandleOperator implements opsapi.SecurityHandler: it authenticates a request and adds the
// principal to its context. Credentials are looked up in this node's snapshot, so that they work
// while the store is unavailable.
func (s *server) HandleOperator(
	ctx context.Context, _ opsapi.OperationName, o opsapi.Operator,
) (context.Context, error) {
	p, ok := s.findPrincipal(tree.HashSecret(o.Token))
	if !ok {
		stats.Event("ops_credential_refused")
		return ctx, errUnknownCredential
	}
	return context.WithValue(ctx, principalKey{}, p), nil
}

// findPrincipal returns the principal whose credential has the hash. The comparison need not take
// constant time, since the caller can't choose the hash.
func (s *server) findPrincipal(h tree.Hash) (principal, bool) {
	if s.bootstrapHash != (tree.Hash{}) && h == s.bootstrapHash {
		return principal{tree.FleetTeam, "bootstrap"}, true
	}
	c := s.config.Snapshot()
	if p, ok := findCredential(c, tree.FleetTeam, h); ok {
		return p, true
	}
	for _, v := range c.Versions() {
		if p, ok := findCredential(c, v.Team, h); ok {
			return p, true
		}
	}
	return principal{}, false
}

// findCredential returns the principal if the team has a credential with the hash.
func findCredential(c *tree.Snapshot, team units.TeamID, h tree.Hash) (principal, bool) {
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

// authorize returns the principal of the request and the team ID. It fails with errForbidden if
// the principal may not access the team, and with errInvalidTeam if the ID is malformed.
func authorize(ctx context.Context, team string) (principal, units.TeamID, error) {
	p, ok := ctx.Value(principalKey{}).(principal)
	id := units.TeamID(team)
	switch {
	case !ok || !p.mayAccess(id):
		return principal{}, "", errForbidden
	case !tree.ValidTeam(id):
		return principal{}, "", fmt.Errorf("%w: %q", errInvalidTeam, team)
	}
	return p, id, nil
}
