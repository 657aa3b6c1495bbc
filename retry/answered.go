package retry

import "github.com/magnolialever/magnolialever/clock"

const (
	// answeredSpan is the time for which an answer to a request speaks for it. It bounds the crashes by a request that a new
	// release of an upstream can't bear and an earlier one has answered.
	answeredSpan = 10 * clock.Second
	// maxAnswered bounds the requests of one generation.
	maxAnswered = 4096
)

// answeredRequests remembers the requests that upstreams have answered lately. It keeps two generations, each of answeredSpan
// or maxAnswered requests, so that none has to be removed by itself. Its zero value is empty.
type answeredRequests struct {
	current, previous map[Fingerprint]clock.Time
	beganAt           clock.Time
}

// add records an answer.
func (a *answeredRequests) add(now clock.Time, f Fingerprint) {
	if a.current == nil || now.Sub(a.beganAt) >= answeredSpan || len(a.current) >= maxAnswered {
		a.current, a.previous, a.beganAt = map[Fingerprint]clock.Time{}, a.current, now
	}
	a.current[f] = now
}

// has reports whether the request was answered within answeredSpan.
func (a *answeredRequests) has(now clock.Time, f Fingerprint) bool {
	at, ok := a.current[f]
	if !ok {
		at, ok = a.previous[f]
	}
	return ok && now.Sub(at) < answeredSpan
}
