package agent

import (
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// Bounds of the configuration that an agent relays.
const (
	maxTeams       = 1024
	maxConfigBytes = 2 << 20
)

// configs holds the newest value of each team. The agent does not read them.
type configs struct {
	teams map[string]*wire.Config
}

// update takes a value and reports whether it is newer.
func (c *configs) update(v *wire.Config) bool {
	old := c.teams[v.Team]
	if old != nil && v.Revision <= old.Revision {
		return false
	}
	if len(v.Value) > maxConfigBytes || old == nil && len(c.teams) >= maxTeams {
		stats.Event("config_refused")
		return false
	}
	if c.teams == nil {
		c.teams = map[string]*wire.Config{}
	}
	c.teams[v.Team] = v
	return true
}

// newer returns the values that the sender of the versions lacks, and whether the
// sender has values that are missing here.
func (c *configs) newer(v *wire.Versions) (lacking []*wire.Config, missing bool) {
	theirs := map[string]int64{}
	for _, t := range v.Version {
		theirs[t.Team] = t.Revision
		own := c.teams[t.Team]
		missing = missing || own == nil || own.Revision < t.Revision
	}
	for team, own := range c.teams {
		if own.Revision > theirs[team] {
			lacking = append(lacking, own)
		}
	}
	return lacking, missing
}

func (c *configs) versions() []*wire.Version {
	v := make([]*wire.Version, 0, len(c.teams))
	for _, own := range c.teams {
		v = append(v, &wire.Version{Team: own.Team, Revision: own.Revision})
	}
	return v
}
