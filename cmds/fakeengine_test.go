package cmds

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/engine"
)

// Checks that the last colon separates the size, as ids may contain colons, and that malformed values
// are refused.
func TestParseModel(t *testing.T) {
	m, err := parseModel("org/m1:x:20")
	assert.NilError(t, err)
	assert.Equal(t, m, engine.Model{ID: "org/m1:x", Bytes: 20})
	m, err = parseModel("a1@m1:3")
	assert.NilError(t, err)
	assert.Equal(t, m, engine.Model{ID: "a1", Base: "m1", Bytes: 3})
	for _, s := range []string{"m1", ":3", "m1:x", ""} {
		_, err := parseModel(s)
		assert.ErrorIs(t, err, errInvalidModel)
	}
}
