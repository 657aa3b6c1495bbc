package units_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/units"
)

// Guards against counts that differ between processors, or change their sign in a sum.
func TestSaturate(t *testing.T) {
	for v, want := range map[float64]units.Tokens{
		2.9: 2, -2.9: -2, 1e308: 1 << 53, -1e308: -1 << 53, math.Inf(1): 1 << 53, math.NaN(): 0, 9.3e18: 1 << 53,
	} {
		assert.Equal(t, units.Saturate[units.Tokens](v), want, "%v", v)
	}
}
