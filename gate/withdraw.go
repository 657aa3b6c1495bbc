package gate

import "github.com/magnolialever/magnolialever/units"

// SetDirectory replaces the snapshot of who may call what, and ends the requests
// of keys that it does not hold any more.
func (s *Server) SetDirectory(d Directory) {
	s.directory.Store(&d)
	s.running.each(s.recheck)
}

// recheck ends the request when its key has been withdrawn.
func (s *Server) recheck(q *request) {
	if q.open {
		return
	}
	if c, ok := s.snapshot().Caller(q.key); !ok || c.Customer != q.caller.Customer {
		q.cancel(&Problem{Code: units.KeyWithdrawn, Message: "the key has been withdrawn", MayHaveRun: true})
	}
}

func (s *Server) snapshot() Directory { return *s.directory.Load() }
