package engine

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/magnolialever/magnolialever/fakes/serve"
	"github.com/magnolialever/magnolialever/units"
)

const (
	defaultMaxTokens = 16
	finishStop       = "stop"
	finishLength     = "length"
)

// receive reads the body into v and starts a record.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, v any) *RequestRecord {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBodyBytes))
	rec := &RequestRecord{Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: string(body)}
	s.mu.Lock()
	s.counts.Requests++
	s.records.add(rec)
	s.mu.Unlock()
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		s.refuse(w, rec, errInvalid(err.Error()))
		return nil
	}
	if s.take(func(f *Faults) *int { return &f.FailRequests }) {
		s.refuse(w, rec, errInjected)
		return nil
	}
	return rec
}

func (s *Server) refuse(w http.ResponseWriter, rec *RequestRecord, e *apiError) {
	s.mu.Lock()
	s.counts.Refused++
	rec.Outcome = Refused
	s.mu.Unlock()
	e.write(w)
}

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if rec := s.receive(w, r, &q); rec != nil {
		s.generate(w, r, &q, rec, &format{id: "cmpl-", object: "text_completion", chunk: "text_completion"})
	}
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if rec := s.receive(w, r, &q); rec != nil {
		q.Prompt = text(ChatPrompt(q.Messages...))
		f := &format{id: "chatcmpl-", object: "chat.completion", chunk: "chat.completion.chunk", chat: true}
		s.generate(w, r, &q, rec, f)
	}
}

// newSequence fills the record and returns the sequence. Total counts the tokens of
// the whole answer, also those before the resumption.
func (s *Server) newSequence(rec *RequestRecord, target units.ModelID, prompt string, first, total, priority int) *sequence {
	s.mu.Lock()
	rec.Target, rec.Prompt, rec.Hash, rec.ResumeFrom = target, prompt, PromptHash(target, prompt), first
	s.mu.Unlock()
	tokens := CountTokens(prompt) + total
	return &sequence{
		target: target, prompt: prompt, priority: priority, first: first, total: total,
		blocks: (tokens + blockTokens - 1) / blockTokens, record: rec, news: make(chan struct{}, 1),
		next: first,
	}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, q *generateRequest, rec *RequestRecord, f *format) {
	limit := defaultMaxTokens
	for _, m := range []*int{q.MaxTokens, q.MaxCompletion} {
		if m != nil {
			limit = *m
		}
	}
	if limit < 1 || q.ResumeFrom < 0 || q.Prompt == "" {
		s.refuse(w, rec, errInvalid("prompt, max_tokens or resume_from is invalid"))
		return
	}
	natural := naturalLength(string(q.Prompt))
	f.reason = finishLength
	if natural <= limit {
		f.reason = finishStop
	}
	total := max(min(limit, natural), 1)
	seq := s.newSequence(rec, q.Model, string(q.Prompt), min(q.ResumeFrom, total), total, q.Priority)
	if e := s.submit(seq); e != nil {
		e.write(w)
		return
	}
	defer s.cancel(seq)
	f.model = q.Model
	f.id += seq.record.Hash
	f.created = time.Now().Unix()
	if q.Stream {
		s.stream(r.Context(), w, seq, f, q.StreamOptions.IncludeUsage)
		return
	}
	s.whole(r.Context(), w, seq, f)
}

// wait returns the progress after something has changed, or false when the caller
// left. A crash cuts the connection.
func (s *Server) wait(ctx context.Context, q *sequence) (progress, bool) {
	select {
	case <-q.news:
	case <-ctx.Done():
		return progress{}, false
	}
	p := s.progress(q)
	if errors.Is(p.err, errCrashed) {
		serve.Abort()
	}
	return p, true
}

func (s *Server) whole(ctx context.Context, w http.ResponseWriter, q *sequence, f *format) {
	for {
		p, ok := s.wait(ctx, q)
		switch {
		case !ok:
			return
		case p.err != nil:
			errRun(p.err).write(w)
			return
		case p.ended:
			serve.WriteJSON(w, http.StatusOK, f.whole(ResponseText(q.target, q.prompt, q.first, p.next), f.usage(q)))
			return
		}
	}
}

func (s *Server) embeddings(w http.ResponseWriter, r *http.Request) {
	var q embeddingRequest
	rec := s.receive(w, r, &q)
	if rec == nil {
		return
	}
	if len(q.Input) == 0 {
		s.refuse(w, rec, errInvalid("input is empty"))
		return
	}
	seq := s.newSequence(rec, q.Model, strings.Join(q.Input, "\n"), 0, 1, q.Priority)
	if e := s.submit(seq); e != nil {
		e.write(w)
		return
	}
	defer s.cancel(seq)
	for {
		p, ok := s.wait(r.Context(), seq)
		switch {
		case !ok:
			return
		case p.err != nil:
			errRun(p.err).write(w)
			return
		case p.ended:
			serve.WriteJSON(w, http.StatusOK, embed(&q))
			return
		}
	}
}

func embed(q *embeddingRequest) embeddingAnswer {
	a := embeddingAnswer{Object: "list", Model: q.Model}
	for i, t := range q.Input {
		e := embedding{Object: "embedding", Index: i, Embedding: Embedding(q.Model, t)}
		if q.Format == "base64" {
			e.Embedding = encode(Embedding(q.Model, t))
		}
		a.Data = append(a.Data, e)
		a.Usage.PromptTokens += CountTokens(t)
	}
	a.Usage.TotalTokens = a.Usage.PromptTokens
	return a
}

// encode returns the vector as little-endian 32-bit numbers in base64.
func encode(v []float64) string {
	b := make([]byte, 0, 4*len(v))
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(x)))
	}
	return base64.StdEncoding.EncodeToString(b)
}
