package gate

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-faster/jx"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// Problem is an error response to a caller.
type Problem struct {
	Code    units.Code
	Message string
	// Param is the name of the invalid request field or header, if any.
	Param string
	// MayHaveRun is false only when no upstream has received the request.
	MayHaveRun bool
	// RetryAfter is the delay in milliseconds after which a retry may succeed; 0 when unknown. The
	// header Retry-After has it in seconds, rounded up.
	RetryAfter clock.Span
	// Status overrides the HTTP status of the code when it is not 0.
	Status int
}

// Error returns the code and the message.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Message) }

func newProblem(c units.Code, message string) *Problem {
	return &Problem{Code: c, Message: message}
}

// Headers of error responses, and the values of X-Run.
const (
	headerRun        = "X-Run"
	headerRetryAfter = "Retry-After"

	runHeaderNotRun     = "not-run"
	runHeaderMayHaveRun = "may-have-run"
)

var statusByCode = map[units.Code]int{
	units.InvalidKey:       http.StatusUnauthorized,
	units.KeyWithdrawn:     http.StatusUnauthorized,
	units.ModelNotFound:    http.StatusNotFound,
	units.ServiceNotFound:  http.StatusNotFound,
	units.InvalidRequest:   http.StatusBadRequest,
	units.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	units.RateExceeded:     http.StatusTooManyRequests,
	units.RateUnavailable:  http.StatusServiceUnavailable,
	units.QueueFull:        http.StatusServiceUnavailable,
	units.DeadlineMissed:   http.StatusServiceUnavailable,
	units.ColdLimit:        http.StatusServiceUnavailable,
	units.NoUpstream:       http.StatusServiceUnavailable,
	units.Isolated:         http.StatusServiceUnavailable,
	units.Draining:         http.StatusServiceUnavailable,
	units.StoreUnavailable: http.StatusServiceUnavailable,
	units.CrashSuspect:     http.StatusUnprocessableEntity,
	units.InProgress:       http.StatusConflict,
	units.OutcomeUnknown:   http.StatusConflict,
	units.UpstreamFailed:   http.StatusBadGateway,
	units.UpstreamTimeout:  http.StatusGatewayTimeout,
}

// status returns the HTTP status; 502 for codes without one.
func (p *Problem) status() int {
	if p.Status != 0 {
		return p.Status
	}
	if p.Code == units.Draining && p.MayHaveRun {
		// Callers repeat what gets 503, as it has not run.
		return http.StatusBadGateway
	}
	if s, ok := statusByCode[p.Code]; ok {
		return s
	}
	return http.StatusBadGateway
}

// forCaller returns the problem with a code that callers may see. Codes that are exchanged only
// between agents and gateways become no_upstream, or upstream_failed when the request may have run.
func (p *Problem) forCaller() *Problem {
	if _, ok := statusByCode[p.Code]; ok {
		return p
	}
	q := *p
	q.Code = units.NoUpstream
	if p.MayHaveRun {
		q.Code = units.UpstreamFailed
	}
	return &q
}

// errorType returns the value of the field type in OpenAI's error object.
func (p *Problem) errorType() string {
	switch s := p.status(); {
	case s == http.StatusUnauthorized:
		return "authentication_error"
	case s == http.StatusTooManyRequests:
		return "rate_limit_error"
	case s >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// encode returns the problem as OpenAI's JSON error object.
func (p *Problem) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("error", func(e *jx.Encoder) {
			e.Obj(func(e *jx.Encoder) {
				e.Field("message", func(e *jx.Encoder) { e.Str(p.Message) })
				e.Field("type", func(e *jx.Encoder) { e.Str(p.errorType()) })
				e.Field("code", func(e *jx.Encoder) { e.Str(string(p.Code)) })
				e.Field("param", func(e *jx.Encoder) {
					if p.Param == "" {
						e.Null()
						return
					}
					e.Str(p.Param)
				})
			})
		})
	})
	return e.Bytes()
}

// write sends the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter) {
	p = p.forCaller()
	stats.Refuse(p.Code)
	if f, ok := w.(*flushWriter); ok {
		f.endBody()
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerRun, runHeaderNotRun)
	if p.MayHaveRun {
		h.Set(headerRun, runHeaderMayHaveRun)
	}
	if p.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(int64((p.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	body := p.encode()
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status())
	_, _ = w.Write(body) //nolint:gosec // JSON, escaped by the encoder; the caller may have disconnected
}

// asProblem returns the first Problem in the chain of err. Any other error becomes a failure of the
// upstream that may have run the request.
func asProblem(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return &Problem{Code: units.UpstreamFailed, Message: "the upstream failed", MayHaveRun: true}
}
