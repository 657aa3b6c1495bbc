package opsrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// maxWriteTries and writeTimeout bound the retries of one change, which concurrent writes, lost
// responses or a slow store can cause. The delay between tries, of retryDelay to 2*retryDelay times
// the number of earlier ones, lets a delayed write complete.
const (
	maxWriteTries = 5
	writeTimeout  = 8 * time.Second
	retryDelay    = 20 * time.Millisecond
)

// useTimeout limits the wait until a change is in use.
const useTimeout = 1500 * time.Millisecond

// result is how a change ended. unknown means that it may have been written.
type result int

const (
	accepted result = iota
	refused
	conflict
	unknown
)

// change is a change of a team's configuration that an operator requested.
type change struct {
	team     units.TeamID
	attempt  units.AttemptID
	operator string
	// exactRevision changes apply only to the revision expected; others apply to the newest one.
	exactRevision bool
	expected      units.Revision
	dryRun        bool
	// skipValidation changes are written even if the configuration has problems elsewhere.
	skipValidation bool
	// edit returns the new configuration, or the problems of the change.
	edit func(old *tree.Team) (*tree.Team, []tree.Problem)
}

// outcome is the result of a change with the details for the response.
type outcome struct {
	result      result
	revision    units.Revision
	differences []tree.Difference
	problems    []tree.Problem
	// repeated is true if an earlier call with the same attempt wrote the change.
	repeated bool
	// current is the configuration that was read, submitted the one that the change results in.
	current   storedTeam
	submitted *tree.Team
}

// writer is the state of one change across its tries.
type writer struct {
	*server
	change
	// responseLost is true once a write of this change had an unknown result. uncertain is true
	// while that write may still succeed, which requires that the team is still at
	// uncertainRevision.
	responseLost, uncertain bool
	uncertainRevision       units.Revision
}

// write executes a change, with retries. It continues if the caller disconnects. An error means
// that nothing was written.
func (s *server) write(ctx context.Context, c change) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	w := &writer{server: s, change: c}
	var o outcome
	for i := range maxWriteTries {
		time.Sleep(time.Duration(i) * (retryDelay + rand.N(retryDelay)))
		var done bool
		var err error
		o, done, err = w.tryOnce(ctx)
		if err != nil && w.uncertain {
			return outcome{result: unknown}, nil
		}
		if err != nil || done {
			return o, err
		}
	}
	if w.uncertain {
		return outcome{result: unknown}, nil
	}
	o.result = conflict
	return o, nil
}

// tryOnce reads the configuration, validates the change and writes it once. It returns true if the
// outcome is final.
func (w *writer) tryOnce(ctx context.Context) (outcome, bool, error) {
	cur, err := w.read(ctx, w.team)
	if err != nil {
		return outcome{}, false, err
	}
	if cur.config == nil && !w.exactRevision {
		return outcome{}, false, errUndecodable
	}
	o := outcome{current: cur, revision: cur.revision}
	next, problems := w.edit(cur.config)
	o.submitted, o.problems = next, problems
	if containsAttempt(cur.config, w.attempt) {
		return w.resolveRepeated(o), true, nil
	}
	if cur.revision != w.uncertainRevision {
		w.uncertain = false
	}
	if len(problems) > 0 {
		o.result = refused
		return o, !w.uncertain, nil
	}
	o.differences = tree.Diff(cur.config, next)
	if w.exactRevision && cur.revision != w.expected {
		o.result = conflict
		return o, true, nil
	}
	if !w.skipValidation {
		if o, err = w.validate(ctx, o); err != nil || o.result == refused {
			return o, o.result == refused && !w.uncertain, err
		}
	}
	if w.dryRun || len(o.differences) == 0 && cur.config != nil {
		return o, true, nil
	}
	return w.compareAndSwap(ctx, o)
}

// containsAttempt reports whether the configuration contains the change written by the attempt.
// The history shows it even after later changes, up to its maximum length.
func containsAttempt(v *tree.Team, a units.AttemptID) bool {
	return v != nil && (v.Attempt == a || slices.ContainsFunc(v.History, func(c tree.Change) bool { return c.Attempt == a }))
}

