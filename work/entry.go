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
	// KeyPrefix is the prefix of the keys of entries and heartbeats.
	KeyPrefix = "/work/"
	// heartbeatPrefix is the prefix of the workers' heartbeat keys.
	heartbeatPrefix = KeyPrefix + "claims/"
	// entryVersion is the version of the stored format.
	entryVersion = 1
)

var errVersion = errors.New("unknown format version of an entry")

// ID identifies an entry.
type ID string

// WorkerID identifies a process that runs entries. It changes when a gateway restarts.
type WorkerID string

// State is the state of an entry in its life cycle.
type State string

// States of an entry. Done entries never change.
const (
	Queued  State = "queued"
	Running State = "running"
	Done    State = "done"
)

// Entry is a deferred request with its state, as stored.
type Entry struct {
	Version  int              `json:"v"`
	State    State            `json:"state"`
	Customer units.CustomerID `json:"customer"`
	// RetryUntil is the time from which a failed run is final, in Unix ms. It is wall-clock time
	// because another process may run the entry.
	RetryUntil int64 `json:"due"`
	// Worker is the process that has claimed the entry; empty unless it is running.
	Worker WorkerID `json:"holder,omitempty"`
	// FailedRuns counts the failed runs.
	FailedRuns int `json:"tries,omitempty"`
	// Job is nil when the entry is done.
	Job      *Job      `json:"job,omitempty"`
	Response *Response `json:"answer,omitempty"`
	// Failure is set instead of Response when the entry is done after a final failure.
	Failure *Failure `json:"failure,omitempty"`
}

// Job is the request to execute.
type Job struct {
	// Key is the API key that authorized the request.
	Key   units.KeyID `json:"key"`
	Class units.Class `json:"class"`
	// Weight is the customer's share of capacity relative to other customers.
	Weight uint32   `json:"weight"`
	Method string   `json:"method"`
	Path   string   `json:"path"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body"`
}

// Response is the response of the upstream.
type Response struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body"`
}

// Failure is the error that ended an entry.
type Failure struct {
	Code    units.Code `json:"code"`
	Message string     `json:"message"`
	// MayHaveRun is false only when no upstream received the request.
	MayHaveRun bool `json:"ran"`
}

// Header is one header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

func entryKey(id ID) string { return KeyPrefix + string(id) }

// idFromKey returns the ID in the key of an entry. It returns false for other keys, such as those
// of heartbeats.
func idFromKey(key string) (ID, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	return ID(rest), ok && rest != "" && !strings.Contains(rest, "/")
}

// newEntry returns a queued entry for the job. retryUntil is in Unix ms.
func newEntry(j *gate.Job, retryUntil int64) Entry {
	return Entry{
		Version: entryVersion, State: Queued, Customer: j.Caller.Customer, RetryUntil: retryUntil,
		Job: &Job{
			Key: j.Caller.Key, Class: j.Caller.Class, Weight: j.Caller.Weight,
			Method: j.Method, Path: j.Path, Header: headerFromWire(j.Header), Body: j.Body,
		},
	}
}

// gateJob returns the request of an entry that is not done.
func (e *Entry) gateJob() gate.Job {
	return gate.Job{
		Caller: gate.Caller{Customer: e.Customer, Key: e.Job.Key, Class: e.Job.Class, Weight: e.Job.Weight},
		Method: e.Job.Method, Path: e.Job.Path, Header: headerToWire(e.Job.Header), Body: e.Job.Body,
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

func headerFromWire(l []*wire.Header) []Header {
	fields := make([]Header, 0, len(l))
	for _, h := range l {
		fields = append(fields, Header{h.Name, h.Value})
	}
	return fields
}

func headerToWire(l []Header) []*wire.Header {
	fields := make([]*wire.Header, 0, len(l))
	for _, h := range l {
		fields = append(fields, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return fields
}
