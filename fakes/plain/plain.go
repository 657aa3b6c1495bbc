// Package plain is a stand-in for a plain HTTP service, some of whose calls must
// not be repeated.
package plain

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// CallHeader names the call in tests; the stand-in counts runs by its value.
const CallHeader = "X-Call-Id"

// maxRecords bounds the memory of long runs; runs are counted for all calls.
const maxRecords = 5000

// Options configure a Server.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// CallTime is what a call takes.
	CallTime clock.Span
	// CrashMarker in a body crashes the service; empty means none.
	CrashMarker string
	// RestartDelay is how long it is down after a crash by Marker, 500 ms by default.
	RestartDelay clock.Span
}

const defaultRestart = 500 * clock.Millisecond

// Faults are the switchable faults.
type Faults struct {
	// LoseResponses is the number of next calls whose answers are lost after they ran.
	LoseResponses int `json:"lose_answers"`
	// LoseCalls is the number of next calls that are cut before they run.
	LoseCalls int `json:"lose_calls"`
	// FailCalls is the number of next calls answered with 500 before they run.
	FailCalls int `json:"fail_calls"`
	// DelayMillis is added to the time of each call.
	DelayMillis clock.Span `json:"delay_millis"`
}

// Call is the record of a call received.
type Call struct {
	ID     string      `json:"id"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Ran    bool        `json:"ran"`
}

// Response is the body of each answer; it repeats the call so that crossed answers
// are noticed.
type Response struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run is how often the call has run.
	Run int `json:"run"`
}

// Server is the stand-in.
type Server struct {
	options Options
	serve.Base[Faults]

	mu      sync.Mutex
	calls   []*Call
	runs    map[string]int
	crashes int
}

// New opens the listener.
func New(o Options) (*Server, error) {
	if o.RestartDelay == 0 {
		o.RestartDelay = defaultRestart
	}
	s := &Server{options: o, runs: make(map[string]int)}
	m := http.NewServeMux()
	m.HandleFunc("/", s.serve)
	s.faultRoutes(m)
	if err := s.Listen("plain service", o.Address, m); err != nil {
		return nil, err
	}
	return s, nil
}

// Crash cuts all connections and comes back after the span; with a span of 0 it
// stays down until Restart. What calls did is kept, as in a data base.
func (s *Server) Crash(down clock.Span) {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.HTTPServer().Crash(down)
}

// Restart ends a crash without a time limit.
func (s *Server) Restart() { s.HTTPServer().Restart() }

// Runs returns how often the call with the id has run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Repeated returns the ids of calls that have run more than once, sorted.
func (s *Server) Repeated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := []string{}
	for id, n := range s.runs {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Calls returns the records of the calls received, oldest first.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Call, 0, len(s.calls))
	for _, c := range s.calls {
		list = append(list, *c)
	}
	return list
}

// Crashes returns the number of crashes.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Received reports whether the text occurred in the path, a header or the body of a call.
func (s *Server) Received(text string) bool {
	for _, c := range s.Calls() {
		var b strings.Builder
		_ = c.Header.Write(&b) // a builder takes all
		if strings.Contains(b.String()+c.Path+c.Body, text) {
			return true
		}
	}
	return false
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := s.record(r, body)
	if m := s.options.CrashMarker; m != "" && strings.Contains(c.Body, m) {
		s.Crash(s.options.RestartDelay)
		serve.Abort()
	}
	if s.take(func(f *Faults) *int { return &f.LoseCalls }) {
		serve.Abort()
	}
	if s.take(func(f *Faults) *int { return &f.FailCalls }) {
		http.Error(w, "fault was switched on", http.StatusInternalServerError)
		return
	}
	a := s.run(c)
	// The call has run; a caller that leaves does not change that.
	time.Sleep((s.options.CallTime + s.Faults().DelayMillis).Duration())
	if s.take(func(f *Faults) *int { return &f.LoseResponses }) {
		serve.Abort()
	}
	serve.WriteJSON(w, http.StatusOK, a)
}

func (s *Server) record(r *http.Request, body []byte) *Call {
	c := &Call{
		ID: r.Header.Get(CallHeader), Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(),
		Body: string(body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	if len(s.calls) > 2*maxRecords {
		s.calls = slices.Clone(s.calls[len(s.calls)-maxRecords:])
	}
	return c
}

func (s *Server) run(c *Call) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Ran = true
	s.runs[c.ID]++
	return Response{ID: c.ID, Method: c.Method, Path: c.Path, Body: c.Body, Run: s.runs[c.ID]}
}

// take reports whether one of the counted faults is due.
func (s *Server) take(field func(*Faults) *int) bool {
	due := false
	s.Update(func(f *Faults) {
		if n := field(f); *n > 0 {
			*n--
			due = true
		}
	})
	return due
}
