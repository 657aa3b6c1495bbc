package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against gateways that end, use an odd entry of another writer as an upstream, or no longer follow the store
// when there are some among the upstreams' entries.
func TestOddEntriesAmongUpstreams(t *testing.T) {
	c := newCluster(t, 3)
	for id, value := range fakes.OddEntries(fakes.AppService, c.app.Addr()) {
		c.store.PutBytes(fakes.UpstreamKeyPrefix+id, value)
	}
	c.store.Put(fakes.ConfigKey, fakes.Config(5, "other"))
	for _, g := range c.gateways {
		c.waitFor("a change after the odd entries is in use", func() bool { return c.responseStatus(g, "/once/a", "other") == http.StatusOK })
		for i := range 5 {
			status, body := c.sendRequest(g, fmt.Sprint("/once/", i), "other", "")
			assert.Equal(t, status, http.StatusOK, body)
		}
	}
}
