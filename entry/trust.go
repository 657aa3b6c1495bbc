package entry

import (
	"sync/atomic"

	"github.com/magnolialever/magnolialever/clock"
)

const (
	// trustMargin is taken off the time for which keys may be used after the store has
	// confirmed them: callers and the store are some milliseconds away.
	trustMargin = 300 * clock.Millisecond
	// outageTrust is how long keys may be used after all gateways were last seen to have
	// lost the store. Nothing can be withdrawn while it serves nobody.
	outageTrust = clock.Second
	// minWitnesses is the number of other gateways that have to say so.
	minWitnesses = 2
)

// trust tells whether customers' keys can be used. A key that was withdrawn must stop
// working within a bound, also at a gateway that is cut off and can't hear of it.
type trust struct {
	until atomic.Int64
}

// usable reports whether keys can be used.
func (t *trust) usable(now clock.Time) bool { return now.Before(clock.Time(t.until.Load())) }

func (t *trust) set(until clock.Time) { t.until.Store(int64(until)) }

// witness is what another gateway says of the store.
type witness struct {
	version   int64
	confirmed clock.Time
	lost      bool
	fresh     bool
}

// trustedUntil returns how long the keys of the version may be used.
func trustedUntil(now, confirmed clock.Time, lost bool, version int64, others []witness, bound clock.Span) clock.Time {
	all := lost && len(others) >= minWitnesses
	for _, o := range others {
		if o.fresh && o.version == version {
			confirmed = max(confirmed, o.confirmed)
		}
		all = all && o.fresh && o.lost && o.version == version
	}
	until := clock.Time(0)
	if confirmed != 0 {
		until = confirmed.Add(bound - trustMargin)
	}
	if all {
		until = max(until, now.Add(outageTrust))
	}
	return until
}
