package gate

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Kinds of targets in wire.Call.
const (
	kindModel   = "model"
	kindService = "service"
)

// request is one request of a caller; it may take several attempts.
type request struct {
	query  RequestInfo
	caller Caller
	kind   string
	method string
	path   string
	header []*wire.Header
	body   []byte
	// stream is set when the caller asked for events.
	stream  bool
	arrived clock.Time
	// key is the hash of the caller's key; open requests have none.
	key  KeyHash
	open bool
	// once is the Idempotency-Key of a call that must not be repeated.
	once   string
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func fingerprint(c units.CustomerID, target string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(c))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// call returns the message that starts an attempt.
func (q *request) call(id units.AttemptID, now clock.Time, permit *wire.Permit, resume int64) *wire.Call {
	return &wire.Call{
		Attempt:     string(id),
		Customer:    string(q.query.Customer),
		Target:      q.query.Target,
		Class:       uint32(q.query.Class),
		Kind:        q.kind,
		Cost:        int64(q.query.Cost),
		Permit:      permit,
		Timeout:     int64(max(q.query.Deadline.Sub(now), 1)),
		Method:      q.method,
		Path:        q.path,
		Header:      q.header,
		Body:        q.body,
		Idempotent:  q.query.Idempotent,
		Resume:      resume,
		Fingerprint: q.query.Fingerprint,
		Stream:      q.stream,
		Prefix:      q.query.PrefixHashes,
		Weight:      q.caller.Weight,
		Alone:       q.query.Exclusive,
	}
}
