package gate

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/llmapi"
	"github.com/magnolialever/magnolialever/units"
)

// exchange is an HTTP request of a caller with its response writer, before the request is parsed.
type exchange struct {
	writer  *flushWriter
	request *http.Request
	// receivedAt and startTime are the time of arrival, in the clock of the server and as time.Time.
	receivedAt clock.Time
	startTime  time.Time
	caller     Caller
	keyHash    KeyHash
	// apiKey is the key itself, which must not be forwarded to upstreams; keyHash is its hash.
	apiKey string
}

type exchangeKey struct{}

// exchangeOf returns the exchange that admit has put into the context.
func exchangeOf(ctx context.Context) *exchange { return ctx.Value(exchangeKey{}).(*exchange) }

// publicHandler returns the HTTP handler for callers.
func (s *Server) publicHandler() (http.Handler, error) {
	api, err := llmapi.NewServer(struct{}{}, &modelHandler{server: s}, &keyHandler{server: s},
		llmapi.WithErrorHandler(apiError),
		llmapi.WithNotFound(notFound),
		llmapi.WithMethodNotAllowed(notAllowed),
	)
	if err != nil {
		return nil, fmt.Errorf("create API server: %w", err)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := newFlushWriter(w, s.options.Settings.Limits.WriteTimeout)
		f.stopping = s.draining.Load
		s.admit(api, f, r)
	}), nil
}

// admit handles a request, or refuses it when the gateway accepts no more.
func (s *Server) admit(api http.Handler, w *flushWriter, r *http.Request) {
	w.setWriteDeadline()
	w.request = r
	if p := s.acquireSlot(); p != nil {
		p.write(w)
		return
	}
	defer s.inFlight.release()
	if r.ContentLength != 0 {
		// Without a body, the net/http server already reads from the connection to detect a
		// disconnect, and would take the deadline for one.
		_ = w.controller.SetReadDeadline(time.Now().Add(s.options.Settings.Limits.BodyTimeout.Duration()))
	}
	x := &exchange{writer: w, request: r, receivedAt: s.clock.Now(), startTime: time.Now()}
	if strings.HasPrefix(r.URL.Path, servicePrefix) {
		if err := s.serveService(r.Context(), x); err != nil {
			requestProblem(err).write(w)
		}
		return
	}
	api.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
}

// acquireSlot reserves a slot for a new request, which inFlight.release frees.
func (s *Server) acquireSlot() *Problem {
	if f := s.options.AdmissionCheck; f != nil {
		if p := f(); p != nil {
			return p
		}
	}
	return s.inFlight.acquire()
}

// apiError sends the errors of the generated server and of the handlers.
func apiError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	// The generated server passes a ResponseWriter of its own.
	exchangeOf(ctx).writer.endBody()
	requestProblem(err).write(w)
}

// requestProblem converts an error of a handler or of the generated server to a Problem. Errors of
// unknown kind are validation errors.
func requestProblem(err error) *Problem {
	var (
		p        *Problem
		security *ogenerrors.SecurityError
		media    *validate.InvalidContentTypeError
	)
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &security):
		return newProblem(units.InvalidKey, "the API key is missing or invalid")
	case errors.As(err, &media):
		p = newProblem(units.InvalidRequest, "the content type must be application/json")
		p.Status = http.StatusUnsupportedMediaType
		return p
	default:
		return newProblem(units.InvalidRequest, "invalid request: "+err.Error())
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	p := newProblem(units.InvalidRequest, "unknown path "+r.URL.Path)
	p.Status = http.StatusNotFound
	p.write(w)
}

func notAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	p := newProblem(units.InvalidRequest, "the path does not support the method "+r.Method)
	p.Status = http.StatusMethodNotAllowed
	p.write(w)
}
