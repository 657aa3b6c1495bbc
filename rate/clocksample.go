package rate

import "github.com/magnolialever/magnolialever/clock"

// ClockSample relates an agent's clock to the local one by the last Pong.
type ClockSample struct {
	agentTime  clock.Time
	receivedAt clock.Time
}

// NewClockSample records that a Pong with the agent's time was received at the local time now.
func NewClockSample(now, agentTime clock.Time) ClockSample {
	return ClockSample{agentTime: agentTime, receivedAt: now}
}

// driftMarginPermille is the part of a span that is left if the agent's clock is 1 % slow and
// the gateway's 1 % fast.
const driftMarginPermille = 980

// AgentExpiry converts a local time to the agent's clock. The result is never too late,
// because the agent's clock had reached agentTime before the Pong was received.
func (s ClockSample) AgentExpiry(t clock.Time) clock.Time {
	// One millisecond is subtracted because the time of receipt is rounded down.
	remaining := t.Sub(s.receivedAt) - 1
	if remaining < 0 {
		return s.agentTime + clock.Time(remaining)*2
	}
	return s.agentTime.Add(remaining * driftMarginPermille / 1000)
}

// Valid reports whether a Pong was received.
func (s ClockSample) Valid() bool { return s.receivedAt != 0 }
