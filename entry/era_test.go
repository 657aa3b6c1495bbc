package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/platform/fakes"
)

// newEraCluster starts a cluster whose store may come back from a copy, and returns the copy from before its gateways
// started.
func newEraCluster(t *testing.T, gateways int) (*cluster, *fakes.Copy) {
	t.Helper()
	c := newCluster(t, 0)
	c.store.SetEra(1)
	copied := c.store.Copy()
	for i := range 40 {
		c.store.Put("other", i)
	}
	for i := range gateways {
		c.gateways = append(c.gateways, c.startGateway(fmt.Sprint("gate-", i)))
	}
	for _, g := range c.gateways {
		c.waitFor("gateway is ready", func() bool { return c.readyStatus(g) == http.StatusOK })
	}
	c.followOrders()
	return c, copied
}

// returnFrom makes the store come back from a copy after it was away for a moment.
func (c *cluster) returnFrom(copied *fakes.Copy, writes func(put func(key string, value any))) {
	c.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond)
	c.store.Return(copied, writes)
	c.store.SetStatus(0)
}

// load requests an adapter until a leader has ordered it, and returns the epoch of the order.
func (c *cluster) load(adapter string) int64 {
	c.t.Helper()
	i := -1
	c.waitFor(adapter+" is ordered", func() bool {
		c.sendRequest(c.gateways[0], "/talk/"+adapter, apiKey, "small/"+adapter)
		i = slices.Index(c.llm.Orders(), "model_load small "+adapter)
		return i >= 0
	})
	return c.llm.Epochs()[i]
}

// Guards against a leader under an epoch that is not higher than that of an earlier one (without the era 16, 24, then 22),
// whose orders are refused, or which can't be distinguished from the earlier one's: the store gives out revisions again.
func TestEpochsGrowWhenStoreReturnsOlder(t *testing.T) {
	many := func(put func(key string, value any)) {
		for i := range 200 {
			put("other", i)
		}
	}
	for name, play := range map[string]func(c *cluster, copied *fakes.Copy){
		"without writes": func(c *cluster, copied *fakes.Copy) { c.returnFrom(copied, nil) },
		"with writes":    func(c *cluster, copied *fakes.Copy) { c.returnFrom(copied, many) },
		"twice": func(c *cluster, copied *fakes.Copy) {
			c.returnFrom(copied, many)
			c.returnFrom(copied, nil)
		},
		"while a leader is chosen": func(c *cluster, copied *fakes.Copy) {
			c.store.Delete("duties/orders")
			time.Sleep(100 * time.Millisecond)
			c.store.Return(copied, nil)
		},
		"without an outage": func(c *cluster, copied *fakes.Copy) { c.store.Return(copied, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			c, copied := newEraCluster(t, 3)
			before := c.load("a1")
			play(c, copied)
			// The leader of before may send orders until its lease must have ended.
			time.Sleep(elect.LeaseTTL.Duration())
			after := c.load("a2")
			assert.Assert(t, after > before, "epoch %d after %d", after, before)
			assert.Assert(t, slices.IsSorted(c.llm.Epochs()), "%v", c.llm.Epochs())
		})
	}
}

// Guards against gateways that others no longer know, because the store has forgotten them: limits would be divided by fewer. They
// register at once, not with their next renewal, and none goes on with a lease of another one.
func TestGatewaysRegisterWhenStoreReturnsOlder(t *testing.T) {
	c, copied := newEraCluster(t, 3)
	c.returnFrom(copied, nil)
	returnedAt := time.Now()
	c.waitFor("gateways are registered", func() bool { return len(c.store.Keys("gateways/")) == 3 })
	assert.Assert(t, time.Since(returnedAt) < 1500*time.Millisecond, "after %v", time.Since(returnedAt))
	leader := string(c.gateways[0].settings.VM)
	c.waitFor("leader", func() bool { leader = string(c.store.Value("duties/orders")); return leader != "" })
	for _, g := range c.gateways {
		if string(g.settings.VM) != leader {
			g.stop()
			assert.NilError(t, <-g.runErr)
			g.runErr <- nil
		}
	}
	assert.Equal(t, len(c.store.Keys("gateways/")), 1, "the gateways that stopped are registered")
	assert.Equal(t, string(c.store.Value("duties/orders")), leader, "another gateway ended the leader's lease")
}

// Guards against a withdrawn key that works again because the store came back with the configuration before, at gateways that
// have seen the newer one and at one that starts then; and against gateways that stay closed once it is written again.
func TestWithdrawnKeyStaysWithdrawnWhenStoreReturnsOlder(t *testing.T) {
	c, copied := newEraCluster(t, 2)
	c.store.Put(fakes.ConfigKey, fakes.Config(2, "other"))
	for _, g := range c.gateways {
		c.waitFor("key is withdrawn", func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusUnauthorized })
	}
	c.returnFrom(copied, nil)
	// The others know of the one that starts, so that it knows of them.
	c.waitFor("gateways are registered", func() bool { return len(c.store.Keys("gateways/")) == 2 })
	c.restarts = true
	c.gateways = append(c.gateways, c.startGateway("gate-2"))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, g := range c.gateways {
			assert.Assert(t, c.responseStatus(g, "/once/a", apiKey) != http.StatusOK, "gateway %d", i)
		}
	}
	c.store.Put(fakes.ConfigKey, fakes.Config(2, "other"))
	for _, g := range c.gateways {
		c.waitFor("other key is accepted", func() bool { return c.responseStatus(g, "/once/a", "other") == http.StatusOK })
		assert.Equal(t, c.responseStatus(g, "/once/a", apiKey), http.StatusUnauthorized)
	}
}

