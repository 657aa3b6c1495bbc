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
	// secretBytes is the number of random bytes in a secret: enough that it can't be guessed and
	// its hash needs no salt.
	secretBytes = 32
	// secretPrefix lets secret scanners detect leaked secrets.
	secretPrefix = "mlk_"
)

// newSecret returns a new random secret for an API key.
func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error
	return secretPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// IssueKey creates an API key and returns its secret. Only the hash is stored, so a repeated
// attempt is refused: the secret can't be returned again.
func (s *server) IssueKey(ctx context.Context, q *opsapi.IssueKey, r opsapi.IssueKeyParams) (opsapi.IssueKeyRes, error) {
	p, team, err := authorize(ctx, r.Team)
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
	c := change{team: team, attempt: units.AttemptID(q.Attempt), operator: p.historyName(), edit: addKey(key)}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("issue key %s: %w", key.ID, err)
	}
	if res, err := failureResponse(c, o); res != nil || err != nil {
		return res, err
	}
	if o.repeated {
		// The earlier call returned the secret, or its response was lost.
		return refusedResponse([]tree.Problem{{
			Path: "id", Text: "an earlier call of this attempt created the key; if its secret was lost, withdraw the key",
		}}), nil
	}
	return &opsapi.IssuedKey{Revision: opsapi.Revision(o.revision), ID: q.ID, Secret: secret}, nil
}

// addKey returns an edit that appends the key.
func addKey(k tree.Key) func(old *tree.Team) (*tree.Team, []tree.Problem) {
	return func(old *tree.Team) (*tree.Team, []tree.Problem) {
		v := withoutMetadata(old)
		v.Keys = append(slices.Clone(old.Keys), k)
		return v, nil
	}
}

// WithdrawKey withdraws an API key permanently. It skips validation, so that problems elsewhere in
// the configuration can't block a withdrawal.
func (s *server) WithdrawKey(
	ctx context.Context, q *opsapi.WithdrawKey, r opsapi.WithdrawKeyParams,
) (opsapi.WithdrawKeyRes, error) {
	p, team, err := authorize(ctx, r.Team)
	if err != nil {
		return nil, err
	}
	c := change{
		team: team, attempt: units.AttemptID(q.Attempt), operator: p.historyName(), skipValidation: true,
		edit: withdrawKey(units.KeyID(r.Key)),
	}
	o, err := s.write(ctx, c)
	if err != nil {
		return nil, fmt.Errorf("withdraw key %s: %w", r.Key, err)
	}
	if res, err := failureResponse(c, o); res != nil || err != nil {
		return res, err
	}
	return s.acceptedResponse(ctx, c, o), nil
}

// withdrawKey returns an edit that withdraws the key; a missing key is a problem.
func withdrawKey(id units.KeyID) func(old *tree.Team) (*tree.Team, []tree.Problem) {
	return func(old *tree.Team) (*tree.Team, []tree.Problem) {
		i := slices.IndexFunc(old.Keys, func(k tree.Key) bool { return k.ID == id })
		if i < 0 {
			return nil, []tree.Problem{{Path: "key", Text: fmt.Sprintf("the team has no key %q", id)}}
		}
		v := withoutMetadata(old)
		v.Keys = slices.Clone(old.Keys)
		v.Keys[i].Withdrawn = true
		return v, nil
	}
}
