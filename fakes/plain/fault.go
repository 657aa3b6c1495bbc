package plain

import (
	"net/http"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

type crashRequest struct {
	Millis clock.Span `json:"millis"`
}

// RunCounts is the response of GET /fault/runs. Repeated holds the IDs of calls that have run
// more than once, sorted.
type RunCounts struct {
	// Runs is the number of runs of the call whose ID is in the query parameter "id".
	Runs     int      `json:"runs"`
	Repeated []string `json:"repeated"`
	Crashes  int      `json:"crashes"`
}

// faultRoutes adds endpoints for tests that run the fake in a separate process.
func (s *Server) faultRoutes(m *http.ServeMux) {
	m.HandleFunc("POST /fault/crash", func(w http.ResponseWriter, r *http.Request) {
		var req crashRequest
		if !serve.ReadJSON(w, r, &req) {
			return
		}
		if req.Millis == 0 {
			// Without a time limit, no HTTP request could end the crash.
			req.Millis = s.options.RestartDelay
		}
		s.Crash(req.Millis)
	})
	m.HandleFunc("GET /fault/runs", func(w http.ResponseWriter, r *http.Request) {
		v := RunCounts{Runs: s.Runs(r.URL.Query().Get("id")), Repeated: s.Repeated(), Crashes: s.Crashes()}
		serve.WriteJSON(w, http.StatusOK, v)
	})
	m.HandleFunc("GET /fault/calls", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Calls())
	})
}