// Guards against a part that ends upstreams again after a restart of all gateways, because the store has forgotten the verdict.
func TestVerdictIsWrittenAgainWhenStoreReturnsOlder(t *testing.T) {
	c, _ := newEraCluster(t, 1)
	c.store.Put(fakes.UpstreamKeyPrefix+"llm-1", c.llm.Description(fakes.EngineService, "zone-a", "draining"))
	c.addCrashingEngines(5, "dead1")
	copied := c.store.Copy()
	c.waitFor("sound part is proven", func() bool { return c.sendParts(c.gateways[0], "sound", "shared", "own") == http.StatusOK })
	for i := range 6 {
		c.sendParts(c.gateways[0], fmt.Sprint("bad", i), "shared", "dead1", fmt.Sprint("own", i))
	}
	c.waitFor("verdict is written", func() bool { return len(c.store.Keys("parts/")) == 1 })
	c.returnFrom(copied, nil)
	assert.Equal(t, len(c.store.Keys("parts/")), 0)
	c.waitFor("verdict is written again", func() bool { return len(c.store.Keys("parts/")) == 1 })
}

// Guards against a fleet without a leader: the store came back while a gateway took the leader's key, which now has the lease
// of another owner, or none.
func TestStrayKeyOfLeaderIsRemoved(t *testing.T) {
	c, _ := newEraCluster(t, 1)
	c.gateways[0].stop()
	assert.NilError(t, <-c.gateways[0].runErr)
	c.store.PutBytes("duties/orders", []byte("gate-0"))
	c.gateways[0] = c.startGateway("gate-0")
	c.waitFor("gateway is ready", func() bool { return c.readyStatus(c.gateways[0]) == http.StatusOK })
	c.load("a1")
}

// acceptsWithdrawnKey sends requests with the key that was taken away to all gateways for a time, and reports whether one was
// served.
func (c *cluster) acceptsWithdrawnKey(d time.Duration) bool {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, g := range c.gateways {
			if c.responseStatus(g, "/once/a", apiKey) == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// end stops a gateway and returns when it has ended.
func (c *cluster) end(g *testGateway) {
	c.t.Helper()
	g.stop()
	assert.NilError(c.t, <-g.runErr)
	c.gateways = slices.DeleteFunc(c.gateways, func(o *testGateway) bool { return o == g })
}

// withdrawKey writes a configuration without the key that gateways accepted so far.
func (c *cluster) withdrawKey() { c.store.Put(fakes.ConfigKey, fakes.Config(2, "other")) }

// Guards against a withdrawn key that works again after a return of the store and a restart of all gateways: each takes the
// word of another one that has just started, too.
func TestWithdrawnKeyStaysWithdrawnWhenAllRestart(t *testing.T) {
	c, _ := newEraCluster(t, 2)
	copied := c.store.Copy()
	c.withdrawKey()
	for _, g := range c.gateways {
		c.waitFor("key is withdrawn", func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusUnauthorized })
	}
	for len(c.gateways) > 0 {
		c.end(c.gateways[0])
	}
	c.returnFrom(copied, nil)
	c.restarts = true
	for i := range 2 {
		c.gateways = append(c.gateways, c.startGateway(fmt.Sprint("gate-", i)))
	}
	assert.Assert(t, !c.acceptsWithdrawnKey(700*time.Millisecond), "a withdrawn key is accepted before the operator has written again")
	c.withdrawKey()
	assert.Assert(t, !c.acceptsWithdrawnKey(time.Second), "a withdrawn key is accepted after the operator has written again")
	for _, g := range c.gateways {
		c.waitFor("other key is accepted", func() bool { return c.responseStatus(g, "/once/a", "other") == http.StatusOK })
	}
}

// Guards against the same where the gateways restart one after the other: the last one that knew the newer configuration has
// ended, and the one that got it has not used it.
func TestWithdrawnKeyStaysWithdrawnWhenGatewaysRestartInTurn(t *testing.T) {
	c, _ := newEraCluster(t, 2)
	copied := c.store.Copy()
	c.withdrawKey()
	for _, g := range c.gateways {
		c.waitFor("key is withdrawn", func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusUnauthorized })
	}
	first, second := c.gateways[0], c.gateways[1]
	c.returnFrom(copied, nil)
	c.waitFor("gateways are registered", func() bool { return len(c.store.Keys("gateways/")) == 2 })
	c.restarts = true
	c.end(first)
	c.gateways = append(c.gateways, c.startGateway("gate-2"))
	assert.Assert(t, !c.acceptsWithdrawnKey(500*time.Millisecond), "one gateway has restarted")
	c.end(second)
	c.gateways = append(c.gateways, c.startGateway("gate-3"))
	assert.Assert(t, !c.acceptsWithdrawnKey(2*time.Second), "both gateways have restarted")
	c.withdrawKey()
	for _, g := range c.gateways {
		c.waitFor("other key is accepted", func() bool { return c.responseStatus(g, "/once/a", "other") == http.StatusOK })
	}
}
