package fleet

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Resident is a model that an upstream holds, with its adapters.
type Resident struct {
	Model    units.ModelID
	Version  int64
	Adapters []string
}

// Upstream is what an upstream last said of itself.
type Upstream struct {
	ID      units.UpstreamID
	Service units.ServiceID
	Address string
	Zone    units.Zone
	// Slots is the number of requests that run at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is how much longer the upstream said that it stays cold.
	ColdFor clock.Span
	// ProcessStart is the Unix time of the start in milliseconds; 0 is unknown.
	ProcessStart int64
	// Models are the resident models.
	Models []Resident
	// OnDisk and InMemory name models of which the host keeps a copy.
	OnDisk, InMemory []units.ModelID
}

// Resident returns the named model where the upstream holds it.
func (u *Upstream) Resident(m units.ModelID) (*Resident, bool) {
	i := slices.IndexFunc(u.Models, func(r Resident) bool { return r.Model == m })
	if i < 0 {
		return nil, false
	}
	return &u.Models[i], true
}

// Holds reports whether the upstream holds the model and, if named, the adapter.
func (u *Upstream) Holds(m units.ModelID, adapter string) bool {
	r, ok := u.Resident(m)
	return ok && (adapter == "" || slices.Contains(r.Adapters, adapter))
}
