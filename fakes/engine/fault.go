package engine

import (
	"net/http"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

type crashRequest struct {
	Millis clock.Span `json:"millis"`
}

type coldRequest struct {
	On bool `json:"on"`
}

// faultRoutes adds endpoints for tests that run the fake in a separate process.
func (s *Server) faultRoutes(m *http.ServeMux) {
	m.Handle("/fault", &s.faults)
	m.HandleFunc("POST /fault/crash", func(w http.ResponseWriter, r *http.Request) {
		var q crashRequest
		if !serve.ReadJSON(w, r, &q) {
			return
		}
		// Without a time limit, no HTTP request could end the crash.
		setDefault(&q.Millis, s.options.RestartDelay)
		s.Crash(q.Millis)
	})
	m.HandleFunc("POST /fault/cold", func(w http.ResponseWriter, r *http.Request) {
		var q coldRequest
		if serve.ReadJSON(w, r, &q) {
			s.SetCold(q.On)
		}
	})
	m.HandleFunc("POST /fault/forget", func(http.ResponseWriter, *http.Request) { s.ClearRecords() })
	m.HandleFunc("GET /fault/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	})
	m.HandleFunc("GET /fault/requests", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Requests())
	})
}
