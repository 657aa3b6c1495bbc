package devel_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
)

// Guards against a planned stop of a gateway that leaves a part of the customers' rate
// without an owner: a request that needs both halves of the burst is answered at once.
func TestStopTransfersRate(t *testing.T) {
	f := startFleet(t, func(o *devel.Options) { o.GateSettings.Limits.DrainDelay = 1000 })
	writeTeam(t, f, &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 400, Burst: 400}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: 1 << 30}},
	}, 0)
	waitFor(t, "fleet is ready", f.Ready)
	url := "http://" + f.Gateways[1].Gate().Addr().String() + "/v1/chat/completions"
	const most = `{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":300}`
	waitFor(t, "burst is full", func() bool { s, _, _ := post(t, url, "secret-key", most); return s == http.StatusOK })
	time.Sleep(1200 * time.Millisecond) // refills what the request has used
	assert.NilError(t, f.StopProcess("gateway gateway0"))
	began := time.Now()
	status, body, _ := post(t, url, "secret-key", most)
	assert.Equal(t, status, http.StatusOK, body)
	took := time.Since(began)
	t.Logf("answered after %v", took)
	// The answer itself takes about 1.6 s at 5 ms a token.
	assert.Assert(t, took < 3*time.Second)
}
