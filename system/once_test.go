package system_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/plain"
)

// Guards against a booking that runs twice when its caller repeats it with the same idempotency key,
// at another gateway or after the gateway that handled it was killed.
func TestIdempotentBooking(t *testing.T) {
	f := startFleet(t, defaultOptions())
	header := map[string]string{"Idempotency-Key": "b-1", "X-Call-Id": "booking-1"}
	a, err := f.gateways[0].request(http.MethodPost, "/svc/booking/book", `{"case":7}`, header)
	assert.NilError(t, err)
	assert.Equal(t, a.status, http.StatusOK, a.body)
	b, err := f.gateways[1].request(http.MethodPost, "/svc/booking/book", `{"case":7}`, header)
	assert.NilError(t, err)
	assert.Equal(t, b.status, http.StatusOK, b.body)
	assert.Equal(t, a.body, b.body)
	assert.Equal(t, f.services[0].Runs("booking-1"), 1)

	header = map[string]string{"Idempotency-Key": "b-2", "X-Call-Id": "booking-2"}
	f.services[0].Update(delayResponses)
	callResult := make(chan error, 1)
	go func() {
		_, err := f.gateways[0].request(http.MethodPost, "/svc/booking/book", `{"case":8}`, header)
		callResult <- err
	}()
	f.eventually(propagationTimeout, "booking runs", func() bool { return f.services[0].Runs("booking-2") == 1 })
	f.gateways[0].kill()
	assert.Assert(t, <-callResult != nil)
	for range 5 {
		a, err = f.gateways[1].request(http.MethodPost, "/svc/booking/book", `{"case":8}`, header)
		assert.NilError(t, err)
		assert.Assert(t, a.status == http.StatusOK || a.header.Get("X-Run") == "may-have-run", a.body)
		time.Sleep(500 * time.Millisecond)
	}
	assert.Equal(t, f.services[0].Runs("booking-2"), 1)
}

// delayResponses makes a plain service respond after 1.5 s, so that a test can act during a call.
func delayResponses(f *plain.Faults) { f.DelayMillis = 1500 }
