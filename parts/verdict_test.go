package parts

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry of another writer that refuses a part, and against an error of its size in the log.
func TestOddVerdict(t *testing.T) {
	for _, odd := range []string{``, `null`, `{}`, `{"crashes":1}`, `{"crashes":-2}`, `{"crashes":1e30}`, `{"crashes":` + strings.Repeat("9", 1<<19) + `}`,
		`{"crashes":5,"more":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`} {
		_, err := DecodeVerdict(7, []byte(odd))
		assert.Assert(t, err != nil, "%.60s", odd)
		assert.Assert(t, len(err.Error()) < 500)
	}
}
