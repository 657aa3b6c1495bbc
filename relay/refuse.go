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

// refusal is an error response that the gateway itself sends.
type refusal struct {
	status int
	code   units.Code
	// retryAfter is sent as Retry-After in seconds; 0 omits the header.
	retryAfter clock.Span
	// closeConnection closes the caller's connection after the response.
	closeConnection bool
}

// Refusals with fixed contents.
var (
	noConfig      = &refusal{status: http.StatusServiceUnavailable, code: units.StoreUnavailable, retryAfter: clock.Second}
	keysNotUsable = &refusal{status: http.StatusServiceUnavailable, code: units.Isolated, retryAfter: 300 * clock.Millisecond, closeConnection: true}
	noRoute       = &refusal{status: http.StatusNotFound, code: units.ServiceNotFound}
	invalidKey    = &refusal{status: http.StatusUnauthorized, code: units.InvalidKey}
	// A newer configuration may have what an unknown model names, so that the caller may come back.
	unknownTarget      = &refusal{status: http.StatusServiceUnavailable, code: units.ModelNotFound, retryAfter: clock.Second}
	invalidBody        = &refusal{status: http.StatusBadRequest, code: units.InvalidRequest, closeConnection: true}
	bodyTooLarge       = &refusal{status: http.StatusRequestEntityTooLarge, code: units.BodyTooLarge, closeConnection: true}
	bodyBudgetExceeded = &refusal{status: http.StatusServiceUnavailable, code: units.QueueFull, retryAfter: bodyBudgetRetryAfter, closeConnection: true}
	crashSuspect       = &refusal{status: http.StatusServiceUnavailable, code: units.CrashSuspect, retryAfter: clock.Minute}
	upstreamTimeout    = &refusal{status: http.StatusGatewayTimeout, code: units.UpstreamTimeout}
	upstreamFailed     = &refusal{status: http.StatusBadGateway, code: units.UpstreamFailed}
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code units.Code `json:"code"`
}

// write sends the refusal for the request id.
func (p *refusal) write(w http.ResponseWriter, id string) {
	stats.Refuse(p.code)
	h := w.Header()
	clear(h)
	platform.SetRequestID(h, id)
	h.Set("Content-Type", "application/json")
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.closeConnection {
		h.Set("Connection", "close")
	}
	data, err := json.Marshal(refusalBody{p.code})
	if err != nil {
		klog.Errorf("relay: encode refusal body: %v", err)
	}
	w.WriteHeader(p.status)
	if _, err := w.Write(data); err != nil {
		stats.Event("refusals_not_sent")
	}
}
