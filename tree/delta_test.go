package tree_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/tree"
)

// Guards against a difference that makes another value than the sender has.
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
		old, now := text.Draw(t, "old"), text.Draw(t, "now")
		got, err := tree.Patch(old, tree.Delta(old, now))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, now))
	})
}

// Guards against a damaged difference that is taken for a value or ends the process.
func TestDamagedDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := []byte(`[{"a":1},{"b":2}]`)
		d := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "delta")
		if _, err := tree.Patch(old, d); err == nil {
			// Only the right checksum of what the rest makes is accepted.
			assert.Assert(t, len(d) >= 8)
		}
	})
}

// Guards against differences that cost as much as the whole value.
func TestDeltaIsSmall(t *testing.T) {
	v := large(0, 240, 2000, 2000)
	old, err := tree.Encode(v)
	assert.NilError(t, err)
	v.Keys[100].Withdrawn = true
	now, err := tree.Encode(v)
	assert.NilError(t, err)
	n := len(tree.Delta(old, now))
	assert.Assert(t, n < 300 && len(now) > 30_000, "%d of %d bytes", n, len(now))
}
