package gate

import (
	"context"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// Target kinds in wire.Call.
const (
	kindModel   = "model"
	kindService = "service"
)

// request is a parsed request of a caller. It may take several attempts.
type request struct {
	info       RequestInfo
	caller     Caller
	targetKind string
	method     string
	path       string
	header     []*wire.Header
	body       []byte
	// stream is set when the caller requested an event stream.
	stream     bool
	receivedAt clock.Time
	// keyHash is the hash of the caller's API key; unset for unauthenticated requests and deferred
	// jobs.
	keyHash         KeyHash
	unauthenticated bool
	// idempotencyKey is the Idempotency-Key of a call that must run at most once, or empty.
	idempotencyKey string
	ctx            context.Context
	cancel         context.CancelCauseFunc
	// progress is a requestProgress.
	progress atomic.Int32
}

// requestProgress tells whether a stop may refuse a request as not run.
type requestProgress = int32

const (
	// waiting requests are at no agent and have not run.
	waiting requestProgress = iota
	// passedOn means that an agent has the request, or that it may have run.
	passedOn
	// refused means that a stop has refused the request while it waited.
	refused
)

// refuseWaiting refuses the request if it waits, and reports whether it did.
func (q *request) refuseWaiting(p *Problem) bool {
	if !q.progress.CompareAndSwap(waiting, refused) {
		return false
	}
	q.cancel(p)
	return true
}

// fingerprint returns a hash of the request. Zero bytes separate the fields.
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

// newCall returns the message that starts an attempt. resume is the index of the first event that
// the caller does not have.
func (q *request) newCall(id units.AttemptID, now clock.Time, permit *wire.Permit, resume int64) *wire.Call {
	return &wire.Call{
		Attempt:     string(id),
		Customer:    string(q.info.Customer),
		Target:      q.info.Target,
		Class:       uint32(q.info.Class),
		Kind:        q.targetKind,
		Cost:        int64(q.info.Cost),
		Permit:      permit,
		Timeout:     int64(max(q.info.Deadline.Sub(now), 1)),
		Method:      q.method,
		Path:        q.path,
		Header:      q.header,
		Body:        q.body,
		Idempotent:  q.info.Idempotent,
		Resume:      resume,
		Fingerprint: q.info.Fingerprint,
		Stream:      q.stream,
		Prefix:      q.info.PrefixHashes,
		Weight:      q.caller.Weight,
		Alone:       q.info.Exclusive,
	}
}
