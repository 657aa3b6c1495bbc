package entry

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// residencyChange is a load or unload ordered by the leader that the upstream's description may not
// show yet.
type residencyChange struct {
	upstream units.UpstreamID
	// processStart identifies the upstream's process, as fleet.Upstream.ProcessStart.
	processStart int64
	model        units.ModelID
	// adapter is empty if the model itself changes.
	adapter string
	// unloaded is set for an unload.
	unloaded bool
	// acceptedOrders is the number of orders that the upstream has accepted, including this one.
	acceptedOrders int64
	// at is when this gateway recorded the change.
	at clock.Time
	announcement
}

// announcement says how often the leader has announced a change to the other gateways.
type announcement struct {
	// ordered is set if this gateway has ordered the change.
	ordered       bool
	announcements int
	announcedAt   clock.Time
}

// takeDue reports whether the change has to be announced now, and records that it is.
func (a *announcement) takeDue(now clock.Time) bool {
	if !a.announcementDue(now) {
		return false
	}
	a.announcements++
	a.announcedAt = now
	return true
}

// announcementDue reports whether the change has to be announced now.
func (a *announcement) announcementDue(now clock.Time) bool {
	switch {
	case !a.ordered || a.announcements >= maxAnnouncements:
		return false
	case a.announcements == 0:
		return true
	default:
		return now.Sub(a.announcedAt) >= announceRepeatDelay
	}
}

// maxDescriptionDelay is the greatest age of a description at its receipt.
const maxDescriptionDelay = clock.Second

// removesModel reports whether the change is the unload of a model. Until that is done, which may take as long as a
// request runs, the upstream refuses requests for the model while its descriptions still list it.
func (r *residencyChange) removesModel() bool { return r.unloaded && r.adapter == "" }

// isNewerThan reports whether the change may be missing in a description only because the description is older.
func (r *residencyChange) isNewerThan(e *view.Entry) bool {
	return e.ReceivedAt.Sub(r.at) <= maxDescriptionDelay
}

// isShownBy reports whether a description of the same process shows that the unload of a model is done.
func (r *residencyChange) isShownBy(e *view.Entry) bool {
	return e.ProcessStart == r.processStart && !r.isNewerThan(e) && !e.Holds(r.model, "")
}

// apply returns the upstream's description with the change applied. A description of another
// process, or one received more than maxDescriptionDelay after the change, which shows it unless it
// removes a model, is returned as it is.
func (r *residencyChange) apply(e *view.Entry) *fleet.Upstream {
	u := e.Upstream
	if u.ProcessStart != r.processStart || !r.removesModel() && !r.isNewerThan(e) {
		return u
	}
	out := *u
	out.Models = make([]fleet.Resident, 0, len(u.Models)+1)
	for _, m := range u.Models {
		if m.Model == r.model {
			if r.adapter == "" && r.unloaded {
				continue
			}
			if r.adapter != "" {
				m.Adapters = removeAdapter(m.Adapters, r.adapter)
				if !r.unloaded {
					m.Adapters = append(m.Adapters, r.adapter)
				}
			}
		}
		out.Models = append(out.Models, m)
	}
	return &out
}

// removeAdapter returns a copy of adapters without removed.
func removeAdapter(adapters []string, removed string) []string {
	out := make([]string, 0, len(adapters)+1)
	for _, s := range adapters {
		if s != removed {
			out = append(out, s)
		}
	}
	return out
}
