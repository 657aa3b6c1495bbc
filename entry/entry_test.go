package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/entry"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/units"
)

const apiKey = "secret"

// longTimeoutMillis is the time that callers allow; the routes allow less unless a test changes them.
const longTimeoutMillis = 20_000

// cluster is a fake store, a fake replica of each service and a number of gateways, each with its
// own ports.
type cluster struct {
	t        *testing.T
	store    *fakes.Store
	app      *fakes.Replica
	llm      *fakes.Replica
	gateways []*testGateway
	// restarts is set if gateways that are started are not those of the first start.
	restarts bool
	// adjust changes the settings of gateways; may be nil.
	adjust func(s *platform.Settings)
}

type testGateway struct {
	settings *platform.Settings
	stop     context.CancelFunc
	runErr   chan error
	reload   func(*platform.Settings)
}

func respondDone(req *fakes.Request) { req.Respond("200 OK", "done") }

func streamThreeEvents(req *fakes.Request) { req.Stream(1, 3, true) }

// newCluster starts a cluster and waits until all gateways are ready.
func newCluster(t *testing.T, gateways int) *cluster {
	t.Helper()
	return newClusterWith(t, gateways, nil)
}

// newClusterWith is newCluster with changes to the settings of each gateway; adjust may be nil.
func newClusterWith(t *testing.T, gateways int, adjust func(s *platform.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, store: fakes.NewStore(), adjust: adjust}
	var err error
	c.app, err = fakes.NewReplica("app-1", respondDone)
	assert.NilError(t, err)
	c.llm, err = fakes.NewReplica("llm-1", streamThreeEvents)
	assert.NilError(t, err)
	c.llm.AddModel("small")
	c.store.Put(fakes.ConfigKey, fakes.Config(1, apiKey))
	c.putUpstreams("ready")
	for i := range gateways {
		c.gateways = append(c.gateways, c.startGateway(fmt.Sprint("gate-", i)))
	}
	t.Cleanup(func() {
		for _, g := range c.gateways {
			g.stop()
		}
		for _, g := range c.gateways {
			assert.NilError(t, <-g.runErr)
		}
		c.app.Close()
		c.llm.Close()
		c.store.Close()
	})
	for _, g := range c.gateways {
		c.waitFor("gateway is ready", func() bool { return c.readyStatus(g) == http.StatusOK })
	}
	return c
}

// putUpstreams writes the description of both replicas with the state to the store.
func (c *cluster) putUpstreams(state string) {
	c.store.Put(fakes.UpstreamKeyPrefix+"app-1", c.app.Description(fakes.AppService, "zone-a", state))
	c.store.Put(fakes.UpstreamKeyPrefix+"llm-1", c.llm.Description(fakes.EngineService, "zone-a", state))
}

// followOrders writes the description of the replicas after each order that the engine has
// executed, until the test ends, as replicas of the platform do. Until a load is described, the
// leader counts it as in progress and holds back further ones at that replica.
func (c *cluster) followOrders() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		described := 0
		for {
			if n := len(c.llm.Orders()); n > described {
				described = n
				c.putUpstreams("ready")
			}
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	c.t.Cleanup(func() {
		close(stop)
		<-done
	})
}

// Ports for tests lie below those that the kernel gives to outgoing connections, which could take a port
// between its choice and its use.
const (
	firstTestPort = 10_000
	testPorts     = 20_000
)

// nextTestPort is the offset of the next port to try; it begins at a random one for each process.
var nextTestPort atomic.Int64

func init() { nextTestPort.Store(int64(time.Now().Nanosecond() % testPorts)) }

// freePorts returns a free TCP address and the first port of a free range for traffic between
// gateways: a UDP port for digests and a TCP port for metrics.
func freePorts(t *testing.T) (string, int) {
	t.Helper()
	for {
		port := firstTestPort + int(nextTestPort.Add(3)%testPorts)
		address := fmt.Sprintf("127.0.0.1:%d", port+2)
		u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		m, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+entry.MetricsPortOffset))
		u.Close()
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", address)
		m.Close()
		if err == nil {
			l.Close()
			return address, port
		}
	}
}

func (c *cluster) startGateway(name string) *testGateway {
	return c.startGatewayAt(name, c.store.Addr())
}

// startGatewayAt starts a gateway that reaches the store at the address.
func (c *cluster) startGatewayAt(name, storeAddress string) *testGateway {
	c.t.Helper()
	public, first := freePorts(c.t)
	ready, _ := freePorts(c.t)
	settings := &platform.Settings{
		VM: units.VMID(name), Zone: "zone-a", IP: "127.0.0.1", FirstStart: !c.restarts, PublicAddress: public, ReadyAddress: ready,
		FirstPort: first, LastPort: first + 1, StoreAddress: storeAddress, MinLeaseTTL: clock.Second,
		MemoryMegabytes: 284,
		Bounds: platform.Bounds{
			GracePeriod: 5 * clock.Second, RevocationDelay: 2500 * clock.Millisecond, LeaseTTL: 300, RetryRatio: 0.2, RetrySlack: 50,
			RetryWindow: 10 * clock.Second, QuotaOvershoot: 0.1, ColdFactor: 1.5, ColdSlack: 5,
		},
	}
	if c.adjust != nil {
		c.adjust(settings)
	}
	g, err := entry.New(settings)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	gateway := &testGateway{settings, cancel, make(chan error, 1), g.Reload}
	go func() { gateway.runErr <- g.Run(ctx) }()
	return gateway
}

