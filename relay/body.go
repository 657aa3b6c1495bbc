package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
)

const (
	// DefaultBodyBudget bounds the bytes of request bodies that a gateway holds. Each may be there
	// twice while it is sent; a gateway has 284 MB.
	DefaultBodyBudget = 64 << 20
	// firstPiece is the room that is taken for a body at first; it doubles as the body
	// arrives, so that a length that was only announced holds nothing.
	firstPiece = 8 << 10
	// discardSpan bounds the reading of a body that is refused.
	discardSpan = 2 * time.Second
)

// errNoRoom means that the bodies under way take all the room there is.
var errNoRoom = errors.New("no room for the body")

// room counts the bytes of bodies under way.
type room struct {
	held atomic.Int64
	most int64
}

func (r *room) take(n int64) bool {
	if r.held.Add(n) > r.most {
		r.held.Add(-n)
		return false
	}
	return true
}

func (r *room) give(n int64) { r.held.Add(-n) }

// read reads a body of the announced length, negative if unknown, and returns the bytes of
// room that it holds, also with an error.
func (r *room) read(in io.Reader, length int64) (data []byte, held int64, err error) {
	first := int64(firstPiece)
	if length >= 0 {
		// One more byte finds the end.
		first = min(length+1, firstPiece)
	}
	for {
		if len(data) == cap(data) {
			grow := max(int64(cap(data)), first)
			if !r.take(grow) {
				return nil, held, errNoRoom
			}
			held += grow
			data = append(make([]byte, 0, int64(cap(data))+grow), data...)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, held, nil
		}
		if err != nil {
			return nil, held, fmt.Errorf("read body: %w", err)
		}
	}
}

// discardBody reads the rest of a body that is refused. A connection that is closed on
// unread bytes is reset, and the caller may never see the refusal.
func (x *exchange) discardBody(in io.Reader) {
	c := http.NewResponseController(x.w)
	err := c.SetReadDeadline(time.Now().Add(discardSpan))
	if err == nil {
		_, err = io.Copy(io.Discard, in)
	}
	if err != nil {
		stats.Event("bodies_not_discarded")
		klog.V(1).InfoS("relay: body of a refused request is not read to its end", "request", x.ask.RequestID, "err", err)
	}
}

// readBody reads the body within its time and size.
func (x *exchange) readBody(limit int64) *refusal {
	if x.r.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = maxBody
	}
	if x.r.ContentLength > limit {
		return largeInput
	}
	in := http.MaxBytesReader(x.w, x.r.Body, limit)
	c := http.NewResponseController(x.w)
	end := span(x.s.Clock.Now(), x.arrived.Add(x.limit))
	if err := c.SetReadDeadline(end); err != nil {
		x.reason = err.Error()
		return badBody
	}
	data, held, err := x.s.room.read(in, x.r.ContentLength)
	x.held = held
	if errors.Is(err, errNoRoom) {
		x.discardBody(in)
		return noRoom
	}
	if err != nil {
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			return largeInput
		}
		x.reason = err.Error()
		return badBody
	}
	x.body = data
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		x.reason = err.Error()
		return badBody
	}
	return nil
}

// roomRetry is when a caller should come back whose body found no room.
const roomRetry = clock.Second
