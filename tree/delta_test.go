package tree_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/tree"
)

// Guards against a delta that yields a value other than the sender's.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunk := rapid.SampledFrom([]string{`{"a":1}`, `,{"b":2}`, `{"c":3}`, `x`, `}`, ``})
		text := rapid.Map(rapid.SliceOfN(chunk, 0, 12), func(l []string) []byte {
			var b []byte
			for _, s := range l {
				b = append(b, s...)
			}
			return b
		})
		old, updated := text.Draw(t, "old"), text.Draw(t, "now")
		got, err := tree.Patch(old, tree.Delta(old, updated))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, updated))
	})
}

// Guards against a corrupt delta that is accepted or causes a panic.
func TestPatchCorruptDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := []byte(`[{"a":1},{"b":2}]`)
		d := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "delta")
		if _, err := tree.Patch(old, d); err == nil {
			// An accepted delta has at least the checksum, which matched the result.
			assert.Assert(t, len(d) >= 8)
		}
	})
}

// Guards against a delta as large as the whole configuration after a small change.
func TestDeltaIsSmall(t *testing.T) {
	v := benchTeam(0, 240, 2000, 2000)
	old, err := tree.Encode(v)
	assert.NilError(t, err)
	v.Keys[100].Withdrawn = true
	updated, err := tree.Encode(v)
	assert.NilError(t, err)
	n := len(tree.Delta(old, updated))
	assert.Assert(t, n < 300 && len(updated) > 30_000, "%d of %d bytes", n, len(updated))
}