// waitFor polls until the condition holds and fails the test after 10 s.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after 10 s: %s", what)
}

// startReadyGateway starts a gateway and waits until it is ready.
func (c *cluster) startReadyGateway(name string) *testGateway {
	c.t.Helper()
	g := c.startGateway(name)
	c.waitFor("gateway is ready", func() bool { return c.readyStatus(g) == http.StatusOK })
	return g
}

// readyStatus returns the status of a readiness check; 0 if the call fails.
func (c *cluster) readyStatus(g *testGateway) int {
	res, err := http.Get("http://" + g.settings.ReadyAddress + "/readiness")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// sendRequest returns the status and body of the response; 0 and the error's text if the call
// fails.
func (c *cluster) sendRequest(g *testGateway, path, key, model string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.settings.PublicAddress+path, strings.NewReader("body"))
	assert.NilError(c.t, err)
	req.Header, req.Host = fakes.RequestHeader("id"+path, key, model, longTimeoutMillis), fakes.Host
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

func (c *cluster) responseStatus(g *testGateway, path, key string) int {
	status, _ := c.sendRequest(g, path, key, "")
	return status
}

// Guards against routes that don't work end to end, new configurations that are not applied, older
// or invalid ones that are, and withdrawn API keys that are still accepted.
func TestServesAndFollowsConfiguration(t *testing.T) {
	c := newCluster(t, 2)
	g := c.gateways[0]
	status, body := c.sendRequest(g, "/once/a", apiKey, "")
	assert.Equal(t, status, http.StatusOK, body)
	status, body = c.sendRequest(g, "/talk/a", apiKey, "small")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, body, fakes.Event(1)+fakes.Event(2)+fakes.Event(3))
	assert.Equal(t, c.responseStatus(g, "/once/a", "other"), http.StatusUnauthorized)
	c.store.Put(fakes.ConfigKey, fakes.Config(5, "other"))
	c.waitFor("new key is accepted", func() bool {
		return c.responseStatus(g, "/once/a", "other") == http.StatusOK
	})
	assert.Equal(t, c.responseStatus(g, "/once/a", apiKey), http.StatusUnauthorized)
	c.store.Put(fakes.ConfigKey, fakes.Config(4, apiKey))
	c.store.PutBytes(fakes.ConfigKey, []byte("{broken"))
	time.Sleep(700 * time.Millisecond)
	assert.Equal(t, c.responseStatus(g, "/once/a", "other"), http.StatusOK, "the newest valid version stays in use")
}

// Guards against requested models that are never loaded, and against several gateways that send
// orders.
func TestRequestedModelsAreLoaded(t *testing.T) {
	c := newCluster(t, 3)
	c.followOrders()
	c.waitFor("one gateway is the leader", func() bool { return c.store.Value("duties/orders") != nil })
	time.Sleep(400 * time.Millisecond)
	status, body := c.sendRequest(c.gateways[1], "/talk/b", apiKey, "small/a1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, slices.Contains(c.llm.Orders(), "model_load small a1"))
	c.sendRequest(c.gateways[2], "/talk/c", apiKey, "large")
	c.waitFor("model load is ordered", func() bool { return slices.Contains(c.llm.Orders(), "model_load large") })
	c.waitFor("model is served", func() bool {
		status, _ := c.sendRequest(c.gateways[2], "/talk/c", apiKey, "large")
		return status == http.StatusOK
	})
	// A model that is not loaded anywhere may be loaded before it is requested, but no order is
	// sent twice and nothing is unloaded.
	orders := c.llm.Orders()
	slices.Sort(orders)
	assert.DeepEqual(t, orders, []string{"model_load large", "model_load small a1"})
}

// Guards against requests to upstreams that are draining, removed or in an excluded zone.
func TestDrainingUpstreamsGetNoRequests(t *testing.T) {
	c := newCluster(t, 1)
	g := c.gateways[0]
	assert.Equal(t, c.responseStatus(g, "/once/a", apiKey), http.StatusOK)
	c.putUpstreams("draining")
	c.waitFor("draining upstream gets no requests", func() bool {
		return c.responseStatus(g, "/once/a", apiKey) == http.StatusServiceUnavailable
	})
	c.putUpstreams("ready")
	c.waitFor("ready upstream gets requests again", func() bool {
		return c.responseStatus(g, "/once/a", apiKey) == http.StatusOK
	})
	c.store.Put(fakes.EvacuateKeyPrefix+"zone-a", map[string]any{})
	c.waitFor("zone is excluded", func() bool {
		return c.responseStatus(g, "/once/a", apiKey) == http.StatusServiceUnavailable
	})
	c.store.Delete(fakes.EvacuateKeyPrefix + "zone-a")
	c.waitFor("zone is restored", func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusOK })
	c.store.Delete(fakes.UpstreamKeyPrefix + "app-1")
	c.waitFor("removed upstream gets no requests", func() bool {
		return c.responseStatus(g, "/once/a", apiKey) == http.StatusServiceUnavailable
	})
}

