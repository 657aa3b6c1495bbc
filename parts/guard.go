package parts

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

const (
	// maxParts bounds the parts of a prompt that are looked at, those at the beginning first: an unproven one costs
	// messages between gateways.
	maxParts = 32
	// busyPoll is the time after which a busy owner is asked again.
	busyPoll = 25 * time.Millisecond
	// confirmMargin is the time left of reserveTime below which the owner is asked again before the request
	// is sent. It covers the way of the message that extends the permit.
	confirmMargin = 50 * clock.Millisecond
	// renewInterval is the interval at which the permit of a request is renewed whose answer has not begun, and
	// maxRenewal the time from when it was sent after which it is not: upstreams that hang must not
	// keep other requests with the part waiting.
	renewInterval = sentPermitTTL / 2
	maxRenewal    = 15 * clock.Second
)

// Owners passes what a Guard wants to know and to tell to the gateways that own parts. Its methods are
// called from concurrent requests.
type Owners interface {
	// Ask asks the owner of the part whether a request with it may be sent; the span is that of
	// Ledger.Request.
	Ask(ctx context.Context, part ID, id Permit, stage Stage) (Reply, clock.Span)
	// Extend tells the owner that a granted request is sent now.
	Extend(part ID, id Permit)
	// Return tells the owner how a granted request has ended.
	Return(part ID, id Permit, r Result)
	// Announce tells all gateways what is known of suspects.
	Announce(list []Suspect)
}

// Result is how a granted request ended. The zero value tells nothing of the part.
type Result struct {
	// Began is set if an answer to the request began.
	Began bool
	// Suspect is set if the upstream crashed: what is known of the part since.
	Suspect *Suspect
}

// Guard decides which requests may be sent, by the parts of their prompts. It is safe for concurrent
// use.
type Guard struct {
	clock  clock.Clock
	owners Owners

	// onVerdict is OnVerdict's function.
	onVerdict func(v Verdict, own bool)

	mu     sync.Mutex // guards the fields below
	ledger *Ledger
	// asks has a channel for each part about which a request asks the owner. It is closed when the
	// request has its answer; other requests with the part wait for it.
	asks map[ID]chan struct{}
	// unanswered are the requests with permits that were sent and whose answers have not begun.
	unanswered map[*Ticket]sentRequest
}

// NewGuard returns a Guard that owns all parts until SetOwners is called.
func NewGuard(c clock.Clock) *Guard {
	g := &Guard{clock: c, ledger: NewLedger(), asks: map[ID]chan struct{}{}, onVerdict: func(Verdict, bool) {}, unanswered: map[*Ticket]sentRequest{}}
	g.owners = soleOwner{g}
	return g
}

// SetOwners sets the way to the owners of parts. It must be called before the Guard is used.
func (g *Guard) SetOwners(o Owners) { g.owners = o }

// OnVerdict sets the function that is called with each verdict that is reached or ended by a crash or an answer
// of this gateway's own (own is set), and with each that others have ended. It must not block. It must be set
// before the Guard is used.
func (g *Guard) OnVerdict(f func(v Verdict, own bool)) { g.onVerdict = f }

// Verdict returns the verdict on a part; its Crashes are 0 if the part is not refused.
func (g *Guard) Verdict(part ID) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Verdict(part)
}

// learn applies what others know of a part, and reports a verdict that this ends.
func (g *Guard) learn(part ID, apply func()) {
	g.mu.Lock()
	before := g.ledger.Verdict(part)
	apply()
	after := g.ledger.Verdict(part)
	g.mu.Unlock()
	if before.Crashes > 0 && after.Crashes == 0 {
		g.onVerdict(after, false)
	}
}

// Restore adds a verdict from the store, unless this gateway knows more of the part. It reports whether it
// did.
func (g *Guard) Restore(v Verdict) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Restore(g.clock.Now(), v)
}

// reportVerdicts calls onVerdict for the suspects.
func (g *Guard) reportVerdicts(list []Suspect) {
	for _, s := range list {
		g.onVerdict(g.Verdict(s.Part), true)
	}
}

// Acquire waits until a request with the prompt may be sent. It returns nil and the time after which the
// caller may come back if a part or the target is refused, and nil and 0 if ctx is done before.
func (g *Guard) Acquire(ctx context.Context, p Prompt) (*Ticket, clock.Span) {
	p.Parts = p.Parts[:min(len(p.Parts), maxParts)]
	t := &Ticket{guard: g, parts: p.all(), id: Permit(rand.Uint64()), crashes: map[ID]int{}}
	if wait := g.untilJointTrial(t.parts); wait > 0 {
		return nil, retryTime(wait)
	}
	needed := slices.Clone(p.Parts)
	if g.Verdict(p.Target).Crashes > 0 {
		needed = append(needed, p.Target)
	}
	// In this order two requests with the same parts don't wait for each other.
	slices.Sort(needed)
	for _, part := range needed {
		askedAt, retryAfter, ok := g.acquirePart(ctx, part, t.id)
		if askedAt != 0 {
			t.granted = append(t.granted, grantedPermit{part, askedAt})
		}
		if !ok {
			t.release()
			return nil, retryAfter
		}
		if v := g.Verdict(part); v.Crashes > 0 {
			t.crashes[part] = v.Crashes
		}
	}
	return t, 0
}

// Refuses reports whether Acquire is known to refuse a request with the prompt.
func (g *Guard) Refuses(p Prompt) bool {
	p.Parts = p.Parts[:min(len(p.Parts), maxParts)]
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.ledger.untilJointTrial(now, p.all()) > 0 || slices.ContainsFunc(p.all(), func(part ID) bool {
		state, wait := g.ledger.State(now, part)
		return state != Proven && g.isDecided(state, wait)
	})
}

