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

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// Guards against digests that count twice, come out of order, or are of the gateway
// itself, and against datagrams that can't be read.
func TestDigestsCountOnce(t *testing.T) {
	got := make(chan peers.Digest, 16)
	to := freeAddress(t)
	a, err := peers.Listen(peers.Options{Clock: clock.System{}, VM: "a", Address: to, OnDigest: func(d peers.Digest) { got <- d }})
	assert.NilError(t, err)
	b, err := peers.Listen(peers.Options{Clock: clock.System{}, VM: "b", Address: freeAddress(t)})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx) }()
	go func() { ended <- b.Run(ctx) }()

	raw, err := net.Dial("udp4", to)
	assert.NilError(t, err)
	defer raw.Close()
	_, err = raw.Write([]byte("not a digest"))
	assert.NilError(t, err)
	for _, d := range []*wire.Digest{
		{Vm: "b", Life: 1, Number: 1}, {Vm: "b", Life: 1, Number: 1}, {Vm: "a", Life: 9, Number: 9},
		{Vm: "b", Life: 1, Number: 3}, {Vm: "b", Life: 1, Number: 2}, {Vm: "b", Life: 2, Number: 1},
	} {
		b.Send(d, []string{to})
		time.Sleep(5 * time.Millisecond)
	}
	var numbers []uint64
	for len(numbers) < 3 {
		select {
		case d := <-got:
			numbers = append(numbers, 10*d.GetLife()+d.GetNumber())
		case <-time.After(5 * time.Second):
			t.Fatalf("only %v arrived", numbers)
		}
	}
	assert.DeepEqual(t, numbers, []uint64{11, 13, 21})
	assert.Equal(t, len(got), 0)
	assert.Equal(t, len(a.FreshDigests()), 1)
	cancel()
	assert.NilError(t, <-ended)
	assert.NilError(t, <-ended)
}
