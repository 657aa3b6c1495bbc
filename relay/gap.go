package relay

// recordGap tells the scheduler of events that are complete, as of the time of the last delivery.
func (a *attempt) recordGap(events int) {
	now, last := a.delivered.lastAt, a.lastEventAt
	a.lastEventAt = now
	if last == 0 {
		return
	}
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.Scheduler.RecordEvents(now, a.scheduled, events, now.Sub(last))
}

// recordLoad records what the response says of the load of its upstream.
func (a *attempt) recordLoad(res *response) {
	if !res.HasLoad || (res.Instance != "" && res.Instance != a.scheduled.Upstream.ID) {
		return
	}
	a.server.mu.Lock()
	defer a.server.mu.Unlock()
	a.server.Scheduler.RecordReport(a.server.Clock.Now(), a.scheduled, res.Load)
}
