package units_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/units"
)

// Guards against an address that no connection can lead to, or that leads elsewhere as part of a URL.
func TestIsAddress(t *testing.T) {
	for _, s := range []string{"10.0.0.1:1", "[fd00::1]:65535", "u-1.zone_a.example:80"} {
		assert.Assert(t, units.IsAddress(s), s)
	}
	for _, s := range []string{
		"", ":80", "a", "a:", "a:0", "a:-1", "a:+1", "a:65536", "a:99999", "a:80:80", "a:http", "a:18446744073709551617",
		"a/b:80", "u@a:80", "a%2f:80", "a?b:80", "a b:80", "a\n:80",
	} {
		assert.Assert(t, !units.IsAddress(s), s)
	}
}
