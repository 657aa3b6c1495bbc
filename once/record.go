package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/gate"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Prefix is the prefix of the store keys of all records.
const Prefix = "/once/"

// recordVersion is the version of the encoding. Records with another version are rejected.
const recordVersion = 1

var errVersion = errors.New("record has an unknown version")

// Record is the stored state of one call. Without a response, the attempt may have run and
// the agent of the upstream can report its outcome.
type Record struct {
	Version  int              `json:"v"`
	Attempt  units.AttemptID  `json:"attempt"`
	Upstream units.UpstreamID `json:"upstream"`
	// Incarnation is that of the agent to which the attempt is sent. A later incarnation of
	// the agent can't report whether the attempt has run.
	Incarnation uint64 `json:"incarnation"`
	// Fingerprint distinguishes repeats of the call from other calls with the same key.
	Fingerprint uint64    `json:"fingerprint"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is the response to a completed call.
type Response struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// BodyOmitted is set when the response was too large to be kept: the body is missing, and
	// the header may be.
	BodyOmitted bool `json:"cut,omitempty"`
}

// Header is one header field of a Response.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Key returns the store key of the record for a customer's Idempotency-Key. It contains a
// SHA-256 hash of the Idempotency-Key, which may contain any characters; the hash also hides
// it from readers of the store.
func Key(c units.CustomerID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(c) + "/" + hex.EncodeToString(sum[:])
}

// startedRecord returns the record of an attempt without a response.
func startedRecord(c *gate.OnceAttempt) Record {
	return Record{
		Version: recordVersion, Attempt: c.Attempt, Upstream: c.Upstream,
		Incarnation: c.Incarnation, Fingerprint: c.Fingerprint,
	}
}

// encode returns the value for the store. If that exceeds store.MaxValueBytes, the response
// is reduced to its status.
func (r Record) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err == nil && len(b) > store.MaxValueBytes && r.Response != nil {
		r.Response = &Response{Status: r.Response.Status, BodyOmitted: true}
		b, err = json.Marshal(r)
	}
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// decode returns the record in a value of the store.
func decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if r.Version != recordVersion {
		return Record{}, fmt.Errorf("version %d: %w", r.Version, errVersion)
	}
	return r, nil
}

// newResponse converts a response from the form of package gate.
func newResponse(s *gate.StoredResponse) *Response {
	r := &Response{Status: s.Status, Body: s.Body, BodyOmitted: s.BodyOmitted}
	for _, h := range s.Header {
		r.Header = append(r.Header, Header{h.Name, h.Value})
	}
	return r
}

// ResponseOf returns the response in an outcome that an agent has reported.
func ResponseOf(outcome *wire.Outcome) *Response {
	return newResponse(&gate.StoredResponse{Status: int(outcome.Status), Header: outcome.Header, Body: outcome.Body})
}

// stored converts the response to the form of package gate.
func (r *Response) stored() *gate.StoredResponse {
	s := &gate.StoredResponse{Status: r.Status, Body: r.Body, BodyOmitted: r.BodyOmitted}
	for _, h := range r.Header {
		s.Header = append(s.Header, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return s
}
