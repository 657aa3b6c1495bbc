package gate

import (
	"expvar"
	"net/http"
)

func (s *Server) adminHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, "ok\n")
	})
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.leaving.Load() {
			reply(w, http.StatusServiceUnavailable, "leaving\n")
			return
		}
		if f := s.options.AdmissionCheck; f != nil {
			if p := f(); p != nil {
				reply(w, http.StatusServiceUnavailable, string(p.Code)+"\n")
				return
			}
		}
		reply(w, http.StatusOK, "ready\n")
	})
	m.Handle("GET /debug/vars", expvar.Handler())
	return m
}

func reply(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text)) // the client may have gone
}
