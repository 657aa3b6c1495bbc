package opsrv

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// ListTeams returns the teams that the operator reaches.
func (s *server) ListTeams(ctx context.Context) (*opsapi.Teams, error) {
	p, _ := ctx.Value(principalKey{}).(principal)
	all, err := s.whole(ctx)
	if err != nil {
		all = s.config.Snapshot()
	}
	l := &opsapi.Teams{Teams: []opsapi.TeamVersion{}}
	for _, v := range all.Versions() {
		if p.reaches(v.Team) {
			l.Teams = append(l.Teams, opsapi.TeamVersion{Team: string(v.Team), Revision: opsapi.Revision(v.Revision)})
		}
	}
	return l, nil
}

// GetTeam returns the value of a team.
func (s *server) GetTeam(ctx context.Context, r opsapi.GetTeamParams) (*opsapi.TeamValue, error) {
	_, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c, inForce := s.readOrInForce(ctx, team)
	if c.value == nil {
		return nil, errUnreadable
	}
	value, err := encode(c.value)
	if err != nil {
		return nil, err
	}
	v := &opsapi.TeamValue{
		Team: r.Team, Revision: opsapi.Revision(c.revision), Source: opsapi.TeamValueSourceStore, Value: value,
	}
	if inForce {
		v.Source = opsapi.TeamValueSourceSnapshot
	}
	return v, nil
}

// PutTeam replaces the value of a team.
func (s *server) PutTeam(ctx context.Context, q *opsapi.PutTeam, r opsapi.PutTeamParams) (opsapi.PutTeamRes, error) {
	p, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	value, problems := decode(q.Value)
	c := change{
		team:     team,
		attempt:  units.AttemptID(q.Attempt),
		who:      p.who(),
		strict:   true,
		expected: units.Revision(q.Revision),
		dryRun:   q.DryRun.Or(false),
		edit:     func(*tree.Team) (*tree.Team, []tree.Problem) { return value, problems },
	}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("put team %s: %w", team, err)
	}
	switch o.result {
	case refused:
		return refusedOf(o.problems), nil
	case conflict:
		return conflictOf(c, o)
	case unknown:
		return unknownOf(), nil
	}
	return s.acceptedOf(ctx, c, o), nil
}

func (s *server) acceptedOf(ctx context.Context, c change, o outcome) *opsapi.Accepted {
	a := &opsapi.Accepted{
		Revision:    opsapi.Revision(o.revision),
		DryRun:      c.dryRun,
		Differences: differencesOf(o.differences),
		Warnings:    []opsapi.Problem{},
	}
	if !c.dryRun {
		a.Warnings = problemsOf(s.warnings(ctx, c.team))
	}
	return a
}

// DiffTeam compares the value of a team with another one.
func (s *server) DiffTeam(ctx context.Context, q *opsapi.DiffTeam, r opsapi.DiffTeamParams) (opsapi.DiffTeamRes, error) {
	_, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	value, problems := decode(q.Value)
	if len(problems) > 0 {
		return refusedOf(problems), nil
	}
	c, _ := s.readOrInForce(ctx, team)
	return &opsapi.Diff{Revision: opsapi.Revision(c.revision), Differences: differencesOf(tree.Diff(c.value, value))}, nil
}

// GetHistory returns the last changes of a team's value.
func (s *server) GetHistory(ctx context.Context, r opsapi.GetHistoryParams) (*opsapi.History, error) {
	_, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c, _ := s.readOrInForce(ctx, team)
	if c.value == nil {
		return nil, errUnreadable
	}
	h := &opsapi.History{Revision: opsapi.Revision(c.revision), Changes: []opsapi.Change{}}
	for _, e := range c.value.History {
		h.Changes = append(h.Changes, opsapi.Change{
			Attempt: string(e.Attempt), Who: e.Who, When: e.When, Summary: e.Summary,
		})
	}
	return h, nil
}
