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

// Prefix of the keys of all records.
const Prefix = "/once/"

// recordVersion is the version of the encoding. A reader refuses later ones.
const recordVersion = 1

var errVersion = errors.New("record has an unknown version")

// Record is what the store knows of one call. Without an answer the attempt has been
// started and its agent knows more.
type Record struct {
	Version  int              `json:"v"`
	Attempt  units.AttemptID  `json:"attempt"`
	Upstream units.UpstreamID `json:"upstream"`
	// Incarnation of the agent to which the attempt is sent. Another one can't tell
	// whether the attempt has run.
	Incarnation uint64    `json:"incarnation"`
	Fingerprint uint64    `json:"fingerprint"`
	Response    *Response `json:"answer,omitempty"`
}

// Response is the result of a call that is done.
type Response struct {
	Status int      `json:"status"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
	// BodyOmitted is set when the body was too large to be stored.
	BodyOmitted bool `json:"cut,omitempty"`
}

// Header is one field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Key returns the key of a record. Callers choose their keys freely, so the path
// holds a hash, which also hides the caller's key from readers of the store.
func Key(c units.CustomerID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(c) + "/" + hex.EncodeToString(sum[:])
}

func started(c *gate.OnceAttempt) Record {
	return Record{
		Version: recordVersion, Attempt: c.Attempt, Upstream: c.Upstream,
		Incarnation: c.Incarnation, Fingerprint: c.Fingerprint,
	}
}

// encode returns the value for the store. A body that the store does not hold is
// left out.
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

func answerOf(s *gate.StoredResponse) *Response {
	a := &Response{Status: s.Status, Body: s.Body, BodyOmitted: s.BodyOmitted}
	for _, h := range s.Header {
		a.Header = append(a.Header, Header{h.Name, h.Value})
	}
	return a
}

// ResponseOf returns the answer in the outcome that an agent has reported.
func ResponseOf(o *wire.Outcome) *Response {
	return answerOf(&gate.StoredResponse{Status: int(o.Status), Header: o.Header, Body: o.Body})
}

func (a *Response) stored() *gate.StoredResponse {
	s := &gate.StoredResponse{Status: a.Status, Body: a.Body, BodyOmitted: a.BodyOmitted}
	for _, h := range a.Header {
		s.Header = append(s.Header, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return s
}
