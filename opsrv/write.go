package opsrv

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// maxTries and writeTimeout bound one change against other writers, lost answers and
// a slow store. The wait between tries lets a late write take effect.
const (
	maxTries     = 5
	writeTimeout = 8 * time.Second
	tryWait      = 20 * time.Millisecond
)

// result tells how a change ended.
type result int

const (
	accepted result = iota
	refused
	conflict
	unknown
)

// change is what an operator asks for.
type change struct {
	team    units.TeamID
	attempt units.AttemptID
	who     string
	// strict changes apply only to the expected revision; others to the newest.
	strict   bool
	expected units.Revision
	dryRun   bool
	// urgent changes are not held back by problems elsewhere in the tree.
	urgent bool
	// edit returns the new value, or what is wrong with the change.
	edit func(old *tree.Team) (*tree.Team, []tree.Problem)
}

// outcome is the result of a change with what the operator needs to know.
type outcome struct {
	result      result
	revision    units.Revision
	differences []tree.Difference
	problems    []tree.Problem
	// repeated is true when an earlier call with the same attempt made the change.
	repeated bool
	// current and submitted are set on a conflict.
	current   current
	submitted *tree.Team
}

// writer is one change under way.
type writer struct {
	*server
	change
	// lost is true after a write whose answer was lost, uncertain as long as it may
	// still take effect, which needs the revision lostAt.
	lost, uncertain bool
	lostAt          units.Revision
}

// write carries out a change, also when the caller leaves meanwhile. An error means
// that nothing was written.
func (s *server) write(ctx context.Context, c change) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	w := &writer{server: s, change: c}
	var o outcome
	for i := range maxTries {
		time.Sleep(time.Duration(i) * (tryWait + rand.N(tryWait)))
		var done bool
		var err error
		o, done, err = w.try(ctx)
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

// try reads, checks and writes once; the flag tells whether the result is final.
func (w *writer) try(ctx context.Context) (outcome, bool, error) {
	cur, err := w.read(ctx, w.team)
	if err != nil {
		return outcome{}, false, err
	}
	if cur.value == nil && !w.strict {
		return outcome{}, false, errUnreadable
	}
	o := outcome{current: cur, revision: cur.revision}
	next, problems := w.edit(cur.value)
	o.submitted, o.problems = next, problems
	if made(cur.value, w.attempt) {
		return w.recognise(o), true, nil
	}
	if cur.revision != w.lostAt {
		w.uncertain = false
	}
	if len(problems) > 0 {
		o.result = refused
		return o, !w.uncertain, nil
	}
	o.differences = tree.Diff(cur.value, next)
	if w.strict && cur.revision != w.expected {
		o.result = conflict
		return o, true, nil
	}
	if !w.urgent {
		if o, err = w.validate(ctx, o); err != nil || o.result == refused {
			return o, o.result == refused && !w.uncertain, err
		}
	}
	if w.dryRun || len(o.differences) == 0 && cur.value != nil {
		return o, true, nil
	}
	return w.swap(ctx, o)
}

// made reports whether the attempt made a change that the value contains. The
// history shows it even after later changes.
func made(v *tree.Team, a units.AttemptID) bool {
	return v != nil && (v.Attempt == a || slices.ContainsFunc(v.History, func(c tree.Change) bool { return c.Attempt == a }))
}

// recognise handles a change that an earlier try or call has made.
func (w *writer) recognise(o outcome) outcome {
	o.repeated = !w.lost
	o.problems = nil
	newest := o.current.value.Attempt == w.attempt
	if w.strict && newest && o.submitted != nil && len(tree.Diff(o.current.value, o.submitted)) > 0 {
		o.result = refused
		o.problems = []tree.Problem{{Path: "", Text: "the attempt id was used for another change"}}
		return o
	}
	stats.Event("ops_write_recognised")
	w.config.MergeWritten(syncer.Entry{Team: w.team, Revision: o.revision, Value: o.current.data})
	return o
}

func (w *writer) validate(ctx context.Context, o outcome) (outcome, error) {
	all, err := w.whole(ctx)
	if err != nil {
		return o, err
	}
	if o.problems = tree.Validate(all, w.team, o.submitted); len(o.problems) > 0 {
		o.result = refused
	}
	return o, nil
}

func (w *writer) swap(ctx context.Context, o outcome) (outcome, bool, error) {
	data, err := w.seal(o)
	if err != nil {
		return o, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := w.store.CompareAndSwap(ctx, w.team, o.revision, data)
	switch {
	case errors.Is(err, ErrConflict):
		return o, false, nil
	case errors.Is(err, ErrUnknownResult):
		w.lost, w.uncertain, w.lostAt = true, true, o.revision
		return o, false, nil
	case err != nil:
		return o, false, fmt.Errorf("%w: %w", errStore, err)
	}
	o.revision = r
	w.config.MergeWritten(syncer.Entry{Team: w.team, Revision: r, Value: data})
	return o, true, nil
}

// seal returns the new value as it is stored, with the attempt and the history. A
// value that is almost full loses its oldest history, so that an urgent change
// still fits.
func (w *writer) seal(o outcome) ([]byte, error) {
	v := *o.submitted
	var history []tree.Change
	if o.current.value != nil {
		history = o.current.value.History
	}
	v.Attempt = w.attempt
	v.History = tree.AppendHistory(history, tree.Change{
		Attempt: w.attempt, Who: w.who, When: w.now().UTC(), Summary: tree.Summarize(o.differences),
	})
	for {
		data, err := tree.Encode(&v)
		if err != nil {
			return nil, fmt.Errorf("seal change: %w", err)
		}
		if len(data) <= tree.MaxValueBytes || len(v.History) <= 1 {
			return data, nil
		}
		v.History = v.History[1:]
	}
}

// warnings returns the problems that writers of other teams have left with this
// change at the same moment.
func (s *server) warnings(ctx context.Context, team units.TeamID) []tree.Problem {
	all, err := s.whole(ctx)
	if err != nil {
		return nil
	}
	return tree.Conflicts(all, team)
}
