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

// decodeRequest records the request and decodes its JSON body into v. It returns nil after it
// has responded with an error.
func (s *Server) decodeRequest(w http.ResponseWriter, r *http.Request, v any) *RequestRecord {
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
	if s.faults.Consume(func(f *Faults) *int { return &f.FailRequests }) {
		s.refuse(w, rec, errInjected)
		return nil
	}
	return rec
}

// refuse records that the request was refused, and responds with the error.
func (s *Server) refuse(w http.ResponseWriter, rec *RequestRecord, e *apiError) {
	s.mu.Lock()
	s.counts.Refused++
	rec.Outcome = Refused
	s.mu.Unlock()
	e.write(w)
}

func (s *Server) serveCompletions(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if rec := s.decodeRequest(w, r, &q); rec != nil {
		s.generate(w, r, &q, rec, &format{id: "cmpl-", object: "text_completion", chunkObject: "text_completion"})
	}
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if rec := s.decodeRequest(w, r, &q); rec != nil {
		q.Prompt = textContent(ChatPrompt(q.Messages...))
		f := &format{id: "chatcmpl-", object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
		s.generate(w, r, &q, rec, f)
	}
}

// newSequence fills in the record and returns the sequence. Generation starts at the index
// firstToken; totalTokens counts the tokens of the whole response, including those before
// firstToken.
func (s *Server) newSequence(rec *RequestRecord, target units.ModelID, prompt string,
	firstToken, totalTokens, priority int,
) *sequence {
	s.mu.Lock()
	rec.Target, rec.Prompt, rec.Hash, rec.ResumeFrom = target, prompt, PromptHash(target, prompt), firstToken
	s.mu.Unlock()
	tokens := CountTokens(prompt) + totalTokens
	return &sequence{
		target: target, prompt: prompt, priority: priority, firstToken: firstToken, totalTokens: totalTokens,
		kvBlocks: (tokens + kvBlockTokens - 1) / kvBlockTokens, record: rec, updated: make(chan struct{}, 1),
		nextToken: firstToken,
	}
}

// generate runs a completion or chat request and writes its response in the format f.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, q *generateRequest, rec *RequestRecord, f *format) {
	limit := defaultMaxTokens
	for _, m := range []*int{q.MaxTokens, q.MaxCompletionTokens} {
		if m != nil {
			limit = *m
		}
	}
	if limit < 1 || q.ResumeFrom < 0 || q.Prompt == "" {
		s.refuse(w, rec, errInvalid("prompt, max_tokens or resume_from is invalid"))
		return
	}
	natural := naturalLength(string(q.Prompt))
	f.finishReason = finishLength
	if natural <= limit {
		f.finishReason = finishStop
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
		s.streamTokens(r.Context(), w, seq, f, q.StreamOptions.IncludeUsage)
		return
	}
	s.writeWhole(r.Context(), w, seq, f)
}

// awaitProgress waits for a change of the sequence and returns its progress, or false if the
// client has disconnected. If the engine has crashed, it aborts the response.
func (s *Server) awaitProgress(ctx context.Context, q *sequence) (progress, bool) {
	select {
	case <-q.updated:
	case <-ctx.Done():
		return progress{}, false
	}
	p := s.progress(q)
	if errors.Is(p.err, errCrashed) {
		serve.Abort()
	}
	return p, true
}

// writeWhole waits for the end of the sequence and writes the response as one JSON object.
func (s *Server) writeWhole(ctx context.Context, w http.ResponseWriter, q *sequence, f *format) {
	if p, ok := s.awaitEnd(ctx, w, q); ok {
		serve.WriteJSON(w, http.StatusOK, f.completion(ResponseText(q.target, q.prompt, q.firstToken, p.nextToken), f.usage(q)))
	}
}

// awaitEnd waits for the end of the sequence. It returns false if that has failed, after it has written the error, or if the
// client has disconnected.
func (s *Server) awaitEnd(ctx context.Context, w http.ResponseWriter, q *sequence) (progress, bool) {
	for {
		p, ok := s.awaitProgress(ctx, q)
		switch {
		case !ok:
			return p, false
		case p.err != nil:
			errEngine(p.err).write(w)
			return p, false
		case p.ended:
			return p, true
		}
	}
}

func (s *Server) serveEmbeddings(w http.ResponseWriter, r *http.Request) {
	var q embeddingRequest
	rec := s.decodeRequest(w, r, &q)
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
	if _, ok := s.awaitEnd(r.Context(), w, seq); ok {
		serve.WriteJSON(w, http.StatusOK, embeddingsFor(&q))
	}
}

// embeddingsFor returns the response to an embedding request.
func embeddingsFor(q *embeddingRequest) embeddingResponse {
	resp := embeddingResponse{Object: "list", Model: q.Model}
	for i, t := range q.Input {
		e := embedding{Object: "embedding", Index: i, Embedding: Embedding(q.Model, t)}
		if q.Format == "base64" {
			e.Embedding = encodeBase64(Embedding(q.Model, t))
		}
		resp.Data = append(resp.Data, e)
		resp.Usage.PromptTokens += CountTokens(t)
	}
	resp.Usage.TotalTokens = resp.Usage.PromptTokens
	return resp
}

// encodeBase64 returns the vector as little-endian 32-bit floats in base64.
func encodeBase64(v []float64) string {
	b := make([]byte, 0, 4*len(v))
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(x)))
	}
	return base64.StdEncoding.EncodeToString(b)
}
