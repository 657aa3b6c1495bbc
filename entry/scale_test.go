package entry_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
)

// scaleOrder is the body of a scaling order.
type scaleOrder struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
}

// newScaledCluster starts a cluster whose configuration limits the replicas of the plain service.
func newScaledCluster(t *testing.T, limits map[string]any, duties bool) (*cluster, *fakes.Cloud) {
	t.Helper()
	cloud := fakes.NewCloud()
	t.Cleanup(cloud.Close)
	c := newClusterWith(t, 2, func(s *platform.Settings) {
		s.Cloud = platform.Cloud{Address: cloud.Addr(), CallsPerSecond: 20, Scales: duties}
	})
	config := fakes.Config(2, apiKey)
	services, _ := config["services"].([]any)
	for _, s := range services {
		if service, ok := s.(map[string]any); ok && service["name"] == fakes.AppService {
			service["scaling"] = limits
		}
	}
	c.store.Put(fakes.ConfigKey, config)
	return c, cloud
}

// lastOrder returns the last scaling order that was carried out.
func lastOrder(t *testing.T, cloud *fakes.Cloud) scaleOrder {
	t.Helper()
	var o scaleOrder
	for _, call := range cloud.Calls() {
		assert.Equal(t, call.Path, "/scaling")
		if call.Status == http.StatusOK || call.Status == 0 {
			assert.NilError(t, json.Unmarshal([]byte(call.Body), &o))
		}
	}
	return o
}

// Guards against a service that stays below its least number of replicas, and against an order that is sent again and
// again, or not repeated when nobody answers.
func TestServiceIsScaled(t *testing.T) {
	c, cloud := newScaledCluster(t, map[string]any{"min": 3, "max": 5, "bootS": 60}, true)
	failFirst(cloud, 1, 0, 0)
	c.waitFor("replicas are ordered", func() bool {
		return lastOrder(t, cloud) == scaleOrder{fakes.AppService, "zone-a", 3} && len(cloud.Calls()) > 1
	})
	c.sendSome(50)
	assert.Equal(t, len(cloud.Calls()), 2)
}

// Guards against scaling orders where the settings don't list the duty.
func TestNothingIsScaledWithoutTheDuty(t *testing.T) {
	c, cloud := newScaledCluster(t, map[string]any{"min": 3, "max": 5, "bootS": 60}, false)
	c.sendSome(200)
	assert.Equal(t, len(cloud.Calls()), 0)
}
