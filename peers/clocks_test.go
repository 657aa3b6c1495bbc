package peers

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/wire"
)

// exchange measures the clock of b at a, with delays of the question and the answer.
func exchange(clocks [2]*clock.Manual, a, b *Clocks, there, back clock.Span) {
	question := a.request().GetClockRequest()
	advance(clocks, there)
	answer := b.answer(question).GetClockAnswer()
	advance(clocks, back)
	a.recordAnswer(answer)
}

func advance(clocks [2]*clock.Manual, s clock.Span) {
	for _, c := range clocks {
		c.Advance(s)
	}
}

// Guards against a time of another gateway that is taken for a later one than it was, for any difference
// of clocks and any delays of questions, answers and messages.
func TestTimesAreNeverLaterThanTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, most int) clock.Span { return clock.Span(rapid.IntRange(0, most).Draw(t, name)) }
		clocks := [2]*clock.Manual{
			clock.NewManual(clock.Time(span("clock of a", 1_000_000) + 1)), clock.NewManual(clock.Time(span("clock of b", 1_000_000) + 1)),
		}
		a, b := newClocks(clocks[0], 1), newClocks(clocks[1], 2)
		for range rapid.IntRange(1, 8).Draw(t, "messages") {
			sentHere, sentThere := clocks[0].Now(), clocks[1].Now()
			advance(clocks, span("delay of the message", 20_000))
			at, known, ask := a.local(2, sentThere)
			if known {
				assert.Assert(t, at <= sentHere, "sent at %d, taken for %d", sentHere, at)
			}
			if ask {
				exchange(clocks, a, b, span("delay of the question", 9000), span("delay of the answer", 9000))
			}
		}
	})
}

// Guards against confirmations that are of no use because their age is overstated.
func TestTimesAreCloseAfterQuickAnswer(t *testing.T) {
	clocks := [2]*clock.Manual{clock.NewManual(5000), clock.NewManual(900_000)}
	a, b := newClocks(clocks[0], 1), newClocks(clocks[1], 2)
	_, known, ask := a.local(2, clocks[1].Now())
	assert.Assert(t, !known && ask)
	exchange(clocks, a, b, 2, 2)
	sentHere, sentThere := clocks[0].Now(), clocks[1].Now()
	advance(clocks, 4*clock.Second)
	at, known, ask := a.local(2, sentThere)
	assert.Assert(t, known && !ask)
	assert.Assert(t, sentHere.Sub(at) <= 10, "taken for %d ms earlier", sentHere.Sub(at))
	advance(clocks, maxMeasureAge)
	_, known, ask = a.local(2, clocks[1].Now())
	assert.Assert(t, !known && ask, "an old measurement is discarded")
}

// Guards against an answer to a question of an earlier process on this VM, whose clock was another one.
func TestAnswersToEarlierProcessAreIgnored(t *testing.T) {
	clocks := [2]*clock.Manual{clock.NewManual(900_000), clock.NewManual(7000)}
	before, b := newClocks(clocks[0], 1), newClocks(clocks[1], 2)
	answer := b.answer(before.request().GetClockRequest()).GetClockAnswer()
	restarted := clock.NewManual(900_001)
	a := newClocks(restarted, 3)
	_, known, _ := a.local(2, 7000)
	assert.Assert(t, !known)
	a.recordAnswer(answer)
	_, known, _ = a.local(2, 7000)
	assert.Assert(t, !known)
}

// listen returns a Transport on a free port.
func listen(t *testing.T, o Options) *Transport {
	t.Helper()
	o.Clock, o.Address = clock.System{}, "127.0.0.1:0"
	p, err := Listen(o)
	assert.NilError(t, err)
	return p
}

// Guards against a digest that waited in the socket's buffer of a paused process and is taken for a fresh
// one when it is read.
func TestDigestIsDatedBySender(t *testing.T) {
	const pause = 600 * time.Millisecond
	digests, resume := make(chan Digest), make(chan struct{})
	a := listen(t, Options{VM: "a", Life: 1, OnDigest: func(d Digest) { digests <- d; <-resume }})
	b := listen(t, Options{VM: "b", Life: 2})
	ctx, cancel := context.WithCancel(context.Background())
	runErrors := make(chan error, 2)
	go func() { runErrors <- a.Run(ctx) }()
	go func() { runErrors <- b.Run(ctx) }()
	send := func(number uint64) clock.Time {
		now := clock.System{}.Now()
		b.Send(&wire.Datagram{Body: &wire.Datagram_Digest{Digest: &wire.Digest{Vm: "b", Life: 2, Number: number, SentMs: int64(now)}}}, a.Address())
		return now
	}
	send(1)
	first := <-digests
	_, known := a.SentAt(first.From, first.GetLife(), clock.Time(first.GetSentMs()))
	assert.Assert(t, !known, "nothing is known of the sender's clock yet")
	resume <- struct{}{}
	time.Sleep(100 * time.Millisecond)
	send(2)
	<-digests
	sentAt := send(3)
	time.Sleep(pause)
	resume <- struct{}{}
	late := <-digests
	at, known := a.SentAt(late.From, late.GetLife(), clock.Time(late.GetSentMs()))
	assert.Assert(t, known)
	assert.Assert(t, at <= sentAt && sentAt.Sub(at) < 100, "sent at %d, taken for %d, read at %d", sentAt, at, late.ReceivedAt)
	resume <- struct{}{}
	cancel()
	assert.NilError(t, <-runErrors)
	assert.NilError(t, <-runErrors)
}
