package gate

import "github.com/magnolialever/magnolialever/units"

// SetDirectory replaces the directory, and cancels the requests whose keys it no longer contains.
func (s *Server) SetDirectory(d Directory) {
	s.directory.Store(&d)
	s.inFlight.each(s.checkKey)
}

// checkKey cancels the request when its key has been withdrawn.
func (s *Server) checkKey(q *request) {
	if q.unauthenticated {
		return
	}
	if c, ok := s.currentDirectory().Caller(q.keyHash); !ok || c.Customer != q.caller.Customer {
		q.cancel(&Problem{Code: units.KeyWithdrawn, Message: "the key has been withdrawn", MayHaveRun: true})
	}
}

// currentDirectory returns the directory in force.
func (s *Server) currentDirectory() Directory { return *s.directory.Load() }
