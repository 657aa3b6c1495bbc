package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// KeyPrefix is the prefix of the teams' configurations in the store.
const KeyPrefix = "/tree/"

// Errors of the configuration exchange. ErrStopped is returned after Run has ended.
var (
	ErrStopped    = errors.New("configuration exchange has stopped")
	errWatchEnded = errors.New("watch of the store ended")
)

// TeamKey returns the key of the team's configuration in the store.
func TeamKey(team units.TeamID) string { return KeyPrefix + string(team) }

// TeamFromKey returns the team whose configuration is stored under the key, or false when the
// key holds no configuration.
func TeamFromKey(key string) (units.TeamID, bool) {
	team, ok := strings.CutPrefix(key, KeyPrefix)
	return units.TeamID(team), ok && team != ""
}

// Entry is the configuration of one team in the store, as encoded by tree.Encode.
type Entry struct {
	Team     units.TeamID
	Revision units.Revision
	Value    []byte
}

// Store reads the teams' configurations from the platform's key-value service.
type Store interface {
	// List returns all values and the revision of the store at which they were read.
	List(ctx context.Context) ([]Entry, units.Revision, error)
	// Watch sends the values written at the revision from or later. It closes the channel when
	// the watch or the context ends. Deletions are not sent.
	Watch(ctx context.Context, from units.Revision) <-chan Entry
	// Versions returns the versions of all values, without the values.
	Versions(ctx context.Context) ([]tree.Version, error)
}

const (
	callTimeout = time.Second
	// checkInterval and checkMargin let three calls fail before the node counts as isolated.
	checkInterval = 300 * time.Millisecond
	checkMargin   = 1200 * clock.Millisecond
	// relistInterval is the minimum time between two full reads, which repair a watch that lost
	// events without ending. A jitter of up to the same length is added.
	relistInterval = 60 * time.Second
	minRetryDelay  = 100 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
)

// startStoreFollower reads and watches the store until the context is done, and then closes the
// returned channel. Without a store the channel is closed at once.
func (s *Syncer) startStoreFollower(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{})
	if s.store == nil {
		close(stopped)
		return stopped
	}
	go func() {
		defer close(stopped)
		checkStopped := make(chan struct{})
		go s.checkStore(ctx, checkStopped)
		s.followStore(ctx)
		<-checkStopped
	}()
	return stopped
}

// checkStore compares the versions in use with those of the store while the result matters: as long as a
// majority of the gateways is reachable, it can't isolate the node.
func (s *Syncer) checkStore(ctx context.Context, stopped chan<- struct{}) {
	defer close(stopped)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s.Isolated(s.clock.Now().Add(checkMargin)) {
			s.checkOnce(ctx)
		}
	}
}

func (s *Syncer) checkOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	versions, err := s.store.Versions(ctx)
	if err != nil {
		klog.V(2).Infof("syncer: read versions from the store: %v", err)
		return
	}
	s.enqueue(func(clock.Time) []Message {
		if !s.state.HandleStoreVersions(sent, versions) {
			s.requestRelist()
		}
		return nil
	})
}

// requestRelist makes the follower read all values, because its watch has missed some.
func (s *Syncer) requestRelist() {
	select {
	case s.relist <- struct{}{}:
		klog.Warningf("syncer: the watch of the store has missed a change, reading all values")
		stats.Event("tree_watch_stalled")
	default:
	}
}

// followStore repeats listAndWatch until the context is done, with an exponential backoff after
// short runs.
func (s *Syncer) followStore(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := s.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.Warningf("syncer: %v", err)
			stats.Event("tree_watch_ended")
		}
		if time.Since(started) > maxRetryDelay {
			delay = minRetryDelay
		}
		clock.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// listAndWatch reads all values and then watches for changes. It returns nil when the next full
// read is due or the context is done.
func (s *Syncer) listAndWatch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, err := s.list(ctx)
	if err != nil {
		return err
	}
	relist := time.NewTimer(relistInterval + rand.N(relistInterval))
	defer relist.Stop()
	events := s.store.Watch(ctx, revision+1)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-events:
			if !ok {
				return errWatchEnded
			}
			s.enqueue(func(now clock.Time) []Message { return s.state.MergeStored(now, e) })
		case <-relist.C:
			return nil
		case <-s.relist:
			return nil
		}
	}
}

// list reads all values, has them merged, and returns the revision of the store.
func (s *Syncer) list(ctx context.Context) (units.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	entries, revision, err := s.store.List(ctx)
	if err != nil {
		return 0, fmt.Errorf("list configuration: %w", err)
	}
	s.enqueue(func(now clock.Time) []Message { return s.state.MergeListed(now, sent, entries) })
	return revision, nil
}
