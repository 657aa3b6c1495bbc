package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
)

// Guards against a sound request that is refused, now or after a restart of all gateways, as many upstreams ran it when they
// ended for another reason: an answer refutes that, before or after it is known.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	const sound, crashing = 7, 8
	after, before := retry.NewSuspects(), retry.NewSuspects()
	before.RecordSuccess(900, sound)
	for _, s := range []*retry.Suspects{after, before} {
		for _, c := range []retry.CrashID{1, 2} {
			s.RecordCrash(1000, sound, c)
			s.RecordCrash(1000, crashing, c)
		}
	}
	assert.Equal(t, before.Action(1000, sound), retry.Allow)
	assert.Equal(t, len(before.TakeRejected()), 1, "only the other one is refused")
	assert.Equal(t, after.Action(1000, sound), retry.Reject)
	changed, refuted := after.RecordSuccess(1100, sound)
	assert.Assert(t, refuted && len(changed.Refuted) == 2)
	_, refuted = after.RecordSuccess(1100, sound)
	assert.Assert(t, !refuted, "there is nothing new to tell others")
	for _, s := range []*retry.Suspects{after, before} {
		assert.Equal(t, s.Action(1100, sound), retry.Allow)
		assert.Equal(t, s.Action(1100, crashing), retry.Reject)
		s.RecordCrash(60_000, sound, 3)
		s.RecordCrash(60_000, sound, 4)
		assert.Equal(t, s.Action(60_000, sound), retry.Reject, "an earlier answer says nothing of a new release")
	}
}

// Guards against a sound request that other processes refuse for ever, or refuse again, as each tells the others of crashes that
// one of them knows to be refuted; and against a request that crashes upstreams and is sent again because of that.
func TestRefutationReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const sound, crashing = retry.Fingerprint(1), retry.Fingerprint(2)
		nodes := make([]*retry.Suspects, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.NewSuspects()
		}
		now := clock.Time(1)
		node := func(what string) *retry.Suspects { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, what)] }
		exchange := func() {
			for _, from := range nodes {
				for _, s := range from.List(now) {
					for _, to := range nodes {
						to.Merge(now, s)
					}
				}
			}
		}
		for crash := range retry.CrashID(rapid.IntRange(2, 5).Draw(t, "crashes")) {
			now += clock.Time(rapid.IntRange(0, 3000).Draw(t, "time"))
			for range rapid.IntRange(0, 2).Draw(t, "answers") {
				node("answers").RecordSuccess(now, sound)
			}
			node("sees the sound one").RecordCrash(now, sound, crash)
			node("sees the crashing one").RecordCrash(now, crashing, crash)
			if rapid.Bool().Draw(t, "exchange") {
				exchange()
			}
		}
		exchange()
		node("answers last").RecordSuccess(now, sound)
		exchange()
		exchange()
		for _, n := range nodes {
			assert.Equal(t, n.Action(now, sound), retry.Allow)
			assert.Equal(t, n.Action(now, crashing), retry.Reject)
		}
	})
}
