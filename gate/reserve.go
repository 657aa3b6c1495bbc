package gate

import (
	"context"
	"errors"

	"github.com/magnolialever/magnolialever/units"
)

// reserve reserves the cost from the customer's rate. Calls of plain services cost no tokens.
func (r *relay) reserve(ctx context.Context) (Reservation, *Problem) {
	if r.request.info.Cost == 0 {
		return unlimitedReservation{expires: r.server.clock.Now().Add(permitTTL)}, nil
	}
	v, err := r.server.options.Limiter.Reserve(ctx, &r.request.info)
	var reason *Problem
	if err != nil && errors.As(context.Cause(ctx), &reason) {
		return nil, reason
	}
	if err != nil {
		return nil, asProblem(err)
	}
	return v, nil
}

// ensureReservation makes sure that the next attempt has reserved tokens and a valid permit. A
// reservation covers one attempt that may have run, and any number of attempts that did not run.
func (r *relay) ensureReservation(ctx context.Context) (p *Problem) {
	if r.reservation != nil {
		if r.server.clock.Now().Before(r.reservation.Permit().Expires) {
			return nil
		}
		r.reservation.Settle(false, 0)
	}
	if r.reservation, p = r.reserve(ctx); p == nil {
		r.countDemand()
	}
	return p
}

// countDemand counts the request as demand, once, after the customer's rate has admitted it:
// refused requests must not displace the models of other customers.
func (r *relay) countDemand() {
	if r.demandCounted || r.request.targetKind != kindModel || r.server.options.Demand == nil {
		return
	}
	r.demandCounted = true
	r.server.options.Demand.Asked(units.ModelID(r.request.info.Target), r.request.info.Cost)
}

// settleReservation ends the reservation unless the next attempt can use it.
func (r *relay) settleReservation(p *Problem, result *AttemptResult) {
	switch {
	case p == nil:
		r.reservation.Settle(true, result.UsedTokens)
	case p.MayHaveRun && !result.AgentResponded:
		r.reservation.Lost()
	case p.MayHaveRun:
		// The usage of a broken attempt is unknown, so the full cost is charged.
		r.reservation.Settle(true, r.request.info.Cost)
	case p.Code == units.PermitExpired || p.Code == units.PermitStale:
		r.reservation.Settle(false, 0)
	default:
		return
	}
	r.reservation = nil
}
