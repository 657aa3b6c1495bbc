package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against crash suspects that are decoded differently from how they were encoded, and
// against ones that a gateway never drops.
func TestSuspectEncoding(t *testing.T) {
	sent := retry.Suspect{Fingerprint: 7, Crashes: []retry.CrashID{1, 2}, Expires: 5_000}
	encoded := encodeSuspects(1_000, []retry.Suspect{sent})
	// The clock of the other gateway differs.
	decoded := decodeSuspect(90_000, encoded[0])
	assert.DeepEqual(t, decoded, retry.Suspect{Fingerprint: 7, Crashes: sent.Crashes, Expires: 94_000})
	unbounded := decodeSuspect(0, &wire.Suspect{Fingerprint: 7, Ttl: 1 << 60})
	assert.Equal(t, unbounded.Expires, clock.Time(0).Add(retry.SuspectTTL))
}

// Guards against models that are loaded again because one zone is cut off from a sound upstream, or
// because single gateways can't connect to it.
func TestOneZoneDoesNotMakeUpstreamUnreachable(t *testing.T) {
	reports := map[units.Zone][]units.UpstreamID{"one": {"cut", "cut", "dead"}, "two": {"dead"}, "three": nil}
	assert.DeepEqual(t, unreachableFromZones(reports), map[units.UpstreamID]bool{"dead": true})
	assert.DeepEqual(t, unreachableFromZones(map[units.Zone][]units.UpstreamID{"one": {"dead"}}), map[units.UpstreamID]bool{"dead": true})
}
