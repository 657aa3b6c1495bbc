package sched

import (
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const (
	// fullSpan is how long an upstream that refused for lack of room is left alone.
	fullSpan = 60 * clock.Millisecond
	// firstDown is how long an upstream is left alone after a broken connection; it
	// doubles with each further one up to maxDown.
	firstDown = 250 * clock.Millisecond
	maxDown   = 2 * clock.Second
	// suspectCold is how long an upstream that could not be reached counts as cold
	// unless it describes itself again.
	suspectCold = 4 * clock.Second
	// coldWindow is the window of the limit of cold upstreams.
	coldWindow = clock.Second
	// absentSpan is how long a model that an upstream denied to hold is not asked for
	// there, unless the upstream describes itself again.
	absentSpan = 600 * clock.Millisecond
	// failWeight is the weight of one attempt in the share of failed ones.
	failWeight = 0.1
)

// upstream is what a gateway knows of one upstream beyond its description.
type upstream struct {
	id units.UpstreamID
	// running, tokens and backlog are the gateway's own requests, the tokens that they
	// need and the prompt tokens that wait to be read.
	running int
	tokens  units.Tokens
	backlog units.Tokens
	others  Load
	pace    pace
	// failed is the share of attempts that failed lately.
	failed float64
	down   clock.Time
	strike int
	full   clock.Time
	// warm is when the upstream stops to count as cold, as far as this gateway suspects.
	warm clock.Time
	// recent are the times of the requests of the last coldWindow.
	recent []clock.Time
	// absent are models that the upstream denied to hold, until when.
	absent map[held]clock.Time
	// replaced is set where another upstream has the address.
	replaced bool
	prefixes map[prefix]clock.Time
}

type held struct {
	model   units.ModelID
	adapter string
}

type prefix struct {
	held
	part string
}

func newUpstream(id units.UpstreamID) *upstream {
	return &upstream{
		id: id, pace: pace{factor: 1},
		absent: map[held]clock.Time{}, prefixes: map[prefix]clock.Time{},
	}
}

// described notes a new description; restarted is set where it is of a new process.
func (u *upstream) described(now clock.Time, e *view.Entry, restarted bool) {
	clear(u.absent)
	u.replaced = false
	if restarted {
		clear(u.prefixes)
		u.down, u.strike, u.failed = 0, 0, 0
		u.pace = pace{factor: 1}
	}
	if e.ColdFor == 0 && u.warm != 0 && now.Sub(u.warm.Add(-suspectCold)) > clock.Second {
		u.warm = 0
	}
}

func (u *upstream) sent(now clock.Time) {
	u.recent = slices.DeleteFunc(u.recent, func(at clock.Time) bool { return now.Sub(at) > coldWindow })
	u.recent = append(u.recent, now)
}

func (u *upstream) lately(now clock.Time) int {
	n := 0
	for _, at := range u.recent {
		if now.Sub(at) <= coldWindow {
			n++
		}
	}
	return n
}

// alive notes that the upstream answered.
func (u *upstream) alive() {
	u.strike = 0
	u.down = 0
}

func (u *upstream) ended(now clock.Time, k *Attempt, o Outcome) {
	switch o {
	case Served:
		u.alive()
		u.failed *= 1 - failWeight
	case Failed:
		u.alive()
		u.failed += (1 - u.failed) * failWeight
	case Full:
		u.alive()
		u.full = now.Add(fullSpan)
	case NotLoaded:
		u.absent[held{k.Model, k.Adapter}] = now.Add(absentSpan)
	case Replaced:
		u.replaced = true
	case Unreachable, Broken:
		u.broken(now)
	case Canceled:
	}
}

func (u *upstream) broken(now clock.Time) {
	u.failed += (1 - u.failed) * failWeight
	u.down = now.Add(min(firstDown<<min(u.strike, 4), maxDown))
	u.strike++
	u.warm = now.Add(suspectCold)
}

// maxPrefixes bounds the prompt parts remembered for an upstream.
const maxPrefixes = 512

func (u *upstream) remember(now clock.Time, m units.ModelID, adapter string, parts []fleet.PromptPart) {
	if len(u.prefixes) > maxPrefixes {
		clear(u.prefixes)
	}
	for _, p := range parts {
		u.prefixes[prefix{held{m, adapter}, p.ID}] = now
	}
}

// cached is the number of prompt tokens that the upstream has probably kept.
func (u *upstream) cached(m units.ModelID, adapter string, parts []fleet.PromptPart) units.Tokens {
	var n units.Tokens
	for _, p := range parts {
		if _, ok := u.prefixes[prefix{held{m, adapter}, p.ID}]; !ok {
			break
		}
		n += p.Tokens
	}
	return n
}

// pace is how much slower than expected an upstream begins its answers.
type pace struct {
	factor float64
}

const (
	paceWeight = 0.15
	minPace    = 0.3
	maxPace    = 10.0
)

// observe takes the time to the first event and the expected one, in milliseconds.
func (p *pace) observe(took, expected float64) {
	if expected <= 0 {
		return
	}
	ratio := min(max(took/expected*p.factor, minPace), maxPace)
	p.factor += (ratio - p.factor) * paceWeight
}