// resolveRepeated returns the outcome of a change that an earlier try or call has written. The
// change is refused if the attempt ID was used for a different change.
func (w *writer) resolveRepeated(o outcome) outcome {
	o.repeated = !w.responseLost
	o.problems = nil
	newest := o.current.config.Attempt == w.attempt
	if w.exactRevision && newest && o.submitted != nil && len(tree.Diff(o.current.config, o.submitted)) > 0 {
		o.result = refused
		o.problems = []tree.Problem{{Path: "", Text: "the attempt ID was used for a different change"}}
		return o
	}
	stats.Event("ops_write_recognised")
	w.config.MergeWritten(syncer.Entry{Team: w.team, Revision: o.revision, Value: o.current.data})
	return o
}

// validate validates the change against the configurations of all teams.
func (w *writer) validate(ctx context.Context, o outcome) (outcome, error) {
	all, err := w.readAll(ctx)
	if err != nil {
		return o, err
	}
	if o.problems = tree.Validate(all, w.team, o.submitted); len(o.problems) > 0 {
		o.result = refused
	}
	return o, nil
}

// compareAndSwap writes the change if the team is still at the revision that was read. It returns
// true if the write succeeded.
func (w *writer) compareAndSwap(ctx context.Context, o outcome) (outcome, bool, error) {
	data, err := w.encodeNext(o)
	if err != nil {
		return o, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	r, err := w.store.CompareAndSwap(ctx, w.team, o.revision, data)
	switch {
	case errors.Is(err, ErrConflict):
		return o, false, nil
	case errors.Is(err, ErrUnknownResult):
		w.responseLost, w.uncertain, w.uncertainRevision = true, true, o.revision
		return o, false, nil
	case err != nil:
		return o, false, fmt.Errorf("%w: %w", errStoreUnavailable, err)
	}
	o.revision = r
	w.config.MergeWritten(syncer.Entry{Team: w.team, Revision: r, Value: data})
	return o, true, nil
}

// encodeNext returns the new configuration as stored, with the attempt and the history. If it
// exceeds tree.MaxValueBytes, the oldest changes in the history are dropped except for this one, so
// that a key can still be withdrawn when the configuration is almost full.
func (w *writer) encodeNext(o outcome) ([]byte, error) {
	v := *o.submitted
	var history []tree.Change
	if o.current.config != nil {
		history = o.current.config.History
	}
	v.Attempt = w.attempt
	v.History = tree.AppendHistory(history, tree.Change{
		Attempt: w.attempt, Who: w.operator, When: w.now().UTC(), Summary: tree.Summarize(o.differences),
	})
	for {
		data, err := tree.Encode(&v)
		if err != nil {
			return nil, fmt.Errorf("encode the changed configuration: %w", err)
		}
		if len(data) <= tree.MaxValueBytes || len(v.History) <= 1 {
			return data, nil
		}
		v.History = v.History[1:]
	}
}

// warnings returns the conflicts with other teams that concurrent writes can leave. It returns none
// if the store is unavailable.
func (s *server) warnings(ctx context.Context, team units.TeamID) []tree.Problem {
	all, err := s.readAll(ctx)
	if err != nil {
		return nil
	}
	return tree.Conflicts(all, team)
}

// awaitUse waits until more than half of the gateways use the revision and returns a warning if they don't
// within useTimeout. Until then a gateway that reaches neither this one nor the store may go on with an
// older revision, for longer than a withdrawn key is allowed to work.
func (s *server) awaitUse(ctx context.Context, team units.TeamID, revision units.Revision) []tree.Problem {
	ctx, cancel := context.WithTimeout(ctx, useTimeout)
	defer cancel()
	reach := s.config.AwaitMajority(ctx, team, revision)
	if reach.Majority() {
		return nil
	}
	stats.Event("ops_change_not_in_use")
	klog.InfoS("opsrv: change is stored but not used by a majority", "team", team, "revision", revision, "using", reach.Using, "gateways", reach.Gateways)
	return []tree.Problem{{Path: "", Text: fmt.Sprintf(
		"stored, but %d of %d gateways are known to use it: the others may still accept withdrawn keys", reach.Using, reach.Gateways)}}
}
