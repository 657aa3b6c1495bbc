package opsrv

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"slices"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// secretBytes makes a secret impossible to guess, so that its hash needs no salt.
	secretBytes = 32
	// secretPrefix lets scanners find secrets that were published by mistake.
	secretPrefix = "mlk_"
)

func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// IssueKey creates a key and returns its secret.
func (s *server) IssueKey(ctx context.Context, q *opsapi.IssueKey, r opsapi.IssueKeyParams) (opsapi.IssueKeyRes, error) {
	p, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	secret := newSecret()
	key := tree.Key{
		ID:       units.KeyID(q.ID),
		Hash:     tree.HashSecret(secret),
		Customer: units.CustomerID(q.Customer),
		Class:    tree.ClassName(q.Class.Or("")),
	}
	c := change{team: team, attempt: units.AttemptID(q.Attempt), who: p.who(), edit: addKey(key)}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("issue key %s: %w", key.ID, err)
	}
	switch o.result {
	case refused:
		return refusedOf(o.problems), nil
	case conflict:
		return conflictOf(c, o)
	case unknown:
		return unknownOf(), nil
	}
	if o.repeated {
		// The secret went to the caller of the earlier call, or was lost with its answer.
		return refusedOf([]tree.Problem{{
			Path: "id", Text: "the key has been created by this attempt before; if its secret was lost, withdraw it",
		}}), nil
	}
	return &opsapi.IssuedKey{Revision: opsapi.Revision(o.revision), ID: q.ID, Secret: secret}, nil
}

func addKey(k tree.Key) func(old *tree.Team) (*tree.Team, []tree.Problem) {
	return func(old *tree.Team) (*tree.Team, []tree.Problem) {
		v := bare(old)
		v.Keys = append(slices.Clone(old.Keys), k)
		return v, nil
	}
}

// WithdrawKey withdraws a key for good.
func (s *server) WithdrawKey(
	ctx context.Context, q *opsapi.WithdrawKey, r opsapi.WithdrawKeyParams,
) (opsapi.WithdrawKeyRes, error) {
	p, team, err := authorise(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c := change{
		team: team, attempt: units.AttemptID(q.Attempt), who: p.who(), urgent: true, edit: withdraw(units.KeyID(r.Key)),
	}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("withdraw key %s: %w", r.Key, err)
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

func withdraw(id units.KeyID) func(old *tree.Team) (*tree.Team, []tree.Problem) {
	return func(old *tree.Team) (*tree.Team, []tree.Problem) {
		i := slices.IndexFunc(old.Keys, func(k tree.Key) bool { return k.ID == id })
		if i < 0 {
			return nil, []tree.Problem{{Path: "key", Text: fmt.Sprintf("the team has no key %q", id)}}
		}
		v := bare(old)
		v.Keys = slices.Clone(old.Keys)
		v.Keys[i].Withdrawn = true
		return v, nil
	}
}
