package opsrv

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// ListTeams returns the teams that the operator may access, with their revisions: those in the
// store or, if it is unavailable, in this node's snapshot.
func (s *server) ListTeams(ctx context.Context) (*opsapi.Teams, error) {
	p, _ := ctx.Value(principalKey{}).(principal)
	all, err := s.readAll(ctx)
	if err != nil {
		all = s.config.Snapshot()
	}
	l := &opsapi.Teams{Teams: []opsapi.TeamVersion{}}
	for _, v := range all.Versions() {
		if p.mayAccess(v.Team) {
			l.Teams = append(l.Teams, opsapi.TeamVersion{Team: string(v.Team), Revision: opsapi.Revision(v.Revision)})
		}
	}
	return l, nil
}

// GetTeam returns the configuration of a team from the store or, if it is unavailable, from this
// node's snapshot. The Source field says which.
func (s *server) GetTeam(ctx context.Context, r opsapi.GetTeamParams) (*opsapi.TeamValue, error) {
	_, team, err := authorize(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c, fromSnapshot := s.readOrSnapshot(ctx, team)
	if c.config == nil {
		return nil, errUndecodable
	}
	value, err := encode(c.config)
	if err != nil {
		return nil, err
	}
	v := &opsapi.TeamValue{
		Team: r.Team, Revision: opsapi.Revision(c.revision), Source: opsapi.TeamValueSourceStore, Value: value,
	}
	if fromSnapshot {
		v.Source = opsapi.TeamValueSourceSnapshot
	}
	return v, nil
}

// PutTeam replaces the configuration of a team if it is at the expected revision. A dry run only
// validates the change.
func (s *server) PutTeam(ctx context.Context, q *opsapi.PutTeam, r opsapi.PutTeamParams) (opsapi.PutTeamRes, error) {
	p, team, err := authorize(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	value, problems := decode(q.Value)
	c := change{
		team:          team,
		attempt:       units.AttemptID(q.Attempt),
		operator:      p.historyName(),
		exactRevision: true,
		expected:      units.Revision(q.Revision),
		dryRun:        q.DryRun.Or(false),
		edit:          func(*tree.Team) (*tree.Team, []tree.Problem) { return value, problems },
	}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("put team %s: %w", team, err)
	}
	if res, err := failureResponse(c, o); res != nil || err != nil {
		return res, err
	}
	return s.acceptedResponse(ctx, c, o), nil
}

// acceptedResponse returns the response to an accepted change.
func (s *server) acceptedResponse(ctx context.Context, c change, o outcome) *opsapi.Accepted {
	a := &opsapi.Accepted{
		Revision:    opsapi.Revision(o.revision),
		DryRun:      c.dryRun,
		Differences: apiDifferences(o.differences),
		Warnings:    []opsapi.Problem{},
	}
	if !c.dryRun {
		a.Warnings = apiProblems(append(s.warnings(ctx, c.team), s.awaitUse(ctx, c.team, o.revision)...))
	}
	return a
}

// DiffTeam compares the current configuration of a team with that in the request.
func (s *server) DiffTeam(ctx context.Context, q *opsapi.DiffTeam, r opsapi.DiffTeamParams) (opsapi.DiffTeamRes, error) {
	_, team, err := authorize(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	value, problems := decode(q.Value)
	if len(problems) > 0 {
		return refusedResponse(problems), nil
	}
	c, _ := s.readOrSnapshot(ctx, team)
	return &opsapi.Diff{Revision: opsapi.Revision(c.revision), Differences: apiDifferences(tree.Diff(c.config, value))}, nil
}

// GetHistory returns the last changes of a team's configuration, oldest first.
func (s *server) GetHistory(ctx context.Context, r opsapi.GetHistoryParams) (*opsapi.History, error) {
	_, team, err := authorize(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c, _ := s.readOrSnapshot(ctx, team)
	if c.config == nil {
		return nil, errUndecodable
	}
	h := &opsapi.History{Revision: opsapi.Revision(c.revision), Changes: []opsapi.Change{}}
	for _, e := range c.config.History {
		h.Changes = append(h.Changes, opsapi.Change{
			Attempt: string(e.Attempt), Who: e.Who, When: e.When, Summary: e.Summary,
		})
	}
	return h, nil
}
