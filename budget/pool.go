package budget

import (
	"sync"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// IdleSpan is the time without progress from which on a claim or a connection gives way to others.
	IdleSpan = 500 * clock.Millisecond
	// minRateSpan is the age from which on the rate of a claim is compared with that of others.
	minRateSpan = clock.Second
)

// Pool is a number of bytes that the requests of many callers share. When it is used up, a request that has not arrived
// whole gives way: the one that has been without progress for longest, else the slowest. Requests that have arrived keep
// what they hold. It is safe for concurrent use.
type Pool struct {
	limit units.Bytes
	// idleSpan and minRateSpan are IdleSpan and the constant of the same name, or what SetYieldDelay has set.
	idleSpan, minRateSpan clock.Span

	mu     sync.Mutex // guards the fields below
	used   units.Bytes
	claims map[*Claim]struct{}
}

// NewPool returns a pool of so many bytes.
func NewPool(limit units.Bytes) *Pool {
	return &Pool{limit: limit, idleSpan: IdleSpan, minRateSpan: minRateSpan, claims: map[*Claim]struct{}{}}
}

// SetYieldDelay sets the time for which a claim may be without progress, or slow, before it gives way. It has to be called
// before the pool is used.
func (p *Pool) SetYieldDelay(s clock.Span) { p.idleSpan, p.minRateSpan = s, s }

// Claim is what one request holds of a pool. Its zero value holds nothing.
type Claim struct {
	// Yield is called for a claim that gives way, without a lock. It has to end the request, which then calls Release.
	Yield func()
	// ProgressAt, if set, returns when the request last made progress; it must not wait.
	ProgressAt func() clock.Time

	// The fields below are guarded by the mutex of the pool.
	// bytes is what the claim holds.
	bytes units.Bytes
	// beganAt is when it first took bytes, progressAt when it last took some.
	beganAt, progressAt clock.Time
	// kept is set while the claim doesn't give way, yielded once it has given way.
	kept, yielded bool
}

// Protect makes a claim one that does not give way until Pool.Offer. It has to be called before the claim takes bytes.
func (c *Claim) Protect() { c.kept = true }

// Used returns the number of bytes that claims hold.
func (p *Pool) Used() units.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Take adds n bytes to what the claim holds. It returns false if the pool has no room, and leaves the claim as it was. Other
// claims may give way first.
func (p *Pool) Take(c *Claim, now clock.Time, n units.Bytes) bool {
	p.mu.Lock()
	if c.yielded || c.bytes+n > p.limit {
		p.mu.Unlock()
		return false
	}
	var victims []*Claim
	for p.used+n > p.limit {
		v := p.victim(c, now)
		if v == nil {
			break
		}
		v.yielded = true
		p.remove(v)
		victims = append(victims, v)
	}
	ok := p.used+n <= p.limit
	if ok {
		if c.bytes == 0 {
			c.beganAt = now
			p.claims[c] = struct{}{}
		}
		p.used += n
		c.bytes += n
		c.progressAt = now
	}
	p.mu.Unlock()
	for _, v := range victims {
		v.Yield()
	}
	return ok
}

// victim returns the claim that gives way to the one that asks, nil if none does. The caller holds p.mu.
func (p *Pool) victim(asking *Claim, now clock.Time) *Claim {
	var idlest, slowest *Claim
	for c := range p.claims {
		if c == asking || c.kept || c.Yield == nil {
			continue
		}
		if now.Sub(c.lastProgress()) >= p.idleSpan && (idlest == nil || c.lastProgress().Before(idlest.lastProgress())) {
			idlest = c
		}
		if now.Sub(c.beganAt) >= p.minRateSpan && (slowest == nil || c.rate(now) < slowest.rate(now)) {
			slowest = c
		}
	}
	if idlest != nil {
		return idlest
	}
	if slowest != nil && now.Sub(asking.beganAt) >= p.minRateSpan && asking.bytes > 0 && asking.rate(now) <= slowest.rate(now) {
		return nil
	}
	return slowest
}

// lastProgress returns when the request last made progress.
func (c *Claim) lastProgress() clock.Time {
	if c.ProgressAt == nil {
		return c.progressAt
	}
	return max(c.progressAt, c.ProgressAt())
}

// rate returns the bytes that the claim has taken in a millisecond.
func (c *Claim) rate(now clock.Time) float64 {
	return float64(c.bytes) / max(float64(now.Sub(c.beganAt)), 1)
}

// Keep records that the request has arrived whole, so that the claim gives way no more. It returns false if it has given way
// already; then Yield ends the request.
func (p *Pool) Keep(c *Claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.kept = !c.yielded
	return c.kept
}

// Offer records that the claim may give way again, from now on.
func (p *Pool) Offer(c *Claim, now clock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.kept, c.beganAt, c.progressAt = false, now, now
}

// Release returns what the claim holds. The claim can be used again.
func (p *Pool) Release(c *Claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(c)
	c.kept, c.yielded = false, false
}

func (p *Pool) remove(c *Claim) {
	p.used -= c.bytes
	c.bytes = 0
	delete(p.claims, c)
}
