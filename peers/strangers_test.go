package peers

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against digests of gateways that nobody knows, which fill the memory, and against ones of registered gateways, or of
// one that has just started, that are dropped for them.
func TestDigestsOfStrangersAreBounded(t *testing.T) {
	c := clock.NewManual(1000)
	p, err := Listen(Options{Clock: c, VM: "self", Address: "127.0.0.1:0", OnDigest: func(Digest) {}})
	assert.NilError(t, err)
	defer p.conn.Close()
	p.SetGateways([]units.VMID{"self", "a", "b"})
	receive := func(vm string) { p.receiveDigest(&wire.Digest{Vm: vm, Life: 1, Number: 1}, netip.AddrPort{}) }
	for i := range 10_000 {
		receive(fmt.Sprint("stranger-", i))
	}
	receive("a")
	receive("b")
	assert.Equal(t, len(p.latest), maxStrangers+2)
	c.Advance(2 * minDigestAge)
	receive("new")
	assert.Equal(t, len(p.FreshDigests()), 1)
	assert.Equal(t, len(p.latest), 3)
}