// untilJointTrial is Ledger.untilJointTrial.
func (g *Guard) untilJointTrial(list []ID) clock.Span {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.untilJointTrial(g.clock.Now(), list)
}

// acquirePart waits until a request with the part may be sent. askedAt is when the owner was asked if it
// counts the request, else 0. ok is false if the request must not be sent.
func (g *Guard) acquirePart(ctx context.Context, part ID, id Permit) (askedAt clock.Time, retryAfter clock.Span, ok bool) {
	for {
		g.mu.Lock()
		state, wait := g.ledger.State(g.clock.Now(), part)
		asked := g.asks[part]
		if asked == nil && !g.isDecided(state, wait) {
			g.asks[part] = make(chan struct{})
		}
		g.mu.Unlock()
		switch {
		case state == Proven:
			return 0, 0, true
		case g.isDecided(state, wait):
			return 0, retryTime(wait), false
		case asked == nil:
			return g.askOwner(ctx, part, id)
		}
		select {
		case <-asked:
		case <-ctx.Done():
			return 0, 0, false
		}
	}
}

// isDecided reports whether the owner of a part in the state need not be asked.
func (g *Guard) isDecided(state State, wait clock.Span) bool {
	return state == Proven || (state == Refused && wait > 0)
}

// askOwner asks the owner of a part until it is no longer busy. Other requests with the part wait
// meanwhile. It returns the same as acquirePart.
func (g *Guard) askOwner(ctx context.Context, part ID, id Permit) (askedAt clock.Time, retryAfter clock.Span, ok bool) {
	defer g.endAsk(part)
	for {
		askedAt := g.clock.Now()
		reply, wait := g.owners.Ask(ctx, part, id, Queued)
		switch reply {
		case Granted:
			return askedAt, 0, true
		case Harmless:
			g.recordHarmless(part)
			return 0, 0, true
		case Denied:
			return 0, retryTime(wait), false
		case Busy:
			stats.Event("parts_waited")
		}
		select {
		case <-time.After(busyPoll):
		case <-ctx.Done():
			return 0, 0, false
		}
		g.mu.Lock()
		state, wait := g.ledger.State(g.clock.Now(), part)
		g.mu.Unlock()
		if g.isDecided(state, wait) {
			return 0, retryTime(wait), state == Proven
		}
	}
}

// recordHarmless records that the owner of a part knows it as proven.
func (g *Guard) recordHarmless(part ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.RecordHarmless(part)
}

// endAsk lets another request ask about the part.
func (g *Guard) endAsk(part ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.asks[part])
	delete(g.asks, part)
}

// retryTime returns the time after which a refused caller may come back, spread so that callers don't
// come back together.
func retryTime(wait clock.Span) clock.Span {
	wait = max(wait, firstTrialDelay)
	return wait + clock.Span(rand.Int64N(int64(wait)))
}

// announceCrash tells all gateways, and reports, what is known of the parts that a crash makes suspect.
func (g *Guard) announceCrash(suspects []Suspect) {
	if len(suspects) > 0 {
		g.owners.Announce(suspects)
		g.reportVerdicts(suspects)
	}
}

// recordCrash returns the parts of the prompt that the crash makes suspect.
func (g *Guard) recordCrash(prompt []ID, crash Crash) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	blamed := g.ledger.RecordCrash(g.clock.Now(), prompt, crash)
	suspects := make([]Suspect, 0, len(blamed))
	for _, part := range blamed {
		s, _ := g.ledger.Get(part)
		suspects = append(suspects, s)
	}
	return suspects
}

// Request decides, as the owner of a part that hears some of the gateways, on a request of any gateway.
func (g *Guard) Request(part ID, id Permit, stage Stage, reach Reach) (Reply, clock.Span) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Request(g.clock.Now(), part, id, stage, reach)
}

// Extend records, as the owner of a part, that a request that was granted is sent now.
func (g *Guard) Extend(part ID, id Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Extend(g.clock.Now(), part, id)
}

// Returned ends a permit that this gateway granted as the owner of the part.
func (g *Guard) Returned(part ID, id Permit, r Result) {
	g.learn(part, func() {
		if r.Began {
			g.ledger.RecordBegan(part, g.clock.Now())
		}
		if r.Suspect != nil {
			g.ledger.Merge(g.clock.Now(), *r.Suspect)
		}
		g.ledger.Return(g.clock.Now(), part, id)
	})
}

// Merge adds what another gateway knows of a suspect, and reports whether that adds crashes.
func (g *Guard) Merge(s Suspect) bool {
	added := false
	g.learn(s.Part, func() { added = g.ledger.Merge(g.clock.Now(), s) })
	return added
}

// Suspects returns at most n suspects, the most important first.
func (g *Guard) Suspects(n int) []Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Suspects(g.clock.Now(), n)
}

// soleOwner is the Owners of a gateway without others.
type soleOwner struct{ guard *Guard }

func (o soleOwner) Ask(_ context.Context, part ID, id Permit, stage Stage) (Reply, clock.Span) {
	return o.guard.Request(part, id, stage, ReachAll)
}

func (o soleOwner) Extend(part ID, id Permit) { o.guard.Extend(part, id) }

func (o soleOwner) Return(part ID, id Permit, r Result) { o.guard.Returned(part, id, r) }

func (soleOwner) Announce([]Suspect) {}
