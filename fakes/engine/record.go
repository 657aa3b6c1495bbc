package engine

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// maxRecords bounds the memory of long runs; runs are counted for all requests.
const maxRecords = 5000

// Outcome is how a request ended.
type Outcome string

// Outcomes; empty while the request waits or runs.
const (
	Completed Outcome = "done"
	Canceled  Outcome = "cancelled"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
)

// RequestRecord is the record of a request received.
type RequestRecord struct {
	Path   string        `json:"path"`
	Header http.Header   `json:"header"`
	Body   string        `json:"body"`
	Target units.ModelID `json:"target"`
	Prompt string        `json:"prompt"`
	// Hash is what the tokens of the answer carry.
	Hash string `json:"hash"`
	// Started tells whether the request has run.
	Started bool `json:"started"`
	// ResumeFrom is the index of the first token asked for, Tokens the number generated.
	ResumeFrom int     `json:"resume"`
	Tokens     int     `json:"tokens"`
	Outcome    Outcome `json:"outcome"`
}

// records needs s.mu.
type records struct {
	list []*RequestRecord
	runs map[string]int
}

func (c *records) add(r *RequestRecord) {
	c.list = append(c.list, r)
	if len(c.list) > 2*maxRecords {
		c.list = slices.Clone(c.list[len(c.list)-maxRecords:])
	}
}

func (c *records) start(r *RequestRecord) {
	r.Started = true
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[r.Hash]++
}

// Requests returns the records of the requests received, oldest first.
func (s *Server) Requests() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RequestRecord, 0, len(s.records.list))
	for _, r := range s.records.list {
		list = append(list, *r)
	}
	return list
}

// Runs returns how often a request for the target with the prompt has run.
func (s *Server) Runs(target units.ModelID, prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.runs[PromptHash(target, prompt)]
}

// Received reports whether the text occurred in the path, a header or the body of a
// request, such as a key of a customer.
func (s *Server) Received(text string) bool {
	for _, r := range s.Requests() {
		if strings.Contains(r.Path, text) || strings.Contains(r.Body, text) {
			return true
		}
		var b bytes.Buffer
		_ = r.Header.Write(&b) // a buffer takes all
		if strings.Contains(b.String(), text) {
			return true
		}
	}
	return false
}

// ClearRecords drops the records and counts of runs.
func (s *Server) ClearRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records{}
}
