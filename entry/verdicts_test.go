package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/member"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
)

// addCrashingEngines adds n upstreams that end when they begin to answer a request with the part.
func (c *cluster) addCrashingEngines(n int, part string) []*fakes.Replica {
	all := make([]*fakes.Replica, n)
	for i := range all {
		name := fmt.Sprint("crash-", i)
		replica, err := fakes.NewReplica(name, func(r *fakes.Request) {
			if r.HasPromptPart(part) {
				all[i].Crash()
				return
			}
			r.Stream(1, 3, true)
		})
		assert.NilError(c.t, err)
		c.t.Cleanup(replica.Close)
		all[i] = replica
		replica.AddModel("small")
		c.store.Put(fakes.UpstreamKeyPrefix+name, replica.Description(fakes.EngineService, "zone-a", "ready"))
	}
	return all
}

// sendParts sends a request whose prompt has the parts and returns the status.
func (c *cluster) sendParts(g *testGateway, id string, ids ...string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.settings.PublicAddress+"/talk/a", strings.NewReader(id))
	assert.NilError(c.t, err)
	req.Header, req.Host = fakes.RequestHeader(id, apiKey, "small", 4000), fakes.Host
	fakes.SetPromptParts(req.Header, ids...)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// Guards against a part that crashes upstreams anew after a restart of all gateways: they read the verdict
// before they serve.
func TestVerdictOutlivesAllGateways(t *testing.T) {
	c := newCluster(t, 0)
	c.store.Put(fakes.UpstreamKeyPrefix+"llm-1", c.llm.Description(fakes.EngineService, "zone-a", "draining"))
	const deadly = "dead1"
	all := c.addCrashingEngines(8, deadly)
	first := c.startReadyGateway("gate-0")
	assert.Equal(t, c.sendParts(first, "sound", "shared", "own"), http.StatusOK)
	for i := range 6 {
		c.sendParts(first, fmt.Sprint("bad", i), "shared", deadly, fmt.Sprint("own", i))
	}
	before := fakes.CountWithPart(deadly, all)
	assert.Assert(t, before >= 2 && before <= 3, "%d upstreams ended", before)
	c.waitFor("verdict is written", func() bool { return len(c.store.Keys("parts/")) == 1 })
	first.stop()
	assert.NilError(t, <-first.runErr)

	second := c.startGateway("gate-0")
	c.gateways = append(c.gateways, second)
	c.waitFor("gateway is ready", func() bool { return c.readyStatus(second) == http.StatusOK })
	for i := range 3 {
		assert.Equal(t, c.sendParts(second, fmt.Sprint("late", i), "shared", deadly, fmt.Sprint("own-late", i)), http.StatusServiceUnavailable)
	}
	assert.Equal(t, fakes.CountWithPart(deadly, all), before)
	assert.Equal(t, c.sendParts(second, "sound2", "shared", "own2"), http.StatusOK)
}

// addCrashingServices adds n upstreams of the plain service that end when they get a request.
func (c *cluster) addCrashingServices(n int) []*fakes.Replica {
	all := make([]*fakes.Replica, n)
	for i := range all {
		replica, err := fakes.NewReplica(fmt.Sprint("crash-", i), func(*fakes.Request) {
			all[i].Crash()
			c.store.Delete(fakes.UpstreamKeyPrefix + all[i].Instance)
		})
		assert.NilError(c.t, err)
		c.t.Cleanup(replica.Close)
		all[i] = replica
		c.store.Put(fakes.UpstreamKeyPrefix+replica.Instance, replica.Description(fakes.AppService, "zone-a", "ready"))
	}
	return all
}

// countReached returns the number of upstreams that got a request.
func countReached(all []*fakes.Replica) (n int) {
	for _, replica := range all {
		n += min(len(replica.Requests()), 1)
	}
	return n
}

