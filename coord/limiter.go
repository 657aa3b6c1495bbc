package coord

import (
	"context"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Limiter implements gate.Limiter with the rate client of the control loop.
type Limiter struct {
	coord  *Coord
	lastID atomic.Uint64
}

// NewLimiter returns a Limiter that uses the control loop of c.
func NewLimiter(c *Coord) *Limiter { return &Limiter{coord: c} }

// Reserve implements gate.Limiter. It returns a *gate.Problem if the tokens are refused, the
// context ends or the control loop has stopped.
func (l *Limiter) Reserve(ctx context.Context, q *gate.RequestInfo) (gate.Reservation, error) {
	reply := make(chan rate.Decision, 1)
	r := rate.Request{ID: rate.RequestID(l.lastID.Add(1)), Customer: q.Customer, Cost: q.Cost, Deadline: q.Deadline}
	if !l.coord.post(reserve{r, reply}) {
		return nil, &gate.Problem{Code: units.Draining, Message: errStopped.Error()}
	}
	select {
	case d := <-reply:
		return l.reservationOf(r, d)
	case <-ctx.Done():
		l.coord.post(cancelRequest{r.ID})
		return nil, &gate.Problem{Code: units.RateUnavailable, Message: "the request was canceled while it waited for tokens"}
	case <-l.coord.done:
		return nil, &gate.Problem{Code: units.Draining, Message: errStopped.Error()}
	}
}

// reservationOf returns the reservation of a decision, or its refusal as a *gate.Problem.
func (l *Limiter) reservationOf(r rate.Request, d rate.Decision) (gate.Reservation, error) {
	if d.Code == "" {
		return &reservation{coord: l.coord, id: r.ID, reserved: d.Reservation}, nil
	}
	p := &gate.Problem{Code: d.Code, RetryAfter: max(d.RetryAfter, 0)}
	switch {
	case d.RetryAfter < 0: // A retry can't succeed.
		p.Message = "the request costs more tokens than the customer's burst"
	case d.Code == units.RateExceeded:
		p.Message = "the customer's rate and burst are exhausted"
	default:
		p.Message = "no gateway that owns a part of the customer's rate limit responded"
	}
	return nil, p
}

// reserve requests tokens; the decision is sent to reply.
type reserve struct {
	request rate.Request
	reply   chan<- rate.Decision
}

func (e reserve) apply(s *state) {
	s.pending[e.request.ID] = e.reply
	s.client.Request(s.now(), e.request)
}

// cancelRequest ends a request that no longer waits for tokens and returns any that it got.
type cancelRequest struct{ id rate.RequestID }

func (e cancelRequest) apply(s *state) {
	delete(s.pending, e.id)
	s.client.Return(s.now(), e.id)
}

// reservation implements gate.Reservation: the reserved tokens of one request.
type reservation struct {
	coord    *Coord
	id       rate.RequestID
	reserved rate.Reservation
}

// Permit implements gate.Reservation.
func (r *reservation) Permit() gate.Permit {
	p := gate.Permit{Expires: r.reserved.Expires}
	for _, g := range r.reserved.Parts {
		p.Paid = append(p.Paid, &wire.Paid{Slot: uint32(g.Slot), Epoch: int64(g.Epoch), Grant: uint64(g.Grant), Tokens: int64(g.Tokens)})
	}
	return p
}

// Started implements gate.Reservation.
func (r *reservation) Started() { r.coord.post(started{r.id}) }

// started reports that an agent has started the request.
type started struct{ id rate.RequestID }

func (e started) apply(s *state) { s.client.Started(s.now(), e.id) }

// Settle implements gate.Reservation.
func (r *reservation) Settle(started bool, used units.Tokens) {
	r.coord.post(settled{r.id, started, used})
}

// Lost implements gate.Reservation.
func (r *reservation) Lost() { r.coord.post(finishUnknown{r.id}) }

// finishUnknown ends a request that may have been started or not.
type finishUnknown struct{ id rate.RequestID }

func (e finishUnknown) apply(s *state) { s.client.FinishUnknown(s.now(), e.id) }

// settled ends a request that used the given tokens, or was certainly not started.
type settled struct {
	id      rate.RequestID
	started bool
	used    units.Tokens
}

func (e settled) apply(s *state) {
	now := s.now()
	if !e.started {
		s.client.Return(now, e.id)
		return
	}
	s.client.Started(now, e.id)
	s.client.Finish(now, e.id, e.used)
}
