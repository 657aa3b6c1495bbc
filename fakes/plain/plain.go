// Package plain is a fake of a plain HTTP service, some of whose calls aren't idempotent.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/serve"
)

// CallHeader is the request header with the ID of a call. Requests with the same ID are runs
// of one call.
const CallHeader = "X-Call-Id"

// maxRecords bounds the memory that recorded calls use in long tests: between 1 and 2 times as
// many are kept. Runs are counted for all calls.
const maxRecords = 5000

// Options configure a Server.
type Options struct {
	// Address to listen on; empty means a free port of 127.0.0.1.
	Address string
	// CallTime is the duration of a call.
	CallTime clock.Span
	// CrashMarker is a text in a request body that crashes the service; empty means none.
	CrashMarker string
	// RestartDelay is the downtime after a crash by CrashMarker, 500 ms by default.
	RestartDelay clock.Span
}

// LongBodyBytes is the least length of the body of a call that Faults.ResetUploads counts.
const LongBodyBytes = 256 << 10

const defaultRestart = 500 * clock.Millisecond

// Faults are the injectable faults.
type Faults struct {
	// LoseResponses is the number of following calls whose responses are lost after they ran.
	LoseResponses int `json:"lose_answers"`
	// LoseCalls is the number of following calls whose connections are closed before they run.
	LoseCalls int `json:"lose_calls"`
	// FailCalls is the number of following calls that fail with status 500 before they run.
	FailCalls int `json:"fail_calls"`
	// UnsizedResponses is the number of following calls whose responses have no length and end with the connection.
	UnsizedResponses int `json:"unsized_answers"`
	// ResetResponses is the number of following calls whose responses have no length and are cut by a reset after ResetAfter
	// bytes, ResetSilence ms after these.
	ResetResponses int        `json:"reset_answers"`
	ResetAfter     int        `json:"reset_after"`
	ResetSilence   clock.Span `json:"reset_silence"`
	// ResetUploads is the number of following calls with a body of at least LongBodyBytes whose responses have no length,
	// begin before the body is read and are cut by a reset after ResetAfter bytes when half of the body was read.
	ResetUploads int `json:"reset_uploads"`
	// DelayMillis is added to the duration of each call.
	DelayMillis clock.Span `json:"delay_millis"`
}

// Call is the record of a received call. Ran is false if the call failed before it ran.
type Call struct {
	ID     string      `json:"id"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Ran    bool        `json:"ran"`
}

// Response is the body of each response. It contains the call, so that tests detect responses
// that were delivered to the wrong client.
type Response struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// Run is the number of runs of the call, this one included.
	Run int `json:"run"`
}

// Server is the fake.
type Server struct {
	options Options
	serve.Base[Faults]

	mu      sync.Mutex
	calls   []*Call
	runs    map[string]int
	crashes int
}

// New opens the listener; Run serves it.
func New(o Options) (*Server, error) {
	if o.RestartDelay == 0 {
		o.RestartDelay = defaultRestart
	}
	s := &Server{options: o, runs: make(map[string]int)}
	m := http.NewServeMux()
	m.HandleFunc("/", s.serveCall)
	s.faultRoutes(m)
	if err := s.Listen("plain service", o.Address, m); err != nil {
		return nil, err
	}
	return s, nil
}

// Crash closes the listener and all connections, and restarts after the downtime. With a
// downtime of 0 the server stays down until Restart is called. Records and counts survive,
// like the database of a service.
func (s *Server) Crash(downtime clock.Span) {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	s.HTTPServer().Crash(downtime)
}

// Restart ends a crash early.
func (s *Server) Restart() { s.HTTPServer().Restart() }

// Runs returns the number of runs of the call with the ID.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Repeated returns the IDs of calls that have run more than once, sorted.
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

// Calls returns the records of the latest calls, oldest first.
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

// Received reports whether the path, a header or the body of a recorded call contains the
// text.
func (s *Server) Received(text string) bool {
	for _, c := range s.Calls() {
		var b strings.Builder
		_ = c.Header.Write(&b) // a strings.Builder never fails
		if strings.Contains(b.String()+c.Path+c.Body, text) {
			return true
		}
	}
	return false
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength >= LongBodyBytes && s.Consume(func(f *Faults) *int { return &f.ResetUploads }) {
		s.resetUpload(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, serve.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := s.recordCall(r, body)
	if m := s.options.CrashMarker; m != "" && strings.Contains(c.Body, m) {
		s.Crash(s.options.RestartDelay)
		serve.Abort()
	}
	if s.Consume(func(f *Faults) *int { return &f.LoseCalls }) {
		serve.Abort()
	}
	if s.Consume(func(f *Faults) *int { return &f.FailCalls }) {
		http.Error(w, "injected fault", http.StatusInternalServerError)
		return
	}
	a := s.countRun(c)
	// The sleep ignores the request's context: the call has run, even if its client
	// disconnects.
	time.Sleep((s.options.CallTime + s.Faults().DelayMillis).Duration())
	if s.Consume(func(f *Faults) *int { return &f.LoseResponses }) {
		serve.Abort()
	}
	switch {
	case s.Consume(func(f *Faults) *int { return &f.UnsizedResponses }):
		serve.EndByConnection(w)
		serve.WriteJSON(w, http.StatusOK, a)
	case s.Consume(func(f *Faults) *int { return &f.ResetResponses }):
		c, _ := serve.TakeConn(w)
		defer c.Close()
		writeBegin(c, a, s.Faults().ResetAfter)
		time.Sleep(s.Faults().ResetSilence.Duration())
	default:
		serve.WriteJSON(w, http.StatusOK, a)
	}
}

// writeBegin writes up to so many bytes of a response without a length, and never the whole one.
func writeBegin(w io.Writer, a Response, bytes int) {
	data, err := json.Marshal(a)
	if err != nil {
		panic(err) // a Response can always be marshaled
	}
	// The client may have disconnected.
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s", data[:min(bytes, len(data)-1)])
}

// resetUpload begins the response to a call before its body is read, and resets the connection amid the body.
func (s *Server) resetUpload(w http.ResponseWriter, r *http.Request) {
	c, body := serve.TakeConn(w)
	defer c.Close()
	writeBegin(c, s.countRun(s.recordCall(r, nil)), s.Faults().ResetAfter)
	_, _ = io.CopyN(io.Discard, body, r.ContentLength/2) // the client may have disconnected
}

func (s *Server) recordCall(r *http.Request, body []byte) *Call {
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

func (s *Server) countRun(c *Call) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Ran = true
	s.runs[c.ID]++
	return Response{ID: c.ID, Method: c.Method, Path: c.Path, Body: c.Body, Run: s.runs[c.ID]}
}
