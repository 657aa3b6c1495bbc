package gate

import (
	"sync"

	"github.com/magnolialever/magnolialever/wire"
)

// Configs holds the newest value of each team, to be exchanged with agents and
// other gateways. It is called by many goroutines.
type Configs interface {
	Versions() *wire.Versions
	// Newer returns the values that the sender of the versions lacks.
	Newer(v *wire.Versions) []*wire.Config
	// Apply takes a value and reports whether it is newer than what was known.
	Apply(c *wire.Config) bool
}

// Newest is a Configs that keeps values in memory without reading them.
type Newest struct {
	mu     sync.Mutex
	values map[string]*wire.Config
}

// Versions implements Configs.
func (n *Newest) Versions() *wire.Versions {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := &wire.Versions{Confirmed: -1}
	for _, c := range n.values {
		v.Version = append(v.Version, &wire.Version{Team: c.Team, Revision: c.Revision})
	}
	return v
}

// Newer implements Configs.
func (n *Newest) Newer(v *wire.Versions) []*wire.Config {
	known := map[string]int64{}
	for _, t := range v.Version {
		known[t.Team] = t.Revision
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var newer []*wire.Config
	for _, c := range n.values {
		if c.Revision > known[c.Team] {
			newer = append(newer, c)
		}
	}
	return newer
}

// Apply implements Configs.
func (n *Newest) Apply(c *wire.Config) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.values[c.Team]; old != nil && old.Revision >= c.Revision {
		return false
	}
	if n.values == nil {
		n.values = map[string]*wire.Config{}
	}
	n.values[c.Team] = c
	return true
}