// Guards against a request without parts that crashes upstreams anew after a restart of all gateways (5 or 6 more upstreams
// of a plain service): they read the verdict before they serve.
func TestCrashingRequestIsRefusedAfterRestartOfAll(t *testing.T) {
	c := newCluster(t, 0)
	c.store.Put(fakes.UpstreamKeyPrefix+"app-1", c.app.Description(fakes.AppService, "zone-a", "draining"))
	all := c.addCrashingServices(6)
	first := c.startReadyGateway("gate-0")
	for c.responseStatus(first, "/once/deadly", apiKey) != http.StatusServiceUnavailable && countReached(all) < len(all) {
		time.Sleep(300 * time.Millisecond)
	}
	before := countReached(all)
	assert.Assert(t, before >= 2 && before < len(all), "%d upstreams ended", before)
	c.waitFor("verdict is written", func() bool { return len(c.store.Keys("requests/")) == 1 })
	first.stop()
	assert.NilError(t, <-first.runErr)

	second := c.startGateway("gate-0")
	c.gateways = append(c.gateways, second)
	c.waitFor("gateway is ready", func() bool { return c.readyStatus(second) == http.StatusOK })
	assert.Equal(t, c.responseStatus(second, "/once/deadly", apiKey), http.StatusServiceUnavailable)
	assert.Equal(t, countReached(all), before)
}

// Guards against verdicts on requests that are lost with the gateways once one has reloaded its settings: what they were
// passed to after that wrote nothing.
func TestVerdictsOnRequestsAreKeptAfterReload(t *testing.T) {
	c := newCluster(t, 0)
	c.store.Put(fakes.UpstreamKeyPrefix+"app-1", c.app.Description(fakes.AppService, "zone-a", "draining"))
	all := c.addCrashingServices(6)
	g := c.startReadyGateway("gate-0")
	g.reload(g.settings)
	for c.responseStatus(g, "/once/deadly", apiKey) != http.StatusServiceUnavailable && countReached(all) < len(all) {
		time.Sleep(300 * time.Millisecond)
	}
	assert.Assert(t, countReached(all) < len(all))
	c.waitFor("verdict is written", func() bool { return len(c.store.Keys("requests/")) == 1 })
}

// Guards against a side of a cut that takes itself for the whole fleet, and loses more upstreams to a part, once the keys
// of the gateways on the other side have lapsed.
func TestGatewaysWithLapsedKeysStillCountForParts(t *testing.T) {
	c := newCluster(t, 0)
	c.store.Put(fakes.UpstreamKeyPrefix+"llm-1", c.llm.Description(fakes.EngineService, "zone-a", "draining"))
	const deadly = "dead1"
	all := c.addCrashingEngines(6, deadly)
	var keys []string
	for i := range 2 {
		cutOff := member.Gateway{VM: units.VMID(fmt.Sprint("cut-", i)), Address: fmt.Sprint("127.0.0.1:", 9+i), Zone: "zone-b"}
		value, err := cutOff.Encode()
		assert.NilError(t, err)
		keys = append(keys, member.Key(cutOff.VM))
		c.store.PutBytes(member.Key(cutOff.VM), value)
	}
	g := c.startReadyGateway("gate-0")
	assert.Equal(t, c.sendParts(g, "sound", "shared", "own"), http.StatusOK)
	c.sendParts(g, "bad", "shared", deadly, "own-bad")
	for _, key := range keys {
		c.store.Delete(key)
	}
	c.waitFor("keys have lapsed", func() bool { return len(c.store.Keys("gateways/")) == 1 })
	for i := range 4 {
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, c.sendParts(g, fmt.Sprint("bad", i), "shared", deadly, fmt.Sprint("own", i)), http.StatusServiceUnavailable)
	}
	assert.Equal(t, fakes.CountWithPart(deadly, all), 1)
	assert.Equal(t, c.sendParts(g, "sound2", "shared", "own2"), http.StatusOK)
}
