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
// whose orders are refused, or which can't be told from the earlier one's: the store gives out revisions again.
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
			// The leader hears of the return when it renews its lease, at the latest.
			time.Sleep(elect.RenewInterval.Duration() + 200*time.Millisecond)
			after := c.load("a2")
			assert.Assert(t, after > before, "epoch %d after %d", after, before)
			assert.Assert(t, slices.IsSorted(c.llm.Epochs()), "%v", c.llm.Epochs())
		})
	}
}
