package relay

import (
	"encoding/json"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	code   units.Code
	// after is sent as Retry-After; 0 sends none.
	after clock.Span
	// closes ends the connection after the answer.
	closes bool
}

// Refusals that are always the same.
var (
	noConfig   = &refusal{status: http.StatusServiceUnavailable, code: units.StoreUnavailable, after: clock.Second}
	staleKeys  = &refusal{status: http.StatusServiceUnavailable, code: units.Isolated, after: 300 * clock.Millisecond, closes: true}
	noRoute    = &refusal{status: http.StatusNotFound, code: units.ServiceNotFound}
	badKey     = &refusal{status: http.StatusUnauthorized, code: units.InvalidKey}
	badBody    = &refusal{status: http.StatusBadRequest, code: units.InvalidRequest, closes: true}
	largeInput = &refusal{status: http.StatusRequestEntityTooLarge, code: units.BodyTooLarge, closes: true}
	noRoom     = &refusal{status: http.StatusServiceUnavailable, code: units.QueueFull, after: roomRetry, closes: true}
	suspected  = &refusal{status: http.StatusServiceUnavailable, code: units.CrashSuspect, after: clock.Minute}
	timedOut   = &refusal{status: http.StatusGatewayTimeout, code: units.UpstreamTimeout}
	broken     = &refusal{status: http.StatusBadGateway, code: units.UpstreamFailed}
)

type refusalBody struct {
	Code units.Code `json:"code"`
}

// write sends the refusal.
func (p *refusal) write(w http.ResponseWriter, id string) {
	stats.Refuse(p.code)
	h := w.Header()
	clear(h)
	platform.SetRequest(h, id)
	h.Set("Content-Type", "application/json")
	if p.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.after.Seconds(), 'f', 3, 64))
	}
	if p.closes {
		h.Set("Connection", "close")
	}
	data, err := json.Marshal(refusalBody{p.code})
	if err != nil {
		klog.Errorf("relay: encode a refusal: %v", err)
	}
	w.WriteHeader(p.status)
	if _, err := w.Write(data); err != nil {
		stats.Event("refusals_not_sent")
	}
}
