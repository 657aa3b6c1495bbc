package engine

import (
	"bytes"
	"net/http"
	"slices"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

// maxRecords bounds the memory that records use in long tests: between 1 and 2 times as many
// are kept. Runs are counted for all requests.
const maxRecords = 5000

// Outcome tells how a request ended; it is empty while the request is queued or runs.
type Outcome string

// Outcomes.
const (
	Completed Outcome = "done"
	Canceled  Outcome = "cancelled"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
)

// RequestRecord is the record of a received request.
type RequestRecord struct {
	Path   string        `json:"path"`
	Header http.Header   `json:"header"`
	Body   string        `json:"body"`
	Target units.ModelID `json:"target"`
	Prompt string        `json:"prompt"`
	// Hash is the prefix of each token of the response, see PromptHash.
	Hash string `json:"hash"`
	// Started reports whether the request left the queue and ran.
	Started bool `json:"started"`
	// ResumeFrom is the index of the first requested token, Tokens the number of generated
	// ones.
	ResumeFrom int     `json:"resume"`
	Tokens     int     `json:"tokens"`
	Outcome    Outcome `json:"outcome"`
}

// records holds the latest requests and the number of runs by hash; s.mu guards it.
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

func (c *records) recordStart(r *RequestRecord) {
	r.Started = true
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[r.Hash]++
}

// Requests returns the records of the latest requests, oldest first.
func (s *Server) Requests() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]RequestRecord, 0, len(s.records.list))
	for _, r := range s.records.list {
		list = append(list, *r)
	}
	return list
}

// Runs returns the number of times that a request for the target with the prompt has run.
func (s *Server) Runs(target units.ModelID, prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.runs[PromptHash(target, prompt)]
}

// Received reports whether the path, a header or the body of a recorded request contains the
// text. Tests check with it that API keys of customers aren't forwarded.
func (s *Server) Received(text string) bool {
	for _, r := range s.Requests() {
		if strings.Contains(r.Path, text) || strings.Contains(r.Body, text) {
			return true
		}
		var b bytes.Buffer
		_ = r.Header.Write(&b) // a bytes.Buffer never fails
		if strings.Contains(b.String(), text) {
			return true
		}
	}
	return false
}

// ClearRecords drops the records and the numbers of runs.
func (s *Server) ClearRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records{}
}
