package relay

import (
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
)

// requestVerdicts are the verdicts of a server on whole requests.
type requestVerdicts struct{ server *Server }

// Verdicts returns the verdicts on requests that crash upstreams, by their fingerprints.
func (s *Server) Verdicts() parts.Verdicts { return requestVerdicts{s} }

// Verdict implements parts.Verdicts.
func (v requestVerdicts) Verdict(id parts.ID) parts.Verdict {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	f := retry.Fingerprint(id)
	if !v.server.crashes.Rejects(v.server.Clock.Now(), f) {
		return parts.Verdict{Part: id, Request: true}
	}
	return verdictOn(f)
}

// Restore implements parts.Verdicts.
func (v requestVerdicts) Restore(known parts.Verdict) bool {
	v.server.mu.Lock()
	defer v.server.mu.Unlock()
	return v.server.crashes.Restore(v.server.Clock.Now(), retry.Fingerprint(known.Part))
}

// verdictOn returns the verdict on a request that is refused.
func verdictOn(f retry.Fingerprint) parts.Verdict {
	return parts.Verdict{Part: parts.ID(f), Request: true, Crashes: retry.CrashLimit}
}
