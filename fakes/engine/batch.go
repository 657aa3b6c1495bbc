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
	blockTokens = 16
	hangPoll    = 5 * clock.Millisecond
)

// Reasons why a request ended without its whole answer.
var (
	errCrashed   = errors.New("engine crashed")
	errCollapsed = errors.New("engine collapsed under load while cold")
	errKilled    = errors.New("model was unloaded")
)

// sequence is one request in the batch. Its fields below next need s.mu.
type sequence struct {
	target   units.ModelID
	base     units.ModelID
	prompt   string
	priority int
	first    int
	total    int
	blocks   int
	cached   int
	record   *RequestRecord
	// news has a value when there is something to read.
	news chan struct{}

	prefill int
	next    int
	ended   bool
	err     error
}

// batch holds the sequences; it needs s.mu.
type batch struct {
	waiting []*sequence
	running []*sequence
	free    int
}

func (q *sequence) notify() {
	select {
	case q.news <- struct{}{}:
	default:
	}
}

func (q *sequence) end(err error) {
	q.ended = true
	q.err = err
	q.notify()
}

// add queues the sequence behind those of its priority; lower numbers go first.
func (b *batch) add(q *sequence) {
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority > q.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, q)
}

// remove takes the sequence out and reports whether it was there.
func (b *batch) remove(q *sequence) bool {
	if i := slices.Index(b.waiting, q); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return true
	}
	if i := slices.Index(b.running, q); i >= 0 {
		b.running = slices.Delete(b.running, i, i+1)
		b.free += q.blocks
		return true
	}
	return false
}

func (b *batch) all() []*sequence { return slices.Concat(b.running, b.waiting) }

func (b *batch) size() int { return len(b.running) + len(b.waiting) }

func (b *batch) endAll(err error, blocks int) {
	for _, q := range b.all() {
		q.record.Outcome = Failed
		q.end(err)
	}
	*b = batch{free: blocks}
}

// next is what the loop of the batch does after it started waiting sequences.
type next int

const (
	doStep next = iota
	doHang
	doCrash
	doWait
)

// steps runs the batch until the context is done.
func (s *Server) steps(ctx context.Context) {
	for ctx.Err() == nil {
		length, next := s.fill()
		switch next {
		case doStep:
			clock.Sleep(ctx, length.Duration())
			s.step()
		case doHang:
			clock.Sleep(ctx, hangPoll.Duration())
		case doCrash:
			s.Crash(s.options.RestartDelay)
		case doWait:
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
		}
	}
}

// fill starts waiting sequences and returns the length of the next step.
func (s *Server) fill() (clock.Span, next) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read under the lock, so that a fault applies to all later requests.
	f := s.faults.Get()
	if f.Hang {
		return 0, doHang
	}
	b := &s.batch
	for len(b.waiting) > 0 && len(b.running) < s.options.MaxRunning && b.waiting[0].blocks <= b.free {
		q := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		b.running = append(b.running, q)
		b.free -= q.blocks
		s.begin(q)
		if m := s.options.CrashMarker; m != "" && strings.Contains(q.prompt, m) {
			return 0, doCrash
		}
	}
	n := len(b.running)
	if n == 0 {
		return 0, doWait
	}
	length := s.options.StepTime + rand.N(s.options.StepJitter+1)
	if n > s.options.FullSpeedRequests {
		length = length * clock.Span(n) / clock.Span(s.options.FullSpeedRequests)
	}
	if s.cold.on {
		length *= clock.Span(s.options.ColdFactor)
	}
	return length * clock.Span(max(f.SlowFactor, 1)), doStep
}

// begin looks the prompt up in the prefix cache; what is found needs no prefill.
func (s *Server) begin(q *sequence) {
	s.records.start(q.record)
	hit := s.prefix.use(q.target, q.prompt, clock.System{}.Now())
	tokens := CountTokens(q.prompt)
	if len(q.prompt) > 0 {
		q.cached = tokens * hit * prefixBlockBytes / len(q.prompt)
	}
	q.prefill = max(tokens+q.first-q.cached, 1)
}

// step gives each running sequence one token or a part of its prefill.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range slices.Clone(s.batch.running) {
		if q.prefill > 0 {
			q.prefill -= s.options.PrefillTokensPerStep
			if q.prefill > 0 {
				continue
			}
		}
		if q.next < q.total {
			q.next++
			q.record.Tokens++
			s.counts.Tokens++
		}
		if q.next < q.total {
			q.notify()
			continue
		}
		s.batch.remove(q)
		s.counts.Completed++
		q.record.Outcome = Completed
		s.cold.answered(s.options.WarmupResponses)
		q.end(nil)
	}
}

// submit queues the sequence, or returns why it can't run.
func (s *Server) submit(q *sequence) *apiError {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.check(q)
	if e != nil {
		s.counts.Refused++
		q.record.Outcome = Refused
		return e
	}
	s.batch.add(q)
	if s.cold.on {
		s.counts.MaxColdRequests = max(s.counts.MaxColdRequests, s.batch.size())
		s.collapse()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *Server) check(q *sequence) *apiError {
	base, ok := s.memory.serves(q.target)
	switch {
	case s.cold.collapsed(clock.System{}.Now()):
		return errOverloaded
	case !ok:
		return errNotResident(q.target)
	case q.blocks > s.options.KVBlocks:
		return errInvalid("prompt and max_tokens exceed the KV cache")
	}
	q.base = base
	return nil
}

// progress is what the handler of a request sees of its sequence.
type progress struct {
	// next is the index behind the last token.
	next  int
	ended bool
	err   error
}

func (s *Server) progress(q *sequence) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{next: q.next, ended: q.ended, err: q.err}
}

// cancel ends the sequence of a caller that left.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch.remove(q) {
		s.counts.Canceled++
		q.record.Outcome = Canceled
	}
}
