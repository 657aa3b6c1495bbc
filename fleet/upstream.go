package fleet

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Resident is a model that an upstream has loaded, with the loaded adapters.
type Resident struct {
	Model    units.ModelID
	Version  int64
	Adapters []string
}

// Upstream is the last description that an upstream sent.
type Upstream struct {
	ID      units.UpstreamID
	Service units.ServiceID
	Address string
	Zone    units.Zone
	// Slots is the number of requests that can run at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is how much longer the upstream stays cold, as of the description.
	ColdFor clock.Span
	// ProcessStart is the Unix time of the process start in milliseconds; 0 is unknown.
	ProcessStart int64
	// Models are the loaded models.
	Models []Resident
	// OnDisk and InMemory name models of which the upstream's host has a copy.
	OnDisk, InMemory []units.ModelID
}

// Resident returns the model if the upstream has loaded it.
func (u *Upstream) Resident(m units.ModelID) (*Resident, bool) {
	i := slices.IndexFunc(u.Models, func(r Resident) bool { return r.Model == m })
	if i < 0 {
		return nil, false
	}
	return &u.Models[i], true
}

// Holds reports whether the upstream has loaded the model and, if not empty, the adapter.
func (u *Upstream) Holds(m units.ModelID, adapter string) bool {
	r, ok := u.Resident(m)
	return ok && (adapter == "" || slices.Contains(r.Adapters, adapter))
}
