package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

// format builds the JSON objects of one response.
type format struct {
	id           string
	object       string
	chunkObject  string
	chat         bool
	created      int64
	model        units.ModelID
	finishReason string
}

func (f *format) usage(q *sequence) *usage {
	u := &usage{PromptTokens: CountTokens(q.prompt), CompletionTokens: q.totalTokens - q.firstToken}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = q.cachedTokens
	return u
}

func (f *format) newCompletion(object string, c choice) completionResponse {
	return completionResponse{ID: f.id, Object: object, Created: f.created, Model: f.model, Choices: []choice{c}}
}

// completion returns the whole response.
func (f *format) completion(text string, u *usage) completionResponse {
	c := choice{FinishReason: &f.finishReason}
	if f.chat {
		c.Message = &delta{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	resp := f.newCompletion(f.object, c)
	resp.Usage = u
	return resp
}

// tokenChunk returns the stream event of one token.
func (f *format) tokenChunk(text string) completionResponse {
	if f.chat {
		return f.newCompletion(f.chunkObject, choice{Delta: &delta{Content: &text}})
	}
	return f.newCompletion(f.chunkObject, choice{Text: &text})
}

// roleChunk returns the first stream event of a chat response.
func (f *format) roleChunk() completionResponse {
	empty := ""
	return f.newCompletion(f.chunkObject, choice{Delta: &delta{Role: "assistant", Content: &empty}})
}

// finishChunk returns the stream event with the finish reason.
func (f *format) finishChunk() completionResponse {
	c := choice{FinishReason: &f.finishReason}
	if f.chat {
		c.Delta = &delta{}
	} else {
		empty := ""
		c.Text = &empty
	}
	return f.newCompletion(f.chunkObject, c)
}

// eventWriter writes server-sent events. After a failure it writes nothing more.
type eventWriter struct {
	w      http.ResponseWriter
	failed bool
}

func (k *eventWriter) send(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		k.failed = true
		return
	}
	k.sendRaw(b)
}

func (k *eventWriter) sendRaw(b []byte) {
	if k.failed {
		return
	}
	if _, err := fmt.Fprintf(k.w, "data: %s\n\n", b); err != nil {
		k.failed = true
		return
	}
	k.failed = http.NewResponseController(k.w).Flush() != nil
}

// streamTokens sends each token as one server-sent event.
func (s *Server) streamTokens(ctx context.Context, w http.ResponseWriter, q *sequence, f *format, includeUsage bool) {
	cutAfter := -1
	if s.faults.Consume(func(f *Faults) *int { return &f.CutStreams }) {
		cutAfter = s.faults.Get().CutAfter
	}
	unsized := s.faults.Consume(func(f *Faults) *int { return &f.UnsizedStreams })
	if unsized {
		serve.EndByConnection(w)
	}
	events := &eventWriter{w: w}
	nextToken := q.firstToken
	for !events.failed {
		p, ok := s.awaitProgress(ctx, q)
		if !ok {
			return
		}
		if nextToken == q.firstToken {
			if p.err != nil {
				errEngine(p.err).write(w)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			if f.chat {
				events.send(f.roleChunk())
			}
		}
		for ; nextToken < p.nextToken; nextToken++ {
			if nextToken-q.firstToken == cutAfter {
				if unsized {
					serve.Reset(w, s.faults.Get().CutSilence)
					return
				}
				serve.Abort()
			}
			events.send(f.tokenChunk(ResponseToken(q.target, q.prompt, nextToken)))
		}
		if p.err != nil {
			events.send(errEngine(p.err).body)
			return
		}
		if p.ended {
			break
		}
	}
	events.send(f.finishChunk())
	if includeUsage {
		usageChunk := f.newCompletion(f.chunkObject, choice{})
		usageChunk.Choices = []choice{}
		usageChunk.Usage = f.usage(q)
		events.send(usageChunk)
	}
	events.sendRaw([]byte("[DONE]"))
}
