package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/jx"

	"github.com/magnolialever/magnolialever/llmapi"
	"github.com/magnolialever/magnolialever/units"
)

// modelHandler handles requests for models and adapters.
type modelHandler struct {
	server *Server
}

var _ llmapi.RawHandler = (*modelHandler)(nil)

// CreateChatCompletion implements llmapi.RawHandler.
func (m *modelHandler) CreateChatCompletion(ctx context.Context, req llmapi.CreateChatCompletionReq, params llmapi.CreateChatCompletionParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// CreateCompletion implements llmapi.RawHandler.
func (m *modelHandler) CreateCompletion(ctx context.Context, req llmapi.CreateCompletionReq, params llmapi.CreateCompletionParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// CreateEmbedding implements llmapi.RawHandler.
func (m *modelHandler) CreateEmbedding(ctx context.Context, req llmapi.CreateEmbeddingReq, params llmapi.CreateEmbeddingParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// GetDeferred implements llmapi.RawHandler.
func (m *modelHandler) GetDeferred(ctx context.Context, params llmapi.GetDeferredParams, _ http.ResponseWriter) error {
	jobs := m.server.options.Jobs
	if jobs == nil {
		return newProblem(units.StoreUnavailable, "this gateway stores no deferred jobs")
	}
	s, err := jobs.Get(ctx, exchangeOf(ctx).caller.Customer, params.ID)
	if err != nil {
		return err
	}
	return exchangeOf(ctx).replay(s)
}

// ListModels implements llmapi.RawHandler.
func (m *modelHandler) ListModels(ctx context.Context, w http.ResponseWriter) error {
	x := exchangeOf(ctx)
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("object", func(e *jx.Encoder) { e.Str("list") })
		e.Field("data", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, n := range m.server.currentDirectory().Models(x.caller.Customer) {
					encodeModel(e, n)
				}
			})
		})
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Bytes())))
	_, err := w.Write(e.Bytes())
	return ignoreWriteError(err)
}

// encodeModel encodes a model as OpenAI's model object.
func encodeModel(e *jx.Encoder, m units.ModelID) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(string(m)) })
		e.Field("object", func(e *jx.Encoder) { e.Str(kindModel) })
		e.Field("created", func(e *jx.Encoder) { e.Int64(0) })
		e.Field("owned_by", func(e *jx.Encoder) { e.Str("magnolialever") })
	})
}

// ignoreWriteError drops the error of a response write: the caller has disconnected and can get no
// other response.
func ignoreWriteError(error) error { return nil }

// respondAsync is the value of the header Prefer that defers a request (RFC 7240).
const respondAsync = "respond-async"

// generate handles a request to an endpoint of models; src is its body.
func (m *modelHandler) generate(ctx context.Context, w http.ResponseWriter, src io.Reader, className, prefer string) error {
	x := exchangeOf(ctx)
	class, p := requestClass(x, className)
	if p != nil {
		return p
	}
	b, p := m.server.readBody(x, src)
	if p != nil {
		return p
	}
	defer m.server.releaseBody(b)
	path := x.request.URL.Path
	q, p := m.server.newModelRequest(x.caller, class, path, b.data)
	if p != nil {
		return p
	}
	if class == units.Night && strings.Contains(prefer, respondAsync) {
		return m.submitJob(ctx, w, q, x)
	}
	return m.server.serve(ctx, x, q)
}

// newModelRequest parses and validates a request body. The path is that of the API endpoint.
func (s *Server) newModelRequest(c Caller, class units.Class, path string, data []byte) (*request, *Problem) {
	f, p := parseBody(data)
	if p != nil {
		return nil, p
	}
	if !s.currentDirectory().Model(c.Customer, units.ModelID(f.model)) {
		p := newProblem(units.ModelNotFound, "unknown model "+strconv.Quote(f.model))
		p.Param = fieldModel
		return nil, p
	}
	generates := !strings.HasPrefix(path, "/v1/embeddings")
	now := s.clock.Now()
	return &request{
		info: RequestInfo{
			Customer:     c.Customer,
			Target:       f.model,
			Class:        class,
			Cost:         f.cost(len(data), generates),
			Fingerprint:  fingerprint(c.Customer, f.model, data),
			PrefixHashes: f.prefixHashes,
			Prompt:       promptOf(units.ModelID(f.model), f.partHashes),
			Deadline:     s.startDeadline(now, class),
			Idempotent:   true,
		},
		caller:     c,
		targetKind: kindModel,
		method:     http.MethodPost,
		path:       path,
		body:       data,
		stream:     f.stream && generates,
	}, nil
}

// submitJob stores a request as a deferred job and responds with its ID.
func (m *modelHandler) submitJob(ctx context.Context, w http.ResponseWriter, q *request, x *exchange) error {
	jobs := m.server.options.Jobs
	if jobs == nil {
		return newProblem(units.StoreUnavailable, "this gateway stores no deferred jobs")
	}
	j := Job{Caller: q.caller, Method: q.method, Path: q.path, Header: forwardedHeaders(x.request.Header, x.apiKey), Body: q.body}
	id, err := jobs.Submit(ctx, j)
	if err != nil {
		return err
	}
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(id) })
		e.Field("object", func(e *jx.Encoder) { e.Str("deferred") })
		e.Field("status", func(e *jx.Encoder) { e.Str("queued") })
	})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Preference-Applied", respondAsync)
	h.Set("Location", "/v1/deferred/"+id)
	w.WriteHeader(http.StatusAccepted)
	_, err = w.Write(e.Bytes())
	return ignoreWriteError(err)
}
