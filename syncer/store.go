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
	"github.com/magnolialever/magnolialever/units"
)

// KeyPrefix is the prefix of the teams' values in the store.
const KeyPrefix = "/tree/"

// Errors of the exchange.
var (
	ErrStopped = errors.New("configuration exchange has stopped")
	errWatch   = errors.New("watch ended")
)

// TeamKey returns the key of the team's value in the store.
func TeamKey(team units.TeamID) string { return KeyPrefix + string(team) }

// TeamFromKey returns the team whose value has the key.
func TeamFromKey(key string) (units.TeamID, bool) {
	t, ok := strings.CutPrefix(key, KeyPrefix)
	return units.TeamID(t), ok && t != ""
}

// Entry is the value of one team in the store.
type Entry struct {
	Team     units.TeamID
	Revision units.Revision
	Value    []byte
}

// Store is what a node needs of the platform service to follow the teams' values.
type Store interface {
	// List returns all values and the revision of the store that they reflect.
	List(ctx context.Context) ([]Entry, units.Revision, error)
	// Watch sends the values written from the revision on. It closes the channel when
	// the watch or the context ends. Deletions are not sent.
	Watch(ctx context.Context, from units.Revision) <-chan Entry
	// Ping makes the cheapest call that shows that the store is reachable.
	Ping(ctx context.Context) error
}

const (
	callTimeout = time.Second
	// pingInterval and pingMargin let three calls fail before the node counts as
	// isolated.
	pingInterval = 300 * time.Millisecond
	pingMargin   = 1200 * clock.Millisecond
	// relistInterval repairs a watch that lost events without ending. It has a
	// jitter of the same length.
	relistInterval = 60 * time.Second
	retryMin       = 100 * time.Millisecond
	retryMax       = 2 * time.Second
)

// startFeed follows the store and closes the returned channel at its end.
func (s *Syncer) startFeed(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if s.store == nil {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		ended := make(chan struct{})
		go s.pingStore(ctx, ended)
		s.followStore(ctx)
		<-ended
	}()
	return done
}

// pingStore measures whether the store is reachable while it matters: as long as
// most gateways are reachable too, the result can't isolate the node.
func (s *Syncer) pingStore(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.Isolated(s.clock.Now().Add(pingMargin)) {
			s.pingOnce(ctx)
		}
	}
}

func (s *Syncer) pingOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	if err := s.store.Ping(ctx); err != nil {
		klog.V(2).Infof("syncer: store did not answer: %v", err)
		return
	}
	s.do(func(clock.Time) []Message {
		s.state.StoreResponded(sent)
		return nil
	})
}

func (s *Syncer) followStore(ctx context.Context) {
	wait := retryMin
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
		if time.Since(started) > retryMax {
			wait = retryMin
		}
		clock.Sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, retryMax)
	}
}

// listAndWatch returns nil when it is time to list again.
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
				return errWatch
			}
			s.do(func(now clock.Time) []Message { return s.state.MergeStored(now, e) })
		case <-relist.C:
			return nil
		}
	}
}

func (s *Syncer) list(ctx context.Context) (units.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	l, revision, err := s.store.List(ctx)
	if err != nil {
		return 0, fmt.Errorf("list configuration: %w", err)
	}
	s.do(func(now clock.Time) []Message { return s.state.MergeListed(now, sent, l) })
	return revision, nil
}
