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

// exchange is one request of a caller with its answer, before it is known what it
// asks for.
type exchange struct {
	writer  *writer
	request *http.Request
	arrived clock.Time
	started time.Time
	caller  Caller
	key     KeyHash
	// token is the key itself, to keep it out of what an upstream sees.
	token string
}

type exchangeKey struct{}

func exchangeOf(ctx context.Context) *exchange { return ctx.Value(exchangeKey{}).(*exchange) }

// publicHandler returns the handler of the callers' interface.
func (s *Server) publicHandler() (http.Handler, error) {
	api, err := llmapi.NewServer(struct{}{}, &models{server: s}, &keys{server: s},
		llmapi.WithErrorHandler(apiError),
		llmapi.WithNotFound(notFound),
		llmapi.WithMethodNotAllowed(notAllowed),
	)
	if err != nil {
		return nil, fmt.Errorf("callers' interface: %w", err)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.admit(api, newWriter(w, s.options.Settings.Limits.WriteTimeout), r)
	}), nil
}

// admit handles a request if there is a place for it.
func (s *Server) admit(api http.Handler, w *writer, r *http.Request) {
	w.arm()
	if s.leaving.Load() {
		// The caller's next request has to reach another gateway.
		w.Header().Set("Connection", "close")
	}
	if p := s.enter(); p != nil {
		p.write(w)
		return
	}
	defer s.running.leave()
	if r.ContentLength != 0 {
		// Without a body the limit would look like a caller that has gone.
		_ = w.controller.SetReadDeadline(time.Now().Add(s.options.Settings.Limits.BodyTimeout.Duration()))
	}
	x := &exchange{writer: w, request: r, arrived: s.clock.Now(), started: time.Now()}
	if strings.HasPrefix(r.URL.Path, servicePrefix) {
		if err := s.call(r.Context(), x); err != nil {
			requestProblem(err).write(w)
		}
		return
	}
	api.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
}

// enter takes a place for a new request.
func (s *Server) enter() *Problem {
	if f := s.options.AdmissionCheck; f != nil {
		if p := f(); p != nil {
			return p
		}
	}
	return s.running.enter()
}

// apiError answers with errors of the generated server and of the handlers.
func apiError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	requestProblem(err).write(w)
}

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
		return problem(units.InvalidKey, "the key is missing or not valid")
	case errors.As(err, &media):
		p = problem(units.InvalidRequest, "the content type must be application/json")
		p.Status = http.StatusUnsupportedMediaType
		return p
	default:
		return problem(units.InvalidRequest, "the request is not valid: "+err.Error())
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	p := problem(units.InvalidRequest, "there is no path "+r.URL.Path)
	p.Status = http.StatusNotFound
	p.write(w)
}

func notAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	p := problem(units.InvalidRequest, "the path does not take the method "+r.Method)
	p.Status = http.StatusMethodNotAllowed
	p.write(w)
}
