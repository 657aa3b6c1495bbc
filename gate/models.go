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

// models handles requests for models and adapters.
type models struct {
	server *Server
}

var _ llmapi.RawHandler = (*models)(nil)

// CreateChatCompletion implements llmapi.RawHandler.
func (m *models) CreateChatCompletion(ctx context.Context, req llmapi.CreateChatCompletionReq, params llmapi.CreateChatCompletionParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// CreateCompletion implements llmapi.RawHandler.
func (m *models) CreateCompletion(ctx context.Context, req llmapi.CreateCompletionReq, params llmapi.CreateCompletionParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// CreateEmbedding implements llmapi.RawHandler.
func (m *models) CreateEmbedding(ctx context.Context, req llmapi.CreateEmbeddingReq, params llmapi.CreateEmbeddingParams, w http.ResponseWriter) error {
	return m.generate(ctx, w, req, string(params.XClass.Value), params.Prefer.Value)
}

// GetDeferred implements llmapi.RawHandler.
func (m *models) GetDeferred(ctx context.Context, params llmapi.GetDeferredParams, _ http.ResponseWriter) error {
	work := m.server.options.Jobs
	if work == nil {
		return problem(units.StoreUnavailable, "there is no store for deferred work")
	}
	s, err := work.Get(ctx, exchangeOf(ctx).caller.Customer, params.ID)
	if err != nil {
		return err
	}
	return exchangeOf(ctx).replay(s)
}

// ListModels implements llmapi.RawHandler.
func (m *models) ListModels(ctx context.Context, w http.ResponseWriter) error {
	x := exchangeOf(ctx)
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("object", func(e *jx.Encoder) { e.Str("list") })
		e.Field("data", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, n := range m.server.snapshot().Models(x.caller.Customer) {
					encodeModel(e, n)
				}
			})
		})
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Bytes())))
	_, err := w.Write(e.Bytes())
	return ignoreGone(err)
}

func encodeModel(e *jx.Encoder, m units.ModelID) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(string(m)) })
		e.Field("object", func(e *jx.Encoder) { e.Str(kindModel) })
		e.Field("created", func(e *jx.Encoder) { e.Int64(0) })
		e.Field("owned_by", func(e *jx.Encoder) { e.Str("magnolialever") })
	})
}

// ignoreGone drops the error of a write: a caller that has gone gets no answer.
func ignoreGone(error) error { return nil }

// respondAsync is the preference that defers work (RFC 7240).
const respondAsync = "respond-async"

func (m *models) generate(ctx context.Context, w http.ResponseWriter, from io.Reader, className, prefer string) error {
	x := exchangeOf(ctx)
	class, p := classOf(x, className)
	if p != nil {
		return p
	}
	b, p := m.server.readBody(x, from)
	if p != nil {
		return p
	}
	defer m.server.release(b)
	path := x.request.URL.Path
	q, p := m.server.generation(x.caller, class, path, b.data)
	if p != nil {
		return p
	}
	if class == units.Night && strings.Contains(prefer, respondAsync) {
		return m.submit(ctx, w, q, x)
	}
	return m.server.serve(ctx, x, q)
}

// generation returns the request for a body, checked.
func (s *Server) generation(c Caller, class units.Class, path string, data []byte) (*request, *Problem) {
	f, p := scan(data)
	if p != nil {
		return nil, p
	}
	if !s.snapshot().Model(c.Customer, units.ModelID(f.model)) {
		p := problem(units.ModelNotFound, "there is no model "+strconv.Quote(f.model))
		p.Param = fieldModel
		return nil, p
	}
	answers := !strings.HasPrefix(path, "/v1/embeddings")
	now := s.clock.Now()
	return &request{
		query: RequestInfo{
			Customer:     c.Customer,
			Target:       f.model,
			Class:        class,
			Cost:         f.cost(len(data), answers),
			Fingerprint:  fingerprint(c.Customer, f.model, data),
			PrefixHashes: f.prefix,
			Deadline:     s.deadline(now, class),
			Idempotent:   true,
		},
		caller: c,
		kind:   kindModel,
		method: http.MethodPost,
		path:   path,
		body:   data,
		stream: f.stream && answers,
	}, nil
}

// submit stores a request as deferred work.
func (m *models) submit(ctx context.Context, w http.ResponseWriter, q *request, x *exchange) error {
	work := m.server.options.Jobs
	if work == nil {
		return problem(units.StoreUnavailable, "there is no store for deferred work")
	}
	j := Job{Caller: q.caller, Method: q.method, Path: q.path, Header: passRequest(x.request.Header, x.token), Body: q.body}
	id, err := work.Submit(ctx, j)
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
	return ignoreGone(err)
}
