package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// DefaultBodyBudget is the default limit on the bytes of request bodies buffered at once.
	// While a body is sent, it may be in memory twice; a gateway has 284 MB.
	DefaultBodyBudget = 64 << 20
	// initialBufferBytes is the size of the first buffer for a body. The buffer doubles as the
	// body arrives, so that an announced length alone takes no budget.
	initialBufferBytes = 8 << 10
	// discardTimeout bounds the reading of the rest of a refused body.
	discardTimeout = 2 * time.Second
)

// longPast is a deadline that ends reads and writes at once.
var longPast = time.Unix(1, 0)

// errBodyBudget means that buffering a body would exceed the budget for bodies of its kind.
var errBodyBudget = errors.New("budget for bodies is exhausted")

// bodyClaim is what the body of one request or one answer holds of its budget.Pool, beyond the first initialBufferBytes, which
// are free: they are part of what a connection takes.
type bodyClaim struct {
	pool  *budget.Pool
	clock clock.Clock
	// owner ends the reading or writing of the body when that has to give way to others.
	owner yielder
	claim budget.Claim
	// used is set once the claim holds bytes.
	used bool
	// progressAt is the clock.Time of the last bytes that arrived or were sent.
	progressAt atomic.Int64
}

// yielder ends the reading or writing of a body. yieldBudget is called from any goroutine.
type yielder interface{ yieldBudget() }

// take claims n further bytes and reports whether the pool had them.
func (b *bodyClaim) take(n int64) bool {
	if !b.used {
		b.used = true
		b.claim.Yield = b.owner.yieldBudget
		b.claim.ProgressAt = func() clock.Time { return clock.Time(b.progressAt.Load()) }
	}
	return b.pool.Take(&b.claim, b.clock.Now(), units.Bytes(n))
}

// progress records progress of a body that holds bytes.
func (b *bodyClaim) progress() {
	if b.used {
		b.progressAt.Store(int64(b.clock.Now()))
	}
}

// protect makes the body one that does not give way until offer. It has to be called before the body is read.
func (b *bodyClaim) protect() { b.claim.Protect() }

// keep records that the body gives way no more. It returns false if it has given way.
func (b *bodyClaim) keep() bool { return !b.used || b.pool.Keep(&b.claim) }

// offer records that the body may give way again.
func (b *bodyClaim) offer() {
	if b.used {
		b.pool.Offer(&b.claim, b.clock.Now())
	}
}

// release returns all that the body holds.
func (b *bodyClaim) release() {
	if b.used {
		b.pool.Release(&b.claim)
	}
}

// readAll reads a body. length is the announced length in bytes, negative if unknown. The caller
// has to release the claim, also after an error. The error is errBodyBudget when the
// budget is exhausted; other errors come from in.
func (b *bodyClaim) readAll(in io.Reader, length int64) (data []byte, err error) {
	first := int64(initialBufferBytes)
	if length >= 0 {
		// One byte more than announced, so that the read that meets the end needs no larger buffer.
		first = min(length+1, initialBufferBytes)
	}
	data = make([]byte, 0, first)
	for {
		if len(data) == cap(data) {
			grow := int64(cap(data))
			if !b.take(grow) {
				return nil, errBodyBudget
			}
			data = append(make([]byte, 0, 2*grow), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
		b.progress()
	}
}

// errDiscardTooLong means that the rest of a refused body exceeds maxBody.
var errDiscardTooLong = errors.New("body is too long to be discarded")

// afterBody reads the rest of a refused request's body and returns the refusal, which closes the connection if the body has
// not ended. Closing a connection with unread bytes resets it, and then the caller may never see the refusal. A caller that
// waits for 100 (Continue) sends no body.
func (x *exchange) afterBody(p *refusal) *refusal {
	waits := !x.bodyBegun && x.httpRequest.Header.Get("Expect") != ""
	if x.bodyEnded || waits || x.httpRequest.Body == http.NoBody {
		return p
	}
	if err := x.discardBody(); err != nil {
		stats.Event("bodies_not_discarded")
		klog.V(1).InfoS("relay: rest of a refused request body could not be discarded", "request", x.callerRequest.RequestID, "err", err)
		return &refusal{p.status, p.code, p.retryAfter, true}
	}
	return p
}

// discardBody reads the rest of the body for discardTimeout at most.
func (x *exchange) discardBody() error {
	c := http.NewResponseController(x.writer)
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.httpRequest.Body, maxBody+1))
	switch {
	case err != nil:
		return fmt.Errorf("discard body: %w", err)
	case n > maxBody:
		return errDiscardTooLong
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// readBody reads the request body of at most limit bytes until the request times out. A limit of 0
// or less means maxBody. It returns nil on success.
func (x *exchange) readBody(limit int64) *refusal {
	if x.httpRequest.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = maxBody
	}
	if x.httpRequest.ContentLength > limit {
		return bodyTooLarge
	}
	in := http.MaxBytesReader(x.writer, x.httpRequest.Body, limit)
	c := http.NewResponseController(x.writer)
	deadline := wallTime(x.server.Clock.Now(), x.arrivedAt.Add(x.timeout))
	if err := c.SetReadDeadline(deadline); err != nil {
		x.reason = err.Error()
		return invalidBody
	}
	x.bodyBegun = true
	x.bodyClaim.pool, x.bodyClaim.clock, x.bodyClaim.owner = x.server.bodies, x.server.Clock, bodyReader{x}
	data, err := x.bodyClaim.readAll(in, x.httpRequest.ContentLength)
	kept := x.bodyClaim.keep()
	if err != nil {
		// What is read from now on is discarded.
		x.bodyClaim.release()
	}
	if !kept {
		// Its connection can't be used any longer.
		x.bodyEnded = true
		return bodyBudgetExceeded
	}
	if errors.Is(err, errBodyBudget) {
		return bodyBudgetExceeded
	}
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return bodyTooLarge
		}
		x.bodyEnded = true
		x.reason = err.Error()
		return invalidBody
	}
	x.body, x.bodyEnded = data, true
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		x.reason = err.Error()
		return invalidBody
	}
	return nil
}

// bodyReader ends the reading of a request's body.
type bodyReader struct{ *exchange }

func (x bodyReader) yieldBudget() {
	stats.Event("bodies_given_way")
	_ = http.NewResponseController(x.writer).SetReadDeadline(longPast)
}

// bodyBudgetRetryAfter is sent as Retry-After when the body budget is exhausted.
const bodyBudgetRetryAfter = clock.Second
