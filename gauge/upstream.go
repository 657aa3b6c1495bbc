package gauge

import (
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// Upstream is what was learned of one upstream.
type Upstream struct {
	service *Service
	// slots is the number of requests that the upstream says it runs at once.
	slots int
	// first, events and calls are the times to first events, between events and of plain calls, over those expected by the service.
	first, events, calls ratio
	// others is what other gateways have seen of the times between events.
	others     Stretch
	report     Report
	reportedAt clock.Time
	limit      limit
}

// Stretch is how much longer than expected the times between events at an upstream are, as a mean over a number of recent
// observations.
type Stretch struct{ Ratio, Weight float64 }

// Add returns the mean of two stretches.
func (s Stretch) Add(o Stretch) Stretch {
	if s.Weight+o.Weight <= 0 {
		return Stretch{}
	}
	return Stretch{(s.Ratio*s.Weight + o.Ratio*o.Weight) / (s.Weight + o.Weight), s.Weight + o.Weight}
}

// NewUpstream returns an upstream of which nothing is known but its service.
func NewUpstream(s *Service) *Upstream { return &Upstream{service: s} }

// Describe sets the service and the slots from the upstream's description.
func (u *Upstream) Describe(s *Service, slots int) { u.service, u.slots = s, max(slots, 1) }

// Service returns the service of the upstream.
func (u *Upstream) Service() *Service { return u.service }

// Restart forgets what was learned of the process before.
func (u *Upstream) Restart() { *u = Upstream{service: u.service, slots: u.slots} }

// minWeight is the weight of the service's mean beside what gateways have seen of an upstream.
const minWeight = 0.5

// Stretch returns what this gateway has seen.
func (u *Upstream) Stretch(now clock.Time) Stretch {
	return Stretch{u.events.value, u.events.weight(now)}
}

// SetOthers sets what other gateways have seen.
func (u *Upstream) SetOthers(s Stretch) { u.others = s }

// stretch returns the expected ratio of the times between events, by what all gateways have seen.
func (u *Upstream) stretch(now clock.Time) float64 {
	s := u.Stretch(now).Add(u.others).Add(Stretch{1, minWeight})
	return min(max(s.Ratio, minRatio), maxRatio)
}

// slowness returns by how much the upstream says that it is slower than usual.
func (u *Upstream) slowness(now clock.Time) float64 { return u.report.slownessAt(now, u.reportedAt) }

// Speed is how fast an engine works with a model at a time.
type Speed struct {
	curves *engineCurves
	// first and events are the ratios of its times over those of the service.
	first, events float64
}

// Speed returns how fast the upstream works with a model now.
func (u *Upstream) Speed(now clock.Time, m units.ModelID) Speed {
	stretch, slowness := u.stretch(now), u.slowness(now)
	return Speed{u.service.curves(m), u.first.current(now, stretch) * slowness, stretch * slowness}
}

// FirstEventMs returns the expected time to the first event of a prompt whose uncached part has to be read after a backlog of
// others, beside running requests.
func (v Speed) FirstEventMs(backlog, uncached units.Tokens, running int) float64 {
	return v.curves.first.at(firstFeatures(backlog+uncached, running)) * v.first
}

// PrefillRate returns the rate, in prompt tokens per millisecond, at which the upstream reads prompts.
func (v Speed) PrefillRate() float64 { return promptScale / (v.curves.first.weights[1] * v.first) }

// EventMs returns the expected time between two events of a stream beside running requests.
func (v Speed) EventMs(running int) float64 {
	return v.curves.event.at(eventFeatures(running)) * v.events
}

// PrefillRate returns the rate at which the upstream reads prompts of a model, or of any if m is empty.
func (u *Upstream) PrefillRate(now clock.Time, m units.ModelID) float64 {
	return u.Speed(now, m).PrefillRate()
}

// ServiceMs returns the expected time of a call of a plain service beside running requests.
func (u *Upstream) ServiceMs(now clock.Time, running int) float64 {
	return u.service.calls.at(callFeatures(running, u.limit.value(u.slots))) * u.calls.current(now, 1) * u.slowness(now)
}

// Limit returns how many requests of all gateways the upstream can run at once without becoming slow.
func (u *Upstream) Limit() int { return int(u.limit.value(u.slots)) }

// Known reports whether the times of recent answers of the upstream outweigh the mean of its service.
func (u *Upstream) Known(now clock.Time) bool {
	return max(u.first.weight(now), u.events.weight(now), u.calls.weight(now)) > minWeight
}

// Start is what the time of a request was expected from.
type Start struct {
	Model units.ModelID
	// Prefill is the backlog and the uncached part of the prompt.
	Prefill units.Tokens
	Running int
	// Slowness is what the upstream said of itself.
	Slowness float64
}

// Started returns what the time of a request that starts now is expected from.
func (u *Upstream) Started(now clock.Time, m units.ModelID, prefill units.Tokens, running int) Start {
	return Start{m, prefill, running, u.slowness(now)}
}

// RecordFirstEvent learns from the time to a first event.
func (u *Upstream) RecordFirstEvent(now clock.Time, s Start, took clock.Span) {
	c, x := u.service.learner(s.Model), firstFeatures(s.Prefill, s.Running)
	u.first.observe(now, float64(took)/(c.first.at(x)*s.Slowness))
	c.first.learn(x, float64(took))
	u.service.mean.first.learn(x, float64(took))
}

// RecordEvents learns from the mean time between some events of a stream.
func (u *Upstream) RecordEvents(now clock.Time, m units.ModelID, running int, meanMs float64) {
	c, x := u.service.learner(m), eventFeatures(running)
	u.events.observe(now, meanMs/c.event.at(x))
	c.event.learn(x, meanMs)
	u.service.mean.event.learn(x, meanMs)
}

// RecordCall learns from the time of a call of a plain service.
func (u *Upstream) RecordCall(now clock.Time, s Start, took clock.Span) {
	x := callFeatures(s.Running, float64(u.slots))
	idle := u.service.calls.weights[0] * s.Slowness
	u.limit.observe(now, u.slots, s.Running, float64(took)/idle)
	u.calls.observe(now, float64(took)/(u.service.calls.at(callFeatures(s.Running, u.limit.value(u.slots)))*s.Slowness))
	u.service.calls.learn(x, float64(took)/s.Slowness)
}
