package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// format builds the messages of one answer.
type format struct {
	id      string
	object  string
	chunk   string
	chat    bool
	created int64
	model   units.ModelID
	reason  string
}

func (f *format) usage(q *sequence) *usage {
	u := &usage{PromptTokens: CountTokens(q.prompt), CompletionTokens: q.total - q.first}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = q.cached
	return u
}

func (f *format) answer(object string, c choice) answer {
	return answer{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}}
}

func (f *format) whole(text string, u *usage) answer {
	c := choice{FinishReason: &f.reason}
	if f.chat {
		c.Message = &delta{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	a := f.answer(f.object, c)
	a.Usage = u
	return a
}

func (f *format) token(text string) answer {
	if f.chat {
		return f.answer(f.chunk, choice{Delta: &delta{Content: &text}})
	}
	return f.answer(f.chunk, choice{Text: &text})
}

func (f *format) role() answer {
	empty := ""
	return f.answer(f.chunk, choice{Delta: &delta{Role: "assistant", Content: &empty}})
}

func (f *format) finish() answer {
	c := choice{FinishReason: &f.reason}
	if f.chat {
		c.Delta = &delta{}
	} else {
		empty := ""
		c.Text = &empty
	}
	return f.answer(f.chunk, c)
}

// sink writes server-sent events and remembers the first failure.
type sink struct {
	w      http.ResponseWriter
	failed bool
}

func (k *sink) send(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		k.failed = true
		return
	}
	k.raw(b)
}

func (k *sink) raw(b []byte) {
	if k.failed {
		return
	}
	if _, err := fmt.Fprintf(k.w, "data: %s\n\n", b); err != nil {
		k.failed = true
		return
	}
	k.failed = http.NewResponseController(k.w).Flush() != nil
}

// stream sends each token as one chunk.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, q *sequence, f *format, includeUsage bool) {
	cut := -1
	if s.take(func(f *Faults) *int { return &f.CutStreams }) {
		cut = s.faults.Get().CutAfter
	}
	k := &sink{w: w}
	sent := q.first
	for !k.failed {
		p, ok := s.wait(ctx, q)
		if !ok {
			return
		}
		if sent == q.first {
			if p.err != nil {
				errRun(p.err).write(w)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if f.chat {
				k.send(f.role())
			}
		}
		for ; sent < p.next; sent++ {
			if sent-q.first == cut {
				serve.Abort()
			}
			k.send(f.token(ResponseToken(q.target, q.prompt, sent)))
		}
		if p.err != nil {
			k.send(errRun(p.err).body)
			return
		}
		if p.ended {
			break
		}
	}
	k.send(f.finish())
	if includeUsage {
		a := f.answer(f.chunk, choice{})
		a.Choices = []choice{}
		a.Usage = f.usage(q)
		k.send(a)
	}
	k.raw([]byte("[DONE]"))
}
