package assign

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// loadCrashLimit is the number of upstreams that ended while they loaded a model from which on the model is
	// not loaded for a time. Upstreams also end for other reasons, so that one is no verdict.
	loadCrashLimit = 2
	// commonCauseSpan is the time within which ends of several upstreams have one cause: loads of a suspect
	// model come one at a time.
	commonCauseSpan = 2 * clock.Second
	// firstLoadRetryDelay is the time from the verdict to the next load, which ends a wrong one soon. If that
	// upstream ends as well, the next load follows after loadRetryDelay, which doubles with each further one
	// up to maxLoadRetryDelay.
	firstLoadRetryDelay = 5 * clock.Second
	loadRetryDelay      = clock.Minute
	maxLoadRetryDelay   = clock.Hour
)

// modelKey identifies a model of a service.
type modelKey struct {
	service units.ServiceID
	model   units.ModelID
}

// loadCrashes is the number of upstreams that ended while they loaded a model, and when the last one did.
type loadCrashes struct {
	count int
	at    clock.Time
}

// crashHistory holds the models whose loads ended upstreams and that no upstream has loaded since.
type crashHistory map[modelKey]loadCrashes

// recordEnd records that an upstream ended while it loaded a model.
func (h crashHistory) recordEnd(now clock.Time, k modelKey) {
	c := h[k]
	if c.count == 0 || now.Sub(c.at) >= commonCauseSpan {
		c.count++
	}
	h[k] = loadCrashes{c.count, now}
}

// recordLoaded records that an upstream has loaded a model: ends of others had other causes.
func (h crashHistory) recordLoaded(k modelKey) { delete(h, k) }

// suspect reports whether the next load of a model may end the upstream, so that loads come one at a time.
func (h crashHistory) suspect(k modelKey) bool { return h[k].count > 0 }

// blocked reports whether a model must not be loaded now.
func (h crashHistory) blocked(now clock.Time, k modelKey) bool {
	c := h[k]
	switch {
	case c.count < loadCrashLimit:
		return false
	case c.count == loadCrashLimit:
		return now.Sub(c.at) < firstLoadRetryDelay
	}
	return now.Sub(c.at) < min(loadRetryDelay<<min(c.count-loadCrashLimit-1, 10), maxLoadRetryDelay)
}
