package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
)

const testRevocationDelay = 5 * clock.Second

// Guards against a withdrawn API key that is still accepted by a gateway that is disconnected from
// the store and from the other gateways.
func TestIsolatedGatewayStopsInTime(t *testing.T) {
	unreachable := []storeStatus{{}, {}, {}}
	until := believeKeys(9000, 5000, true, 7, unreachable, testRevocationDelay).until
	assert.Assert(t, until <= 5000+clock.Time(testRevocationDelay))
	assert.Assert(t, until > 9000, "keys are valid until the revocation delay may have passed")
}

// Guards against a gateway that the store rejects and that refuses requests although other gateways
// confirm its version, and against the use of confirmations of another version.
func TestConfirmationsFromOtherGateways(t *testing.T) {
	others := []storeStatus{{configVersion: 7, confirmedAt: 8900, fresh: true}, {configVersion: 7, confirmedAt: 8700, fresh: true}}
	assert.Assert(t, believeKeys(9000, 5000, true, 7, others, testRevocationDelay).until > 13_000)
	newer := []storeStatus{{configVersion: 8, confirmedAt: 8900, fresh: true}, {configVersion: 8, confirmedAt: 8900, fresh: true}}
	assert.Assert(t, believeKeys(9000, 5000, true, 7, newer, testRevocationDelay).until <= 10_000)
}

// Guards against gateways that refuse requests while the store is down for all of them, when no key
// can be withdrawn. A gateway without a recent report may still reach the store.
func TestStoreOutageForAllGateways(t *testing.T) {
	all := []storeStatus{{configVersion: 7, storeLost: true, fresh: true}, {configVersion: 7, storeLost: true, fresh: true}}
	assert.Assert(t, believeKeys(60_000, 5000, true, 7, all, testRevocationDelay).until > 60_000)
	oneSilent := append([]storeStatus{{configVersion: 7, storeLost: true}}, all...)
	assert.Assert(t, believeKeys(60_000, 5000, true, 7, oneSilent, testRevocationDelay).until < 60_000)
	assert.Assert(t, believeKeys(60_000, 5000, true, 7, all[:1], testRevocationDelay).until < 60_000, "one other gateway is not enough")
}

// Guards against API keys that are accepted before the store has confirmed any configuration.
func TestKeysInvalidBeforeFirstRead(t *testing.T) {
	assert.Equal(t, believeKeys(100, 0, false, 0, nil, testRevocationDelay).until, clock.Time(0))
}
