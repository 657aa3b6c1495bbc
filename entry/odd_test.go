package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against gateways that end, use an odd entry of another writer as an upstream, or no longer follow the store
// when there are some among the upstreams' entries.
func TestOddEntriesAmongUpstreams(t *testing.T) {
	c := newCluster(t, 3)
	entry := func(address, more string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"state":"ready","slots":8%s}`, fakes.AppService, address, more)
	}
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for key, value := range map[string]string{
		"deep": entry("127.0.0.1:1", `,"more":`+nested(9_000)), "deeper": nested(20_000), "port": entry("127.0.0.1:99999", ""),
		"large": entry("127.0.0.1:1", `,"coldLeftMs":1e308`), "born": entry(c.app.Addr(), `,"born":9223372036854775807`),
		strings.Repeat("k", 50<<10): entry("127.0.0.1:1", ""), "": entry("127.0.0.1:1", ""),
	} {
		c.store.PutBytes(fakes.UpstreamKeyPrefix+key, []byte(value))
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
