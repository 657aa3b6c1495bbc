package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/sched"
)

// delivery is what the caller of a request has got of a streamed response, from whichever attempts.
type delivery struct {
	// headSent is set once the head was sent, at startedAt.
	headSent  bool
	startedAt clock.Time
	// lastID is the identifier of the last event that had one; empty if there was none.
	lastID string
	// last is the last event.
	last []byte
	// events is the number of events, without those that are only comments, lastAt the time of the last one.
	events int
	lastAt clock.Time
}

// canResume reports whether another upstream can go on with the stream: its request names the last event.
func (d *delivery) canResume() bool {
	if d.events == 0 {
		return true
	}
	id, _ := eventID(d.last)
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// relayStream relays the events of a stream, a resumed one included, and decides what follows when it
// breaks off.
func (a *attempt) relayStream(ctx context.Context, res *response) sched.Outcome {
	err := a.copyStream(res)
	if err == nil && (a.stream.endsInsideEvent() || a.stream.endsBeforeResumption()) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		a.finished = true
		a.writeHead(res)
		res.release()
		a.recordServed(res.status, res.ending(), a.delivered.startedAt)
		return sched.Served
	}
	res.abort()
	a.failedBy(err)
	if errors.Is(err, errCaller) {
		a.endCanceled(ctx)
		return sched.Canceled
	}
	if ctx.Err() != nil {
		return a.endRun(ctx)
	}
	return a.retryOrGiveUp(ctx)
}

// errCaller means that writing to the caller failed.
var errCaller = errors.New("caller disconnected")

// copyStream relays events until the stream ends. Errors that wrap errCaller come from the caller's
// connection, all others from the upstream.
func (a *attempt) copyStream(res *response) error {
	buf := make([]byte, readBuffer)
	flusher := http.NewResponseController(a.writer)
	first := true
	a.recordProgress()
	for {
		if err := res.setReadDeadline(a.readDeadline()); err != nil {
			return err
		}
		n, err := res.body.Read(buf)
		if n > 0 {
			if first {
				first = false
				a.server.mu.Lock()
				a.server.Scheduler.RecordFirstEvent(a.server.Clock.Now(), a.scheduled)
				a.server.mu.Unlock()
			}
			delivered := a.delivered.events
			if err := a.writeEvents(res, flusher, buf[:n]); err != nil {
				return err
			}
			if a.delivered.events > delivered {
				a.ticket.Began()
				a.delivered.lastAt = a.server.Clock.Now()
				a.recordGap(a.delivered.events - delivered)
				a.recordProgress()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
	}
}

// writeEvents adds bytes of the stream and sends the events that are complete to the caller.
func (a *attempt) writeEvents(res *response, flusher *http.ResponseController, data []byte) error {
	complete, splitErr := a.stream.add(data)
	if a.delivered.events > 0 {
		a.recordBegin(a.server.Clock.Now())
	}
	if len(complete) == 0 {
		return splitErr
	}
	a.writeHead(res)
	if _, err := a.writer.Write(complete); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return splitErr
}

// writeHead sends the response head to the caller, once per request: a resumed stream continues under
// the head of the first upstream.
func (x *exchange) writeHead(res *response) {
	if x.delivered.headSent {
		return
	}
	x.delivered.headSent, x.delivered.startedAt = true, x.server.Clock.Now()
	x.delivered.lastAt = x.delivered.startedAt
	h := x.writer.Header()
	platform.CopyResponseHeader(h, res.header)
	if x.server.stopping() {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(res.status)
}
