package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	kvBlockTokens = 16
	pollInterval  = 5 * clock.Millisecond
)

// Reasons why a sequence ended before its last token.
var (
	errCrashed   = errors.New("engine crashed")
	errCollapsed = errors.New("cold engine collapsed under load")
	errUnloaded  = errors.New("model was unloaded")
)

// sequence is one request in the batch. firstToken, totalTokens and nextToken are token
// indexes in the whole response. s.mu guards prefillTokens, the prompt tokens left to process,
// and the fields below it.
type sequence struct {
	target       units.ModelID
	base         units.ModelID
	prompt       string
	priority     int
	firstToken   int
	totalTokens  int
	kvBlocks     int
	cachedTokens int
	record       *RequestRecord
	// updated has a value if the fields below have changed.
	updated chan struct{}

	prefillTokens int
	nextToken     int
	ended         bool
	err           error
}

// batch holds the sequences and the number of free KV cache blocks; s.mu guards it.
type batch struct {
	waiting    []*sequence
	running    []*sequence
	freeBlocks int
}

func (q *sequence) notify() {
	select {
	case q.updated <- struct{}{}:
	default:
	}
}

// end marks the sequence as ended, with an err unless it is complete.
func (q *sequence) end(err error) {
	q.ended = true
	q.err = err
	q.notify()
}

// enqueue inserts q into the queue: by priority, lower numbers first, and then first in, first
// out.
func (b *batch) enqueue(q *sequence) {
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > q.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, q)
}

// remove removes q and frees its blocks. It returns false if q isn't in the batch.
func (b *batch) remove(q *sequence) bool {
	if i := slices.Index(b.waiting, q); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return true
	}
	if i := slices.Index(b.running, q); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.freeBlocks += q.kvBlocks
		return true
	}
	return false
}

func (b *batch) sequences() []*sequence { return slices.Concat(b.running, b.waiting) }

func (b *batch) size() int { return len(b.running) + len(b.waiting) }

// endAll ends all sequences with err and resets the batch.
func (b *batch) endAll(err error, freeBlocks int) {
	for _, q := range b.sequences() {
		q.record.Outcome = Failed
		q.end(err)
	}
	*b = batch{freeBlocks: freeBlocks}
}

// loopAction is what the batch loop does next.
type loopAction int

const (
	actionStep loopAction = iota
	actionHang
	actionCrash
	actionWait
)

// runBatch is the batch loop; it returns when ctx is done.
func (s *Server) runBatch(ctx context.Context) {
	for ctx.Err() == nil {
		length, action := s.startWaiting()
		switch action {
		case actionStep:
			clock.Sleep(ctx, length.Duration())
			s.runStep()
		case actionHang:
			clock.Sleep(ctx, pollInterval.Duration())
		case actionCrash:
			s.Crash(s.options.RestartDelay)
		case actionWait:
			select {
			case <-s.submitted:
			case <-ctx.Done():
			}
		}
	}
}

// startWaiting starts waiting sequences for which a place and KV cache blocks are free. It
// returns the next action and, for actionStep, the duration of the step.
func (s *Server) startWaiting() (clock.Span, loopAction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read while s.mu is held, so that a fault applies to all later requests.
	f := s.faults.Get()
	if f.Hang {
		return 0, actionHang
	}
	b := &s.batch
	for len(b.waiting) > 0 && len(b.running) < s.options.MaxRunning && b.waiting[0].kvBlocks <= b.freeBlocks {
		q := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, q)
		b.freeBlocks -= q.kvBlocks
		s.beginPrefill(q)
		if m := s.options.CrashMarker; m != "" && strings.Contains(q.prompt, m) {
			return 0, actionCrash
		}
	}
	n := len(b.running)
	if n == 0 {
		return 0, actionWait
	}
	length := s.options.StepTime + rand.N(s.options.StepJitter+1)
	if n > s.options.FullSpeedRequests {
		length = length * clock.Span(n) / clock.Span(s.options.FullSpeedRequests)
	}
	if s.cold.active {
		length *= clock.Span(s.options.ColdFactor)
	}
	return length * clock.Span(max(f.SlowFactor, 1)), actionStep
}

// beginPrefill looks the prompt up in the prefix cache. Cached tokens need no prefill; the
// tokens before the resumed position do.
func (s *Server) beginPrefill(q *sequence) {
	s.records.recordStart(q.record)
	hitBlocks := s.prefix.store(q.target, q.prompt, clock.System{}.Now())
	tokens := CountTokens(q.prompt)
	if len(q.prompt) > 0 {
		q.cachedTokens = tokens * hitBlocks * prefixBlockBytes / len(q.prompt)
	}
	q.prefillTokens = max(tokens+q.firstToken-q.cachedTokens, 1)
}

// runStep advances each running sequence by one token or by a part of its prefill.
func (s *Server) runStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range slices.Clone(s.batch.running) {
		if q.prefillTokens > 0 {
			q.prefillTokens -= s.options.PrefillTokensPerStep
			if q.prefillTokens > 0 {
				continue
			}
		}
		if q.nextToken < q.totalTokens {
			q.nextToken++
			q.record.Tokens++
			s.counts.Tokens++
		}
		if q.nextToken < q.totalTokens {
			q.notify()
			continue
		}
		s.batch.remove(q)
		s.counts.Completed++
		q.record.Outcome = Completed
		s.cold.countResponse(s.options.WarmupResponses)
		q.end(nil)
	}
}

// submit queues the sequence, or returns the reason for a refusal.
func (s *Server) submit(q *sequence) *apiError {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.checkSequence(q)
	if e != nil {
		s.counts.Refused++
		q.record.Outcome = Refused
		return e
	}
	s.batch.enqueue(q)
	if s.cold.active {
		s.counts.MaxColdRequests = max(s.counts.MaxColdRequests, s.batch.size())
		s.collapseIfOverloaded()
	}
	select {
	case s.submitted <- struct{}{}:
	default:
	}
	return nil
}

// checkSequence returns an error if the sequence can't run, and sets its base model otherwise.
func (s *Server) checkSequence(q *sequence) *apiError {
	base, ok := s.memory.resolve(q.target)
	switch {
	case s.cold.collapsed(clock.System{}.Now()):
		return errOverloaded
	case !ok:
		return errNotResident(q.target)
	case q.kvBlocks > s.options.KVBlocks:
		return errInvalid("prompt and max_tokens exceed the KV cache")
	}
	q.base = base
	return nil
}

// progress is the state of a sequence that its request handler reads.
type progress struct {
	// nextToken is the index of the next token to generate.
	nextToken int
	ended     bool
	err       error
}

func (s *Server) progress(q *sequence) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{nextToken: q.nextToken, ended: q.ended, err: q.err}
}

// cancel removes the sequence of a client that has disconnected. It has no effect if the
// sequence has ended.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.remove(q) {
		s.counts.Canceled++
		q.record.Outcome = Canceled
	}
}
