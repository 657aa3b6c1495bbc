package work

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// KeyPrefix of the keys of entries and claims.
	KeyPrefix = "/work/"
	// claimPrefix is the prefix of the claims of gateways.
	claimPrefix = KeyPrefix + "claims/"
	// entryVersion is the version of the encoding.
	entryVersion = 1
)

var errVersion = errors.New("entry has an unknown version")

// ID names an entry.
type ID string

// WorkerID names a process that runs entries. A restarted gateway has another one.
type WorkerID string

// State is the state of an entry.
type State string

// States of an entry. Done entries never change.
const (
	Queued  State = "queued"
	Running State = "running"
	Done    State = "done"
)

// Entry is one piece of deferred work as stored.
type Entry struct {
	Version  int              `json:"v"`
	State    State            `json:"state"`
	Customer units.CustomerID `json:"customer"`
	// RetryUntil is when the entry is given up after a failure, in ms since 1970. Only the
	// calendar lasts longer than the process that accepted the entry.
	RetryUntil int64 `json:"due"`
	// Worker runs the entry.
	Worker WorkerID `json:"holder,omitempty"`
	// FailedRuns counts failures.
	FailedRuns int       `json:"tries,omitempty"`
	Job        *Job      `json:"job,omitempty"`
	Response   *Response `json:"answer,omitempty"`
	// Failure is the answer of an entry that was given up.
	Failure *Failure `json:"failure,omitempty"`
}

// Job is the request of an entry.
type Job struct {
	Key    units.KeyID `json:"key"`
	Class  units.Class `json:"class"`
	Weight uint32      `json:"weight"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header []Header    `json:"header,omitempty"`
	Body   []byte      `json:"body"`
}

// Response is the answer of a model.
type Response struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body"`
}

// Failure is why an entry was given up.
type Failure struct {
	Code       units.Code `json:"code"`
	Message    string     `json:"message"`
	MayHaveRun bool       `json:"ran"`
}

// Header is one header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func key(id ID) string { return KeyPrefix + string(id) }

// idOf returns the id in the key of an entry.
func idOf(key string) (ID, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	return ID(rest), ok && rest != "" && !strings.Contains(rest, "/")
}

func newEntry(j *gate.Job, due int64) Entry {
	return Entry{
		Version: entryVersion, State: Queued, Customer: j.Caller.Customer, RetryUntil: due,
		Job: &Job{
			Key: j.Caller.Key, Class: j.Caller.Class, Weight: j.Caller.Weight,
			Method: j.Method, Path: j.Path, Header: fromWire(j.Header), Body: j.Body,
		},
	}
}

// job returns the request of the entry.
func (e *Entry) job() gate.Job {
	return gate.Job{
		Caller: gate.Caller{Customer: e.Customer, Key: e.Job.Key, Class: e.Job.Class, Weight: e.Job.Weight},
		Method: e.Job.Method, Path: e.Job.Path, Header: toWire(e.Job.Header), Body: e.Job.Body,
	}
}

func (e *Entry) encode() ([]byte, error) {
	b, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	return b, nil
}

func decode(b []byte) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(b, &e); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", err)
	}
	if e.Version != entryVersion {
		return Entry{}, fmt.Errorf("version %d: %w", e.Version, errVersion)
	}
	return e, nil
}

func fromWire(l []*wire.Header) []Header {
	fields := make([]Header, 0, len(l))
	for _, h := range l {
		fields = append(fields, Header{h.Name, h.Value})
	}
	return fields
}

func toWire(l []Header) []*wire.Header {
	fields := make([]*wire.Header, 0, len(l))
	for _, h := range l {
		fields = append(fields, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return fields
}
