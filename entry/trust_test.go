package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
)

const testRevocationDelay = 5 * clock.Second

// Guards against a withdrawn key that goes on working at a gateway that is cut off from
// the store and from the other gateways.
func TestIsolatedGatewayStopsInTime(t *testing.T) {
	unreachable := []storeStatus{{}, {}, {}}
	until := keysValidUntil(9000, 5000, true, 7, unreachable, testRevocationDelay)
	assert.Assert(t, until <= 5000+clock.Time(testRevocationDelay))
	assert.Assert(t, until > 9000, "it serves as long as nothing can have been withdrawn for the bound")
}

// Guards against needless refusals at a gateway that the store turns away, while others
// confirm its version, and against confirmations of another version.
func TestConfirmationsFromOtherGateways(t *testing.T) {
	others := []storeStatus{{configVersion: 7, confirmedAt: 8900, fresh: true}, {configVersion: 7, confirmedAt: 8700, fresh: true}}
	assert.Assert(t, keysValidUntil(9000, 5000, true, 7, others, testRevocationDelay) > 13_000)
	newer := []storeStatus{{configVersion: 8, confirmedAt: 8900, fresh: true}, {configVersion: 8, confirmedAt: 8900, fresh: true}}
	assert.Assert(t, keysValidUntil(9000, 5000, true, 7, newer, testRevocationDelay) <= 10_000)
}

// Guards against refusals by all gateways while the store is down: nothing can be
// withdrawn then. One gateway that is not heard of may have the store.
func TestStoreOutageForAllGateways(t *testing.T) {
	all := []storeStatus{{configVersion: 7, storeLost: true, fresh: true}, {configVersion: 7, storeLost: true, fresh: true}}
	assert.Assert(t, keysValidUntil(60_000, 5000, true, 7, all, testRevocationDelay) > 60_000)
	oneSilent := append([]storeStatus{{configVersion: 7, storeLost: true}}, all...)
	assert.Assert(t, keysValidUntil(60_000, 5000, true, 7, oneSilent, testRevocationDelay) < 60_000)
	assert.Assert(t, keysValidUntil(60_000, 5000, true, 7, all[:1], testRevocationDelay) < 60_000, "one witness is not enough")
}

// Guards against trust before any configuration was confirmed.
func TestKeysInvalidBeforeFirstRead(t *testing.T) {
	assert.Equal(t, keysValidUntil(100, 0, false, 0, nil, testRevocationDelay), clock.Time(0))
}
