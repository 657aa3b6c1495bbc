package coord

import (
	"context"
	"fmt"

	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// ConfigStore implements syncer.Store with the platform's key-value store.
type ConfigStore struct {
	KV store.KV
}

// List implements syncer.Store.
func (f ConfigStore) List(ctx context.Context) ([]syncer.Entry, units.Revision, error) {
	list, revision, err := f.KV.List(ctx, syncer.KeyPrefix)
	if err != nil {
		return nil, 0, fmt.Errorf("list team configurations: %w", err)
	}
	entries := make([]syncer.Entry, 0, len(list))
	for _, e := range list {
		if team, ok := syncer.TeamFromKey(e.Key); ok {
			entries = append(entries, syncer.Entry{Team: team, Revision: e.Revision, Value: e.Value})
		}
	}
	return entries, revision, nil
}

// Watch implements syncer.Store. Deletions are skipped; the channel closes when the watch ends.
func (f ConfigStore) Watch(ctx context.Context, from units.Revision) <-chan syncer.Entry {
	out := make(chan syncer.Entry)
	go func() {
		defer close(out)
		for e := range f.KV.Watch(ctx, syncer.KeyPrefix, from) {
			team, ok := syncer.TeamFromKey(e.Key)
			if !ok || e.Deleted {
				continue
			}
			select {
			case out <- syncer.Entry{Team: team, Revision: e.Revision, Value: e.Value}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// Versions implements syncer.Store.
func (f ConfigStore) Versions(ctx context.Context) ([]tree.Version, error) {
	list, _, err := f.KV.ListKeys(ctx, syncer.KeyPrefix)
	if err != nil {
		return nil, fmt.Errorf("list versions of team configurations: %w", err)
	}
	versions := make([]tree.Version, 0, len(list))
	for _, e := range list {
		if team, ok := syncer.TeamFromKey(e.Key); ok {
			versions = append(versions, tree.Version{Team: team, Revision: e.Revision})
		}
	}
	return versions, nil
}
