package retry_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against crash suspects that are decoded differently from how they were encoded, and
// against ones that a process never drops.
func TestSuspectEncoding(t *testing.T) {
	sent := retry.Suspect{Fingerprint: 7, Crashes: []retry.CrashID{1, 2}, Refuted: []retry.CrashID{3}, Expires: 5_000}
	encoded := retry.EncodeSuspect(1_000, sent)
	// The clock of the other process differs.
	decoded := retry.DecodeSuspect(90_000, encoded)
	assert.DeepEqual(t, decoded, retry.Suspect{Fingerprint: 7, Crashes: sent.Crashes, Refuted: sent.Refuted, Expires: 94_000})
	unbounded := retry.DecodeSuspect(0, &wire.Suspect{Fingerprint: 7, Ttl: 1 << 60})
	assert.Equal(t, unbounded.Expires, clock.Time(0).Add(retry.SuspectTTL))
}
