package agent

import "github.com/magnolialever/magnolialever/config"

// Settings is the content of the settings file upstream.json.
type Settings struct {
	Upstream
	// AllowFree admits calls of cost zero without a permit. Agents of services always admit
	// them.
	AllowFree bool   `json:"free"`
	Limits    Limits `json:"limits"`
}

// Check calls report with the JSON path and the problem of each missing or invalid field.
func (s *Settings) Check(report func(path, problem string)) {
	switch {
	case s.Kind != Engine && s.Kind != Service:
		report("kind", "must be engine or service")
	case s.Kind == Engine && s.Capacity <= 0:
		report("capacity", "must be the accelerator memory in bytes")
	case s.Kind == Service && len(s.Services) == 0:
		report("services", "must name at least one service")
	}
	config.CheckAddress("address", s.Address, report)
	s.Limits.check(report)
}

// check reports negative limits.
func (l *Limits) check(report func(path, problem string)) {
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"running", int64(l.Running)},
		{"queued_per_customer", int64(l.QueuedPerCustomer)},
		{"queued_bytes_per_customer", int64(l.QueuedBytesPerCustomer)},
		{"body_bytes", int64(l.BodyBytes)},
		{"requests", int64(l.Requests)},
		{"sessions", int64(l.Sessions)},
		{"start_allowance", int64(l.ColdStartRequests)},
		{"stop", int64(l.StopTimeout)},
		{"poll", int64(l.PollInterval)},
	} {
		if f.value < 0 {
			report("limits."+f.name, "must not be negative; 0 takes the default")
		}
	}
}
