package devel_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
)

// Checks that a gateway that stops gracefully transfers the token buckets that it owns. Otherwise a
// request that needs more than half of the customer's burst waits for the other half.
func TestStopTransfersRate(t *testing.T) {
	f := startFleet(t, func(o *devel.Options) { o.GateSettings.Limits.DrainDelay = 1000 })
	writeTeam(t, f, &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 400, Burst: 400}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: 1 << 30}},
	}, 0)
	waitFor(t, "fleet is ready", f.Ready)
	url := "http://" + f.Gateways[1].Gate().Addr().String() + "/v1/chat/completions"
	const largeRequest = `{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":300}`
	waitFor(t, "burst is full", func() bool { s, _, _ := post(t, url, "secret-key", largeRequest); return s == http.StatusOK })
	time.Sleep(1200 * time.Millisecond) // refills the bucket after the request
	assert.NilError(t, f.StopProcess("gateway gateway0"))
	sent := time.Now()
	status, body, _ := post(t, url, "secret-key", largeRequest)
	assert.Equal(t, status, http.StatusOK, body)
	elapsed := time.Since(sent)
	t.Logf("response after %v", elapsed)
	// Generating the response takes about 1.6 s at 5 ms per token.
	assert.Assert(t, elapsed < 3*time.Second)
}
