package coord

import (
	"context"
	"sync/atomic"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/rate"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Limiter implements gate.Limiter with the customers' rates.
type Limiter struct {
	coord *Coord
	next  atomic.Uint64
}

// NewLimiter returns a Limiter that asks the control loop.
func NewLimiter(c *Coord) *Limiter { return &Limiter{coord: c} }

// Reserve implements gate.Limiter.
func (l *Limiter) Reserve(ctx context.Context, q *gate.RequestInfo) (gate.Reservation, error) {
	reply := make(chan rate.Decision, 1)
	r := rate.Request{ID: rate.RequestID(l.next.Add(1)), Customer: q.Customer, Cost: q.Cost, Deadline: q.Deadline}
	if !l.coord.post(reserve{r, reply}) {
		return nil, &gate.Problem{Code: units.Draining, Message: errStopped.Error()}
	}
	select {
	case v := <-reply:
		return l.verdict(r, v)
	case <-ctx.Done():
		l.coord.post(abandon{r.ID})
		return nil, &gate.Problem{Code: units.RateUnavailable, Message: "the request ended while it waited for tokens"}
	case <-l.coord.done:
		return nil, &gate.Problem{Code: units.Draining, Message: errStopped.Error()}
	}
}

func (l *Limiter) verdict(r rate.Request, v rate.Decision) (gate.Reservation, error) {
	if v.Code == "" {
		return &reservation{coord: l.coord, id: r.ID, ticket: v.Reservation}, nil
	}
	p := &gate.Problem{Code: v.Code, RetryAfter: max(v.RetryAfter, 0)}
	switch {
	case v.RetryAfter < 0:
		p.Message = "the request costs more tokens than the customer's burst"
	case v.Code == units.RateExceeded:
		p.Message = "the customer's rate and burst are used up"
	default:
		p.Message = "no owner of the customer's rate answers"
	}
	return nil, p
}

type reserve struct {
	request rate.Request
	reply   chan<- rate.Decision
}

func (e reserve) apply(s *state) {
	s.waiting[e.request.ID] = e.reply
	s.client.Request(s.now(), e.request)
}

type abandon struct{ id rate.RequestID }

func (e abandon) apply(s *state) {
	delete(s.waiting, e.id)
	s.client.Return(s.now(), e.id)
}

// reservation holds the tokens of one request.
type reservation struct {
	coord  *Coord
	id     rate.RequestID
	ticket rate.Reservation
}

// Permit implements gate.Reservation.
func (r *reservation) Permit() gate.Permit {
	p := gate.Permit{Expires: r.ticket.Expires}
	for _, g := range r.ticket.Parts {
		p.Paid = append(p.Paid, &wire.Paid{Slot: uint32(g.Slot), Epoch: int64(g.Epoch), Grant: uint64(g.Grant), Tokens: int64(g.Tokens)})
	}
	return p
}

// Started implements gate.Reservation.
func (r *reservation) Started() { r.coord.post(started{r.id}) }

type started struct{ id rate.RequestID }

func (e started) apply(s *state) { s.client.Started(s.now(), e.id) }

// Settle implements gate.Reservation.
func (r *reservation) Settle(started bool, used units.Tokens) {
	r.coord.post(settled{r.id, started, used})
}

// Lost implements gate.Reservation.
func (r *reservation) Lost() { r.coord.post(lost{r.id}) }

type lost struct{ id rate.RequestID }

func (e lost) apply(s *state) { s.client.FinishUnknown(s.now(), e.id) }

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
