package rate

import "github.com/magnolialever/magnolialever/clock"

// ClockSample relates the clock of an agent to that of the gateway, by the last Pong.
type ClockSample struct {
	agent clock.Time
	heard clock.Time
}

// NewClockSample records that a Pong with the agent's time was received now.
func NewClockSample(now, agent clock.Time) ClockSample { return ClockSample{agent: agent, heard: now} }

// driftPermille is what remains of a span when the agent's clock is 1 % slow and
// the gateway's 1 % fast.
const driftPermille = 980

// AgentExpiry translates a moment of the gateway's clock to the agent's. The result is
// never late: the agent had reached the stamp before the Pong was received.
func (s ClockSample) AgentExpiry(t clock.Time) clock.Time {
	// One millisecond less, because the time of the receipt is rounded down.
	left := t.Sub(s.heard) - 1
	if left < 0 {
		return s.agent + clock.Time(left)*2
	}
	return s.agent.Add(left * driftPermille / 1000)
}

// Valid tells whether a Pong was received.
func (s ClockSample) Valid() bool { return s.heard != 0 }
