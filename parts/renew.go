package parts

import "github.com/magnolialever/magnolialever/clock"

// sentRequest is a request with permits that was sent. renewedAt is when its permits were extended last.
type sentRequest struct {
	parts             []ID
	id                Permit
	sentAt, renewedAt clock.Time
}

// addUnanswered adds a request that is sent now, if it has permits.
func (g *Guard) addUnanswered(t *Ticket) {
	if len(t.granted) == 0 {
		return
	}
	r := sentRequest{id: t.id, sentAt: t.sentAt, renewedAt: t.sentAt}
	for _, p := range t.granted {
		r.parts = append(r.parts, p.part)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered[t] = r
}

// removeUnanswered removes a request whose answer has begun or that has ended.
func (g *Guard) removeUnanswered(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, t)
}

// takeRenewals returns the requests whose permits have to be extended now.
func (g *Guard) takeRenewals(now clock.Time) []sentRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []sentRequest
	for t, r := range g.unanswered {
		if now.Sub(r.renewedAt) >= renewInterval && now.Sub(r.sentAt) < maxRenewal {
			r.renewedAt = now
			g.unanswered[t] = r
			due = append(due, r)
		}
	}
	return due
}

// Tick renews the permits of requests that wait for their answers, and drops those that have expired. The caller
// has to call it several times per second.
func (g *Guard) Tick() {
	now := g.clock.Now()
	for _, r := range g.takeRenewals(now) {
		for _, part := range r.parts {
			g.owners.Extend(part, r.id)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Expire(now)
}
