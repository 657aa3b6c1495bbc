package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Guards against a sound request that many callers send alike and that is refused for ten minutes, as two of the upstreams
// that ran it ended at once for another reason, though a third one answers it after that.
func TestCommonRequestIsServedAfterLossOfTwoUpstreams(t *testing.T) {
	lost := make(chan struct{})
	all := make([]*fakes.Replica, 3)
	for i := range all {
		all[i] = startReplica(t, fmt.Sprint("r", i), func(r *fakes.Request) {
			<-lost
			if i < 2 {
				all[i].Crash()
				return
			}
			time.Sleep(100 * time.Millisecond)
			r.Respond("200 OK", "done")
		})
	}
	g := newPatientGateway(t, fakes.AppService, all...)
	results := make(chan result, 9)
	for range cap(results) {
		go func() { results <- g.get("/read/a") }()
	}
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, len(all[0].Requests()) > 0 && len(all[1].Requests()) > 0 && len(all[2].Requests()) > 0)
	close(lost)
	time.Sleep(50 * time.Millisecond)
	g.server.SetView(newPatientGateway(t, fakes.AppService, all[2]).snapshot)
	served := 0
	for range cap(results) {
		if got := <-results; got.status == http.StatusOK {
			served++
		}
	}
	got := g.get("/read/a")
	assert.Equal(t, got.status, http.StatusOK, "%d of %d served, then %s", served, cap(results), got.body)
}
