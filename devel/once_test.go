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

// startBookingFleet starts a fleet with one plain service and no engines, and waits until each
// gateway serves requests.
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
		last := bookResponse{}
		waitFor(t, "key works", func() bool {
			r := book(t, f, i, "", "probe")
			if r != last {
				t.Log("gateway", i, r)
			}
			last = r
			return r.status == http.StatusOK
		})
	}
	return f
}

// bookResponse is the response to a booking. runStatus is the header X-Run.
type bookResponse struct {
	status    int
	body      string
	runStatus string
}

// book sends a booking through the gateway with the given index. The service counts the runs for each
// name. An empty idempotency key is not sent.
func book(t *testing.T, f *devel.Fleet, gateway int, key, name string) bookResponse {
	t.Helper()
	return bookWithBody(t, f, gateway, key, name, name)
}

// bookWithBody is like book with a request body, which the response contains.
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

// Checks that a booking runs once if it is repeated through another gateway, concurrently, or after
// the gateway that ran it has stopped. The same key with another request is refused.
func TestBookingRunsOnce(t *testing.T) {
	f := startBookingFleet(t)
	first := book(t, f, 0, "a", "first")
	assert.Equal(t, first.status, http.StatusOK, first.body)
	assert.Equal(t, book(t, f, 1, "a", "first"), first)
	changed := book(t, f, 1, "a", "second")
	assert.Equal(t, changed.status, http.StatusBadRequest, changed.body)

	f.Services[0].Update(func(p *plain.Faults) { p.DelayMillis = 100 * clock.Millisecond })
	var calls sync.WaitGroup
	for i := range 8 {
		calls.Go(func() {
			a := book(t, f, i%2, "b", "both")
			if a.status != http.StatusOK && (a.status != http.StatusConflict || a.runStatus != "may-have-run") {
				t.Error(a)
			}
		})
	}
	calls.Wait()
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

// Checks that a repeated booking does not run again if the service lost the first response, and that
// it gets the first response from the agent if a store outage prevented storing it.
func TestBookingLostResponse(t *testing.T) {
	f := startBookingFleet(t)
	f.Services[0].Update(func(p *plain.Faults) { p.LoseResponses = 1 })
	lost := book(t, f, 0, "a", "lost")
	assert.Equal(t, lost.status, http.StatusBadGateway, lost.body)
	assert.Equal(t, lost.runStatus, "may-have-run")
	repeated := book(t, f, 1, "a", "lost")
	assert.Equal(t, repeated.status, http.StatusConflict, repeated.body)
	assert.Equal(t, repeated.runStatus, "may-have-run")
	assert.Equal(t, f.Services[0].Runs("lost"), 1)

	f.Services[0].Update(func(p *plain.Faults) { p.DelayMillis = 200 * clock.Millisecond })
	response := make(chan bookResponse, 1)
	go func() { response <- book(t, f, 0, "b", "outage") }()
	waitFor(t, "booking runs", func() bool { return f.Services[0].Runs("outage") == 1 })
	f.Store.SetOutage(true)
	first := <-response
	assert.Equal(t, first.status, http.StatusOK, first.body)
	time.Sleep(100 * time.Millisecond)
	f.Store.SetOutage(false)
	assert.NilError(t, f.StopProcess("gateway gateway0"))
	waitFor(t, "response comes from the agent", func() bool { return book(t, f, 1, "b", "outage") == first })
	assert.Equal(t, f.Services[0].Runs("outage"), 1)
}

// Checks that a booking is refused as not run during a store outage, when its record can't be
// written, and that it can be repeated afterwards.
func TestBookingStoreOutage(t *testing.T) {
	f := startBookingFleet(t)
	f.Store.SetOutage(true)
	a := book(t, f, 0, "a", "refused")
	assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
	assert.Equal(t, a.runStatus, "not-run")
	assert.Equal(t, f.Services[0].Runs("refused"), 0)
	f.Store.SetOutage(false)
	waitFor(t, "store is available", func() bool { return book(t, f, 1, "a", "refused").status == http.StatusOK })
	assert.Equal(t, f.Services[0].Runs("refused"), 1)
}

// Checks that a repeated booking gets the whole response or a conflict, never a truncated response. A
// response of 900 KiB is too large for the store and one of 2 MiB too large for the gateway.
func TestBookingLargeResponse(t *testing.T) {
	f := startBookingFleet(t)
	for name, size := range map[string]int{"small": 600 << 10, "large": 900 << 10, "huge": 2 << 20} {
		body := strings.Repeat("x", size)
		first := bookWithBody(t, f, 0, name, name, body)
		assert.Equal(t, first.status, http.StatusOK)
		assert.Assert(t, strings.Contains(first.body, body))
		// Until the record is written, the response may come from the agent, which has all of it.
		waitFor(t, "record is written", func() bool {
			repeated := bookWithBody(t, f, 1, name, name, body)
			if repeated.status == http.StatusOK {
				assert.Assert(t, repeated == first)
				return name == "small"
			}
			assert.Equal(t, repeated.status, http.StatusConflict)
			return strings.Contains(repeated.body, "too large to be stored")
		})
		assert.Equal(t, f.Services[0].Runs(name), 1)
	}
}
