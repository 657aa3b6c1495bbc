package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

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
func (m *models) CreateChatCompletion(ctx context.Context, req llmapi.CreateChatCompletionReq, params llmapi.CreateChatCompletionParams, _ http.ResponseWriter) error {
	return m.generate(ctx, req, generation{class: string(params.XClass.Value), answers: true})
}

// CreateCompletion implements llmapi.RawHandler.
func (m *models) CreateCompletion(ctx context.Context, req llmapi.CreateCompletionReq, params llmapi.CreateCompletionParams, _ http.ResponseWriter) error {
	return m.generate(ctx, req, generation{class: string(params.XClass.Value), answers: true})
}

// CreateEmbedding implements llmapi.RawHandler.
func (m *models) CreateEmbedding(ctx context.Context, req llmapi.CreateEmbeddingReq, params llmapi.CreateEmbeddingParams, _ http.ResponseWriter) error {
	return m.generate(ctx, req, generation{class: string(params.XClass.Value)})
}

// GetDeferred implements llmapi.RawHandler.
func (m *models) GetDeferred(context.Context, llmapi.GetDeferredParams, http.ResponseWriter) error {
	p := problem(units.InvalidRequest, "there is no deferred work with this id")
	p.Status = http.StatusNotFound
	return p
}

// ListModels implements llmapi.RawHandler.
func (m *models) ListModels(ctx context.Context, w http.ResponseWriter) error {
	x := exchangeOf(ctx)
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("object", func(e *jx.Encoder) { e.Str("list") })
		e.Field("data", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, n := range (*m.server.directory.Load()).Models(x.caller.Customer) {
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

// generation is what the operation adds to the body.
type generation struct {
	class string
	// answers is set when the model generates tokens.
	answers bool
}

func (m *models) generate(ctx context.Context, body io.Reader, g generation) error {
	x := exchangeOf(ctx)
	data, p := m.server.readBody(x, body)
	if p != nil {
		return p
	}
	f, p := scan(data)
	if p != nil {
		return p
	}
	if !(*m.server.directory.Load()).Model(x.caller.Customer, units.ModelID(f.model)) {
		p := problem(units.ModelNotFound, "there is no model "+strconv.Quote(f.model))
		p.Param = fieldModel
		return p
	}
	class := x.caller.Class
	if g.class != "" {
		class, _ = units.ParseClass(g.class) // the generated server has checked it
	}
	q := &request{
		query: Query{
			Customer:    x.caller.Customer,
			Target:      f.model,
			Class:       class,
			Cost:        f.cost(len(data), g.answers),
			Fingerprint: fingerprint(x.caller.Customer, f.model, data),
			Deadline:    m.server.deadline(x.arrived, class),
			Idempotent:  true,
		},
		kind:   kindModel,
		body:   data,
		stream: f.stream && g.answers,
	}
	return m.server.serve(ctx, x, q)
}

// serve runs the request and writes its answer. The error is for the caller, who
// has received nothing yet.
func (s *Server) serve(ctx context.Context, x *exchange, q *request) error {
	ctx, q.cancel = context.WithCancelCause(ctx)
	defer q.cancel(nil)
	q.caller = x.caller
	q.arrived = x.arrived
	q.method = x.request.Method
	q.path = x.request.URL.RequestURI()
	q.header = passRequest(x.request.Header)
	s.running.add(q)
	defer s.running.remove(q)
	a := &answer{writer: x.writer, arrived: time.Now(), resumable: q.stream}
	r := &relay{server: s, request: q, answer: a}
	p := r.run(ctx)
	if p == nil {
		return nil
	}
	if !a.sent {
		return p
	}
	a.abort(p)
	return nil
}
