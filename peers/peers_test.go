package peers_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/peers"
	"github.com/magnolialever/magnolialever/wire"
)

// unusedAddress returns a local UDP address that nothing listens on.
func unusedAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// Guards against passing on duplicate, out-of-order or own digests, and against a malformed
// datagram that ends the receiver.
func TestDuplicateAndStaleDigestsIgnored(t *testing.T) {
	digests := make(chan peers.Digest, 16)
	address := unusedAddress(t)
	a, err := peers.Listen(peers.Options{Clock: clock.System{}, VM: "a", Address: address, OnDigest: func(d peers.Digest) { digests <- d }})
	assert.NilError(t, err)
	b, err := peers.Listen(peers.Options{Clock: clock.System{}, VM: "b", Address: unusedAddress(t)})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runErrors := make(chan error, 2)
	go func() { runErrors <- a.Run(ctx) }()
	go func() { runErrors <- b.Run(ctx) }()

	raw, err := net.Dial("udp4", address)
	assert.NilError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte("not a digest"))
	assert.NilError(t, err)
	for _, d := range []*wire.Digest{
		{Vm: "b", Life: 1, Number: 1}, {Vm: "b", Life: 1, Number: 1}, {Vm: "a", Life: 9, Number: 9},
		{Vm: "b", Life: 1, Number: 3}, {Vm: "b", Life: 1, Number: 2}, {Vm: "b", Life: 2, Number: 1},
	} {
		b.Send(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: d}}, address)
		time.Sleep(5 * time.Millisecond)
	}
	var numbers []uint64
	for len(numbers) < 3 {
		select {
		case d := <-digests:
			numbers = append(numbers, 10*d.GetLife()+d.GetNumber())
		case <-time.After(5 * time.Second):
			t.Fatalf("timeout; only digests %v arrived", numbers)
		}
	}
	assert.DeepEqual(t, numbers, []uint64{11, 13, 21})
	assert.Equal(t, len(digests), 0)
	assert.Equal(t, len(a.FreshDigests()), 1)
	cancel()
	assert.NilError(t, <-runErrors)
	assert.NilError(t, <-runErrors)
}