// Guards against a single gateway that accepts API keys without limit while the store rejects its
// calls, and one that doesn't recover with the store.
func TestSingleGatewayWithoutStore(t *testing.T) {
	c := newCluster(t, 1)
	g := c.gateways[0]
	c.store.SetStatus(http.StatusServiceUnavailable)
	outageStart := time.Now()
	for c.responseStatus(g, "/once/a", apiKey) == http.StatusOK {
		assert.Assert(t, time.Since(outageStart) < g.settings.Bounds.RevocationDelay.Duration(),
			"the key is accepted after the revocation delay")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, c.readyStatus(g), http.StatusServiceUnavailable)
	c.store.SetStatus(0)
	c.waitFor("gateway serves again", func() bool {
		return c.responseStatus(g, "/once/a", apiKey) == http.StatusOK
	})
}

// Guards against gateways that refuse requests as soon as the store is down, that say nothing of it to
// callers, and that stay closed once it is back.
func TestGatewaysServeThroughShortStoreOutage(t *testing.T) {
	c := newCluster(t, 3)
	time.Sleep(700 * time.Millisecond)
	c.store.SetStatus(http.StatusServiceUnavailable)
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, g := range c.gateways {
			assert.Equal(t, c.responseStatus(g, "/once/a", apiKey), http.StatusOK, "gateway %d", i)
		}
	}
	for i, g := range c.gateways {
		c.waitFor(fmt.Sprintf("gateway %d refuses", i), func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusServiceUnavailable })
		assert.Equal(t, c.readyStatus(g), http.StatusServiceUnavailable)
	}
	c.store.SetStatus(0)
	for i, g := range c.gateways {
		c.waitFor(fmt.Sprintf("gateway %d serves again", i), func() bool { return c.responseStatus(g, "/once/a", apiKey) == http.StatusOK })
	}
}

// Guards against a withdrawn API key that is accepted without limit because all gateways have lost the
// store, while the operator reaches it.
func TestWithdrawnKeyIsRefusedWhenAllLoseStore(t *testing.T) {
	c := newCluster(t, 3)
	time.Sleep(700 * time.Millisecond)
	c.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(100 * time.Millisecond)
	c.store.Put(fakes.ConfigKey, fakes.Config(5, "other"))
	refusedFrom := time.Now().Add(c.gateways[0].settings.Bounds.RevocationDelay.Duration())
	for end := refusedFrom.Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, g := range c.gateways {
			sentAt := time.Now()
			status := c.responseStatus(g, "/once/a", apiKey)
			assert.Assert(t, status != http.StatusOK || sentAt.Before(refusedFrom), "gateway %d accepts the key %v too late", i, sentAt.Sub(refusedFrom))
		}
	}
	c.store.SetStatus(0)
	for i, g := range c.gateways {
		c.waitFor(fmt.Sprintf("gateway %d accepts the new key", i), func() bool { return c.responseStatus(g, "/once/a", "other") == http.StatusOK })
	}
}

// Guards against requests that are cut off by a planned stop, and a gateway that reports readiness
// while it drains.
func TestPlannedStopFinishesRequests(t *testing.T) {
	c := newCluster(t, 2)
	g := c.gateways[0]
	type response struct {
		status int
		body   string
	}
	responses := make(chan response, 1)
	release := make(chan struct{})
	slow, err := fakes.NewReplica("slow-1", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		<-release
		r.Chunk(fakes.Event(3))
		r.WriteRaw("0\r\n\r\n")
	})
	assert.NilError(t, err)
	defer slow.Close()
	slow.AddModel("large")
	c.store.Put(fakes.UpstreamKeyPrefix+"slow-1", slow.Description(fakes.EngineService, "zone-a", "ready"))
	go func() {
		var res response
		for res.status != http.StatusOK {
			res.status, res.body = c.sendRequest(g, "/stream/a", apiKey, "large")
		}
		responses <- res
	}()
	c.waitFor("stream runs", func() bool { return len(slow.Requests()) > 0 })
	g.stop()
	c.waitFor("gateway is not ready", func() bool { return c.readyStatus(g) == http.StatusServiceUnavailable })
	assert.Equal(t, c.responseStatus(g, "/once/a", apiKey), http.StatusOK,
		"new requests are served until callers notice the stop")
	close(release)
	res := <-responses
	assert.Equal(t, res.body, fakes.Event(1)+fakes.Event(2)+fakes.Event(3))
}
