package plain

import (
	"net/http"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

type crashRequest struct {
	Millis clock.Span `json:"millis"`
}

// RunCounts is the answer of GET /fault/runs.
type RunCounts struct {
	// Runs is how often the call named in the query parameter "id" has run.
	Runs     int      `json:"runs"`
	Repeated []string `json:"repeated"`
	Crashes  int      `json:"crashes"`
}

// faultRoutes adds the methods of the server that tests of separate processes
// need.
func (s *Server) faultRoutes(m *http.ServeMux) {
	m.HandleFunc("POST /fault/crash", func(w http.ResponseWriter, r *http.Request) {
		var q crashRequest
		if !serve.ReadJSON(w, r, &q) {
			return
		}
		if q.Millis == 0 {
			// Over HTTP nothing could end a crash without a time limit.
			q.Millis = s.options.RestartDelay
		}
		s.Crash(q.Millis)
	})
	m.HandleFunc("GET /fault/runs", func(w http.ResponseWriter, r *http.Request) {
		v := RunCounts{Runs: s.Runs(r.URL.Query().Get("id")), Repeated: s.Repeated(), Crashes: s.Crashes()}
		serve.WriteJSON(w, http.StatusOK, v)
	})
	m.HandleFunc("GET /fault/calls", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Calls())
	})
}
