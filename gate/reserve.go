package gate

import (
	"context"

	"github.com/magnolialever/magnolialever/units"
)

// reserve takes the cost from the customer's rate. Calls of plain services cost no
// tokens.
func (r *relay) reserve(ctx context.Context) (Reservation, *Problem) {
	if r.request.query.Cost == 0 {
		return unlimited{expires: r.server.clock.Now().Add(permitSpan)}, nil
	}
	v, err := r.server.options.Limiter.Reserve(ctx, &r.request.query)
	if err != nil {
		return nil, problemOf(err)
	}
	return v, nil
}

// renew makes sure that the next attempt has tokens and a valid permit. A
// reservation pays for one attempt that may have run, and for any number that did
// not.
func (r *relay) renew(ctx context.Context) (p *Problem) {
	if r.reservation != nil {
		if r.server.clock.Now().Before(r.reservation.Permit().Expires) {
			return nil
		}
		r.reservation.Settle(false, 0)
	}
	if r.reservation, p = r.reserve(ctx); p == nil {
		r.asked()
	}
	return p
}

// asked counts the request once, after the customer's rate has admitted it: what is
// refused must not displace the models of others.
func (r *relay) asked() {
	if r.counted || r.request.kind != kindModel || r.server.options.Demand == nil {
		return
	}
	r.counted = true
	r.server.options.Demand.Asked(units.ModelID(r.request.query.Target), r.request.query.Cost)
}

// settle ends the reservation unless the next attempt can use it.
func (r *relay) settle(p *Problem, result *AttemptResult) {
	switch {
	case p == nil:
		r.reservation.Settle(true, result.UsedTokens)
	case p.MayHaveRun && !result.AgentResponded:
		r.reservation.Lost()
	case p.MayHaveRun:
		// What a broken attempt has used is not known, so it counts in full.
		r.reservation.Settle(true, r.request.query.Cost)
	case p.Code == units.PermitExpired || p.Code == units.PermitStale:
		r.reservation.Settle(false, 0)
	default:
		return
	}
	r.reservation = nil
}
