package engine

import (
	"slices"

	"github.com/magnolialever/magnolialever/units"
)

// State is the state of a model or adapter in accelerator memory.
type State string

// States. In each of them the model or adapter occupies memory.
const (
	Loading   State = "loading"
	Resident  State = "resident"
	Unloading State = "unloading"
)

// Model is a model or an adapter in accelerator memory.
type Model struct {
	ID units.ModelID `json:"id"`
	// Base is the model that an adapter extends; empty for a model.
	Base    units.ModelID `json:"base,omitempty"`
	Version int64         `json:"version"`
	Bytes   units.Bytes   `json:"bytes"`
	State   State         `json:"state"`
}

// memory holds the contents of accelerator memory and the highest fencing number of an order;
// s.mu guards it.
type memory struct {
	entries      []*Model
	highestFence units.Fence
}

func (m *memory) reset(models []Model) {
	*m = memory{}
	for _, v := range models {
		v.State = Resident
		m.entries = append(m.entries, &v)
	}
}

func (m *memory) used() units.Bytes {
	var sum units.Bytes
	for _, e := range m.entries {
		sum += e.Bytes
	}
	return sum
}

func (m *memory) find(id units.ModelID, version int64) *Model {
	for _, e := range m.entries {
		if e.ID == id && e.Version == version {
			return e
		}
	}
	return nil
}

// resident returns the resident entry with the ID, of any version, or nil.
func (m *memory) resident(id units.ModelID) *Model {
	for _, e := range m.entries {
		if e.ID == id && e.State == Resident {
			return e
		}
	}
	return nil
}

// resolve returns the base model of the target (a model is its own base), and whether the
// target and the base model are resident.
func (m *memory) resolve(target units.ModelID) (units.ModelID, bool) {
	e := m.resident(target)
	if e == nil {
		return "", false
	}
	if e.Base == "" {
		return target, true
	}
	return e.Base, m.resident(e.Base) != nil
}

// neededByAdapters reports whether an adapter of the model is in memory and no other version
// of the model is resident.
func (m *memory) neededByAdapters(e *Model) bool {
	other := slices.ContainsFunc(m.entries, func(o *Model) bool {
		return o != e && o.ID == e.ID && o.State == Resident
	})
	adapter := slices.ContainsFunc(m.entries, func(o *Model) bool { return o.Base == e.ID && e.Base == "" })
	return adapter && !other
}

func (m *memory) remove(e *Model) {
	m.entries = slices.DeleteFunc(m.entries, func(o *Model) bool { return o == e })
}

// list returns the adapters or the models.
func (m *memory) list(adapters bool) []Model {
	list := make([]Model, 0, len(m.entries))
	for _, e := range m.entries {
		if (e.Base != "") == adapters {
			list = append(list, *e)
		}
	}
	return list
}
