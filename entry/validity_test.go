package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/wire"
)

const testRevocationDelay = 5 * clock.Second

// newDigest returns a digest received at a time from a gateway that uses the version of the
// configuration, with the age of its confirmation.
func newDigest(vm string, receivedAt clock.Time, configVersion, age int64) peers.Digest {
	return peers.Digest{Digest: &wire.Digest{Vm: vm, Config: configVersion, ConfirmedMs: age}, ReceivedAt: receivedAt}
}

// Guards against a withdrawn API key that is still accepted by a gateway that is disconnected from
// the store and from the other gateways.
func TestIsolatedGatewayStopsInTime(t *testing.T) {
	var b keyBelief
	b.confirm(5000, "")
	until := b.validUntil(testRevocationDelay)
	assert.Assert(t, until <= 5000+clock.Time(testRevocationDelay))
	assert.Assert(t, until > 9000, "keys are valid until the revocation delay may have passed")
}

// Guards against a gateway that the store rejects and that refuses requests although other gateways
// confirm its version, and against the use of confirmations of another version.
func TestConfirmationsFromOtherGateways(t *testing.T) {
	same := []peers.Digest{newDigest("a", 9000, 7, 300), newDigest("b", 9000, 7, 100), newDigest("c", 9000, 6, 200)}
	chosen := chooseConfirmers(same, 5000, 7)
	assert.Equal(t, len(chosen), 3)
	assert.Equal(t, chosen[0].GetVm(), "b", "the latest first")
	newer := []peers.Digest{newDigest("a", 9000, 8, 100), newDigest("b", 9000, 8, 100)}
	assert.Equal(t, len(chooseConfirmers(newer, 5000, 7)), 0)
	assert.Equal(t, len(chooseConfirmers(same, 8950, 7)), 0, "nothing later than what is known")
	never := []peers.Digest{newDigest("a", 9000, 0, 100), newDigest("b", 9000, 7, noConfirmationMs)}
	assert.Equal(t, len(chooseConfirmers(never, 5000, 7)), 0, "a gateway that has read nothing confirms nothing")
}

// Guards against the inference from the silence of the store at all gateways that no key can have been
// withdrawn, also when gateways that have just woken up complete the picture.
func TestLostStoreExtendsNothing(t *testing.T) {
	var b keyBelief
	b.confirm(5000, "")
	limit := clock.Time(5000).Add(testRevocationDelay)
	for now := clock.Time(5000); now < 60_000; now += 500 {
		all := []peers.Digest{newDigest("a", now, 7, int64(now)-5000), newDigest("b", now, 7, int64(now)-4800), newDigest("c", now, 7, int64(now)-4900)}
		for _, d := range chooseConfirmers(all, b.confirmedAt, 7) {
			b.confirm(d.ReceivedAt.Add(-clock.Span(d.GetConfirmedMs())), "")
		}
		assert.Assert(t, b.validUntil(testRevocationDelay) <= limit, "at %d until %d", now, b.validUntil(testRevocationDelay))
	}
}

// Guards against API keys that are accepted before the store has confirmed any configuration.
func TestKeysInvalidBeforeFirstRead(t *testing.T) {
	var b keyBelief
	assert.Equal(t, b.validUntil(testRevocationDelay), clock.Time(0))
}
