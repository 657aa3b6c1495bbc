package gate

import (
	"expvar"
	"net/http"
)

// adminHandler returns the HTTP handler for health checks and metrics.
func (s *Server) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.draining.Load() {
			writeText(w, http.StatusServiceUnavailable, "leaving\n")
			return
		}
		if f := s.options.AdmissionCheck; f != nil {
			if p := f(); p != nil {
				writeText(w, http.StatusServiceUnavailable, string(p.Code)+"\n")
				return
			}
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	m.Handle("GET /debug/vars", expvar.Handler())
	return m
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the client may have disconnected
}
