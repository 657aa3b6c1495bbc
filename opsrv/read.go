package opsrv

import (
	"context"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// storedTeam is the configuration of a team as stored.
type storedTeam struct {
	revision units.Revision
	// config is empty if the team has none, and nil if it can't be decoded.
	config *tree.Team
	// data is the encoded configuration.
	data []byte
}

// read reads a team's configuration from the store. It fails with errStoreUnavailable.
func (s *server) read(ctx context.Context, team units.TeamID) (storedTeam, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	e, err := s.store.Get(ctx, team)
	if errors.Is(err, ErrNotFound) {
		return storedTeam{config: &tree.Team{}}, nil
	}
	if err != nil {
		return storedTeam{}, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	v, err := tree.Decode(e.Value)
	if err != nil {
		klog.Warningf("opsrv: can't decode the configuration of team %s: %v", team, err)
	}
	return storedTeam{revision: e.Revision, config: v, data: e.Value}, nil
}

// readOrSnapshot reads a team's configuration from the store, or from this node's snapshot if the
// store is unavailable. It returns true for the snapshot.
func (s *server) readOrSnapshot(ctx context.Context, team units.TeamID) (storedTeam, bool) {
	c, err := s.read(ctx, team)
	if err == nil {
		return c, false
	}
	klog.V(2).Infof("opsrv: use the snapshot: %v", err)
	snapshot := s.config.Snapshot()
	c = storedTeam{revision: snapshot.Revision(team), config: snapshot.Team(team)}
	if c.config == nil {
		c.config = &tree.Team{}
	}
	return c, true
}

// readAll returns this node's snapshot, updated with the configurations of all teams in the store.
// It fails with errStoreUnavailable.
func (s *server) readAll(ctx context.Context) (*tree.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	l, err := s.store.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	return mergeAll(s.config.Snapshot(), l), nil
}

// mergeAll merges the entries into a snapshot. Entries that can't be decoded are logged.
func mergeAll(s *tree.Snapshot, l []syncer.Entry) *tree.Snapshot {
	for _, e := range l {
		next, _, err := s.Merge(e.Team, e.Revision, e.Value)
		if err != nil {
			klog.V(2).Infof("opsrv: can't merge the configuration: %v", err)
		}
		s = next
	}
	return s
}

// withoutMetadata returns a copy of a configuration without the fields that only the server sets:
// the attempt and the history.
func withoutMetadata(v *tree.Team) *tree.Team {
	if v == nil {
		return nil
	}
	c := *v
	c.Attempt, c.History = "", nil
	return &c
}
