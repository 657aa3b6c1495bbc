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

// current is the value of a team in the store.
type current struct {
	revision units.Revision
	// value is empty when there is none, nil when it can't be read.
	value *tree.Team
	data  []byte
}

// read returns the team's value from the store.
func (s *server) read(ctx context.Context, team units.TeamID) (current, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.store.Get(ctx, team)
	if errors.Is(err, ErrNotFound) {
		return current{value: &tree.Team{}}, nil
	}
	if err != nil {
		return current{}, fmt.Errorf("%w: %w", errStore, err)
	}
	v, err := tree.Decode(e.Value)
	if err != nil {
		klog.Warningf("opsrv: team %s: %v", team, err)
	}
	return current{revision: e.Revision, value: v, data: e.Value}, nil
}

// readOrInForce returns the value in force on this node when the store is out; the
// flag tells so.
func (s *server) readOrInForce(ctx context.Context, team units.TeamID) (current, bool) {
	c, err := s.read(ctx, team)
	if err == nil {
		return c, false
	}
	klog.V(2).Infof("opsrv: %v", err)
	n := s.config.Snapshot()
	c = current{revision: n.Revision(team), value: n.Team(team)}
	if c.value == nil {
		c.value = &tree.Team{}
	}
	return c, true
}

// whole returns the snapshot of all teams in the store.
func (s *server) whole(ctx context.Context) (*tree.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := s.store.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errStore, err)
	}
	return mergeAll(s.config.Snapshot(), l), nil
}

func mergeAll(n *tree.Snapshot, l []syncer.Entry) *tree.Snapshot {
	for _, e := range l {
		next, _, err := n.Merge(e.Team, e.Revision, e.Value)
		if err != nil {
			klog.V(2).Infof("opsrv: %v", err)
		}
		n = next
	}
	return n
}

// bare returns the value as operators edit it, without what the server adds.
func bare(v *tree.Team) *tree.Team {
	if v == nil {
		return nil
	}
	c := *v
	c.Attempt, c.History = "", nil
	return &c
}
