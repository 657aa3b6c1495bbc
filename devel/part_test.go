package devel_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/tree"
)

// crashMarker is the text in a prompt that crashes the engines.
const crashMarker = "crash-now"

// startCrashingFleet starts a fleet whose engines crash on crashMarker.
func startCrashingFleet(t *testing.T, gateways, engines int) *devel.Fleet {
	t.Helper()
	f := startFleet(t, func(o *devel.Options) {
		o.GatewayCount, o.EngineCount, o.ServiceCount = gateways, engines, 0
		o.EngineOptions.CrashMarker = crashMarker
	})
	writeTeam(t, f, &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 100_000, Burst: 100_000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
		Models:    []tree.Model{{ID: "m", Bytes: 1 << 30}},
	}, 0)
	waitFor(t, "fleet is ready", f.Ready)
	for i := range f.Gateways {
		waitFor(t, "key works", func() bool { return sendMessages(t, f, i, "shared", fmt.Sprint("own-", i)) == http.StatusOK })
	}
	return f
}

// sendMessages sends a chat request with the messages to a gateway and returns the status.
func sendMessages(t *testing.T, f *devel.Fleet, gateway int, messages ...string) int {
	list := ""
	for i, m := range messages {
		if i > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"role":"user","content":%q}`, m)
	}
	url := "http://" + f.Gateways[gateway].Gate().Addr().String() + "/v1/chat/completions"
	status, _, _ := post(t, url, "secret-key", `{"model":"m","messages":[`+list+`],"max_tokens":5}`)
	return status
}

// crashes returns the number of engines' crashes.
func crashes(f *devel.Fleet) int64 {
	n := int64(0)
	for _, e := range f.Engines {
		n += e.Counts().Crashes
	}
	return n
}

// Guards against a message that crashes one engine after another, in requests at all gateways that are
// otherwise all different, while sound requests with the same first message are served.
func TestMessageThatCrashesEnginesIsStopped(t *testing.T) {
	f := startCrashingFleet(t, 3, 8)
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() { sendMessages(t, f, i%3, "shared", crashMarker, fmt.Sprint("own-bad-", i)) })
	}
	group.Wait()
	for i := range 12 {
		sendMessages(t, f, i%3, "shared", crashMarker, fmt.Sprint("own-late-", i))
	}
	assert.Assert(t, crashes(f) <= 3, "%d engines crashed", crashes(f))
	for i := range 12 {
		assert.Equal(t, sendMessages(t, f, i%3, "shared", fmt.Sprint("own-good-", i)), http.StatusOK)
	}
}
