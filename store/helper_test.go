package store_test

import (
	"context"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 200 * clock.Millisecond

// startStore runs a stand-in and returns it with a client.
func startStore(t *testing.T, o keyval.Options) (*keyval.Server, *store.Client) {
	t.Helper()
	s, err := keyval.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c := store.New(store.Options{Address: s.Addr(), Timeout: testTimeout})
	t.Cleanup(func() {
		c.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return s, c
}
