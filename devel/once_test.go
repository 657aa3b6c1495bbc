package devel_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/devel"
	"github.com/magnolialever/magnolialever/fakes/plain"
	"github.com/magnolialever/magnolialever/tree"
)

// startBookingFleet starts a fleet with one plain service and no engines.
func startBookingFleet(t *testing.T) *devel.Fleet {
	t.Helper()
	f := startFleet(t, func(o *devel.Options) { o.EngineCount = 0 })
	v := &tree.Team{
		Customers: []tree.Customer{{ID: "court", Rate: 1000, Burst: 1000}},
		Keys:      []tree.Key{{ID: "k1", Hash: tree.HashSecret("secret-key"), Customer: "court"}},
		Services:  []tree.Service{{ID: "booking"}},
	}
	writeTeam(t, f, v, 0)
	waitFor(t, "fleet is ready", f.Ready)
	for i := range f.Gateways {
		waitFor(t, "key works", func() bool { return book(t, f, i, "", "probe").status == http.StatusOK })
	}
	return f
}

// bookResponse is the answer to a booking.
type bookResponse struct {
	status    int
	body      string
	runStatus string
}

// book books over a gateway; the service counts the runs by name.
func book(t *testing.T, f *devel.Fleet, gateway int, key, name string) bookResponse {
	t.Helper()
	return bookWithBody(t, f, gateway, key, name, name)
}

// bookWithBody books with a body, which the answer repeats.
func bookWithBody(t *testing.T, f *devel.Fleet, gateway int, key, name, body string) bookResponse {
	t.Helper()
	url := "http://" + f.Gateways[gateway].Gate().Addr().String() + "/svc/booking/interpreter"
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer secret-key")
	r.Header.Set(plain.CallHeader, name)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return bookResponse{res.StatusCode, string(b), res.Header.Get("X-Run")}
}

// Guards against a booking that runs twice when it is repeated over another gateway,
// at the same time, or after the gateway that ran it has stopped.
func TestBookingRunsOnce(t *testing.T) {
	f := startBookingFleet(t)
	first := book(t, f, 0, "a", "first")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, book(t, f, 1, "a", "first"), first)
	other := book(t, f, 1, "a", "second")
	assert.Equal(t, other.status, http.StatusBadRequest, other.body)

	f.Services[0].Update(func(p *plain.Faults) { p.DelayMillis = 100 * clock.Millisecond })
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			a := book(t, f, i%2, "b", "both")
			if a.status != http.StatusOK && (a.status != http.StatusConflict || a.runStatus != "may-have-run") {
				t.Error(a)
			}
		})
	}
	group.Wait()
	both := book(t, f, 0, "b", "both")
	assert.Equal(t, both.status, http.StatusOK, both.body)

	assert.NilError(t, f.StopProcess("gateway gateway0"))
	assert.Equal(t, book(t, f, 1, "a", "first"), first)
	assert.Equal(t, book(t, f, 1, "b", "both"), both)
	for _, name := range []string{"first", "both"} {
		assert.Equal(t, f.Services[0].Runs(name), 1, name)
	}
	assert.Equal(t, f.Services[0].Runs("second"), 0)
}

// Guards against a repeated booking whose answer the service or the store lost: the
// second must not run, and the third gets the answer that only the agent has.
func TestBookingLostResponse(t *testing.T) {
	f := startBookingFleet(t)
	f.Services[0].Update(func(p *plain.Faults) { p.LoseAnswers = 1 })
	lost := book(t, f, 0, "a", "lost")
	assert.Equal(t, lost.status, http.StatusBadGateway, lost.body)
	assert.Equal(t, lost.runStatus, "may-have-run")
	again := book(t, f, 1, "a", "lost")
	assert.Equal(t, again.status, http.StatusConflict, again.body)
	assert.Equal(t, again.runStatus, "may-have-run")
	assert.Equal(t, f.Services[0].Runs("lost"), 1)

	f.Services[0].Update(func(p *plain.Faults) { p.DelayMillis = 200 * clock.Millisecond })
	end := make(chan bookResponse, 1)
	go func() { end <- book(t, f, 0, "b", "outage") }()
	waitFor(t, "booking runs", func() bool { return f.Services[0].Runs("outage") == 1 })
	f.Store.SetOutage(true)
	first := <-end
	assert.Equal(t, first.status, http.StatusOK, first.body)
	time.Sleep(100 * time.Millisecond)
	f.Store.SetOutage(false)
	assert.NilError(t, f.StopProcess("gateway gateway0"))
	waitFor(t, "agent has the answer", func() bool { return book(t, f, 1, "b", "outage") == first })
	assert.Equal(t, f.Services[0].Runs("outage"), 1)
}

// Guards against a booking that runs, or is said to have run, without a record.
func TestBookingStoreOutage(t *testing.T) {
	f := startBookingFleet(t)
	f.Store.SetOutage(true)
	a := book(t, f, 0, "a", "refused")
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	assert.Equal(t, a.runStatus, "not-run")
	assert.Equal(t, f.Services[0].Runs("refused"), 0)
	f.Store.SetOutage(false)
	waitFor(t, "store is back", func() bool { return book(t, f, 1, "a", "refused").status == http.StatusOK })
	assert.Equal(t, f.Services[0].Runs("refused"), 1)
}

// Guards against a repeated booking that gets a part of its answer because the whole
// was too large for the store (900 KB) or for the gateway (2 MB).
func TestBookingLargeResponse(t *testing.T) {
	f := startBookingFleet(t)
	for name, size := range map[string]int{"small": 600 << 10, "large": 900 << 10, "huge": 2 << 20} {
		body := strings.Repeat("x", size)
		first := bookWithBody(t, f, 0, name, name, body)
		assert.Equal(t, first.status, http.StatusOK)
		assert.Assert(t, strings.Contains(first.body, body))
		// Until the record is written, the agent may still have the whole answer.
		waitFor(t, "record is written", func() bool {
			again := bookWithBody(t, f, 1, name, name, body)
			if again.status == http.StatusOK {
				assert.Assert(t, again == first)
				return name == "small"
			}
			assert.Equal(t, again.status, http.StatusConflict)
			return strings.Contains(again.body, "too large to be stored")
		})
		assert.Equal(t, f.Services[0].Runs(name), 1)
	}
}
