package epoch_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/epoch"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against epochs that fall when the store returns with lower revisions, and against ones that a reader of JSON
// rounds.
func TestRevisionsGrowOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, f := rapid.Int64Range(0, 8191).Draw(t, "e"), rapid.Int64Range(0, 8191).Draw(t, "f")
		r, s := rapid.Int64Range(0, 1<<40-1).Draw(t, "r"), rapid.Int64Range(0, 1<<40-1).Draw(t, "s")
		a, ok := epoch.Join(epoch.Era(e), r)
		assert.Assert(t, ok)
		b, ok := epoch.Join(epoch.Era(f), s)
		assert.Assert(t, ok)
		assert.Equal(t, a < b, e < f || e == f && r < s)
		assert.Assert(t, a < 1<<53)
		assert.Equal(t, int64(epoch.Of(a)), e)
		assert.Equal(t, epoch.Own(a), r)
		assert.Equal(t, epoch.MayPrecede(a, b), e > f && r < s)
	})
}

// Guards against epochs that change on platforms whose store never loses anything.
func TestRevisionsWithoutEraStay(t *testing.T) {
	for _, n := range []int64{0, 1, 24, 1 << 41, 1<<62 + 1} {
		r, ok := epoch.Join(0, n)
		assert.Assert(t, ok)
		assert.Equal(t, r, units.Revision(n))
	}
}

// Guards against a revision that counts as one of another era, and against an era that makes epochs negative.
func TestOutOfRange(t *testing.T) {
	for _, own := range []int64{-1, 1 << 40, 1 << 62} {
		_, ok := epoch.Join(1, own)
		assert.Assert(t, !ok, "%d", own)
	}
	for _, s := range []string{"", "-1", "x", "1.5", " 1", "8388608", "9223372036854775807", "99999999999999999999"} {
		_, ok := epoch.ParseEra(s)
		assert.Assert(t, !ok, "%q", s)
	}
	e, ok := epoch.ParseEra("8388607")
	assert.Assert(t, ok)
	r, ok := epoch.Join(e, 1<<40-1)
	assert.Assert(t, ok && r > 0)
}
