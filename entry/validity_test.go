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
	until := believeKeys(9000, 5000, 7, nil, testRevocationDelay).until
	assert.Assert(t, until <= 5000+clock.Time(testRevocationDelay))
	assert.Assert(t, until > 9000, "keys are valid until the revocation delay may have passed")
}

// Guards against a gateway that the store rejects and that refuses requests although other gateways
// confirm its version, and against the use of confirmations of another version.
func TestConfirmationsFromOtherGateways(t *testing.T) {
	others := []storeStatus{{configVersion: 7, confirmedAt: 8900}, {configVersion: 7, confirmedAt: 8700}}
	assert.Assert(t, believeKeys(9000, 5000, 7, others, testRevocationDelay).until > 13_000)
	newer := []storeStatus{{configVersion: 8, confirmedAt: 8900}, {configVersion: 8, confirmedAt: 8900}}
	assert.Assert(t, believeKeys(9000, 5000, 7, newer, testRevocationDelay).until <= 10_000)
}

// Guards against the inference from the silence of the store at all gateways that no key can have been
// withdrawn, also when gateways that have just woken up complete the picture.
func TestLostStoreExtendsNothing(t *testing.T) {
	all := []storeStatus{{configVersion: 7, confirmedAt: 5000}, {configVersion: 7, confirmedAt: 4800}, {configVersion: 7, confirmedAt: 4900}}
	limit := clock.Time(5000).Add(testRevocationDelay)
	for now := clock.Time(5000); now < 60_000; now += 500 {
		belief := believeKeys(now, 5000, 7, all, testRevocationDelay)
		assert.Assert(t, belief.until <= limit, "at %d until %d", now, belief.until)
	}
}

// Guards against API keys that are accepted before the store has confirmed any configuration.
func TestKeysInvalidBeforeFirstRead(t *testing.T) {
	assert.Equal(t, believeKeys(100, 0, 0, nil, testRevocationDelay).until, clock.Time(0))
}
