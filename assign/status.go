package assign

import (
	"math"

	"github.com/magnolialever/magnolialever/units"
)

// Status is what the last round of a Planner found.
type Status struct {
	// Short are the models that need further copies.
	Short []ShortModel
	// PendingCopies is the number of copies that load, or will once another model has been unloaded.
	PendingCopies int
	// StoreLoads is the number of loads from the weight store in flight, AllowedStoreLoads its limit.
	StoreLoads, AllowedStoreLoads int
}

// ShortModel is a model whose copies, with those on their way, can't take its work.
type ShortModel struct {
	Service units.ServiceID
	Model   units.ModelID
	// WorkRate is the requested work, Refused the part of it that is refused or waits too long, Need what more copies have
	// to take, all in prompt tokens/s.
	WorkRate, Refused, Need float64
	// Copies is the number of copies that are loaded, Pending that of those on their way.
	Copies, Pending int
}

// WantedCopies returns the number of copies that the model lacks at upstreams without other work.
func (m *ShortModel) WantedCopies() int { return int(math.Ceil(m.Need / engineCapacity)) }

// Status returns the result of the last round.
func (p *Planner) Status() Status { return p.status }

// recordStatus adds the result of the round.
func (r *round) recordStatus() {
	status := &r.p.status
	for _, m := range r.models {
		status.PendingCopies += m.pending()
	}
	status.StoreLoads += r.storeLoads
	status.AllowedStoreLoads += r.maxStoreLoads
}

// recordShort adds a model that needs further copies.
func (r *round) recordShort(m *modelState, need float64) {
	pending := m.pending()
	r.p.status.Short = append(r.p.status.Short, ShortModel{
		Service: r.service.Name, Model: m.Name, WorkRate: m.demand.WorkRate, Refused: m.demand.shortage(), Need: need,
		Copies: len(m.copies) + len(m.reserved) - pending, Pending: pending,
	})
}
