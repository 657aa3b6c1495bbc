package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

const (
	// silenceTimeout is how long an upstream may send nothing before a request that may run again
	// is sent to another one. It leaves the other upstream time to begin before the caller
	// disconnects.
	silenceTimeout = 1200 * clock.Millisecond
	// maxBufferedBytes is the maximum size of the response body of a request without streaming. Such
	// a body is buffered as a whole.
	maxBufferedBytes = 8 << 20
)

// bufferedResponse is a buffered response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the assigned upstream and relays the response. The request is
// finished when x.finished is set afterwards; otherwise it has to be tried again.
func (x *exchange) attempt(ctx context.Context, scheduled *sched.Attempt) sched.Outcome {
	now := x.server.Clock.Now()
	deadline := x.arrivedAt.Add(x.timeout)
	r := &request{
		method: x.httpRequest.Method, target: x.httpRequest.RequestURI, host: x.httpRequest.Host,
		id: x.callerRequest.RequestID, body: x.body,
		header: platform.UpstreamHeader(x.httpRequest.Header, platform.UpstreamRequest{
			Upstream: scheduled.Upstream.ID, Customer: x.customerID(), Timeout: deadline.Sub(now),
			LastEventID: x.lastEventID(), Priority: x.enginePriority(),
		}),
		accepts: func() bool { return x.server.Accepts(scheduled.Upstream.Upstream) },
	}
	headDeadline := deadline
	if x.canRunAgain() {
		headDeadline = min(deadline, now.Add(silenceTimeout))
	}
	x.sends++
	res, err := x.server.pool.call(ctx, scheduled.Upstream.Address, r, wallTime(now, headDeadline))
	if err != nil {
		return x.handleCallError(ctx, err)
	}
	x.server.recordNotice(scheduled.Upstream.Upstream, res)
	if outcome, handled := x.handleNotRun(scheduled, res); handled {
		return outcome
	}
	x.runs++
	if res.Encoded || (res.status < 300 && !res.HasReceipt) {
		res.abort()
		// An intermediary responded, or nothing shows that the replica ran the request.
		x.reason = "response does not come from the upstream"
		return x.retryOrGiveUp(ctx)
	}
	if x.route.Stream && res.status == http.StatusOK && (res.EventStream || !x.headSent) {
		return x.relayStream(ctx, scheduled, res)
	}
	if x.headSent {
		return x.rejectContinuation(ctx, res)
	}
	return x.relayBuffered(ctx, res)
}

// rejectContinuation handles a response that is not a stream to a request that should resume one. No
// part of it may reach the caller, whose stream is incomplete.
func (x *exchange) rejectContinuation(ctx context.Context, res *response) sched.Outcome {
	res.abort()
	x.reason = "status " + strconv.Itoa(res.status) + ", type " + res.header.Get("Content-Type") + " instead of the rest of the stream"
	x.retryOrGiveUp(ctx)
	return sched.Failed
}

// customerID returns the customer's identifier; empty on routes without authentication.
func (x *exchange) customerID() units.CustomerID {
	if x.customer == nil {
		return ""
	}
	return x.customer.ID
}

// lastEventID returns the event after which the upstream has to resume a broken stream; empty for a
// new one.
func (x *exchange) lastEventID() string {
	if x.headSent {
		return x.stream.lastID
	}
	return ""
}

// maxEnginePriority is the least urgent priority that engines accept; 0 is the most urgent.
const maxEnginePriority = 9

// enginePriority returns the priority to send to the engine, or -1 to send none, as for plain
// services.
func (x *exchange) enginePriority() int {
	if x.service.Engine == nil {
		return -1
	}
	return min(max(x.priority(), 0), maxEnginePriority)
}

// canRunAgain reports whether the request may run again if the current attempt fails.
func (x *exchange) canRunAgain() bool {
	return x.route.RetryMode != fleet.AtMostOnce && x.runs+1 < x.route.MaxAttempts
}

// handleCallError handles a call that ended without a complete response.
func (x *exchange) handleCallError(ctx context.Context, err error) sched.Outcome {
	x.reason, x.timedOut = err.Error(), isTimeout(err)
	if ctx.Err() != nil {
		x.runs++
		x.endCanceled(ctx)
		return sched.Canceled
	}
	if errors.Is(err, errNotAccepted) {
		// The upstream got nothing, and the request may go there after a pause.
		x.sends--
		x.allowAgain(x.upstream)
		return sched.Canceled
	}
	if errors.Is(err, errNotSent) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.server.markUpstreamEnded(x.upstream)
		}
		// The upstream received nothing, so the attempt does not count as a run.
		if x.sends >= maxSends {
			x.giveUp("unreachable")
		}
		return sched.Unreachable
	}
	x.runs++
	return x.retryOrGiveUp(ctx)
}

// retryOrGiveUp leaves the request unfinished for another attempt if it may run again, and ends it
// otherwise.
func (x *exchange) retryOrGiveUp(ctx context.Context) sched.Outcome {
	stats.Retry(units.UpstreamFailed)
	switch {
	case ctx.Err() != nil || x.server.Clock.Now().Sub(x.arrivedAt) >= x.timeout:
		x.endCanceled(ctx)
	case x.route.RetryMode == fleet.AtMostOnce || x.runs >= x.route.MaxAttempts:
		x.giveUp(x.reason)
	}
	return sched.Broken
}

// handleNotRun handles responses that state that the request has not run and never will. It returns
// false for other responses and for status 400, which is relayed to the caller.
func (x *exchange) handleNotRun(scheduled *sched.Attempt, res *response) (sched.Outcome, bool) {
	if !res.NotRun || res.status == http.StatusBadRequest {
		return 0, false
	}
	defer x.discardResponse(res)
	x.reason = "status " + strconv.Itoa(res.status)
	switch {
	case res.status != http.StatusMisdirectedRequest:
		stats.Retry(units.QueueFull)
		x.allowAgain(scheduled.Upstream.ID)
		return sched.Full, true
	case res.Instance != "" && res.Instance != scheduled.Upstream.ID:
		return sched.Replaced, true
	default:
		stats.Retry(units.NotLoaded)
		x.allowAgain(scheduled.Upstream.ID)
		return sched.NotLoaded, true
	}
}

// allowAgain removes an upstream from those already tried, since its refusal is temporary.
func (x *exchange) allowAgain(id units.UpstreamID) {
	for i, v := range x.tried {
		if v == id {
			x.tried = append(x.tried[:i:i], x.tried[i+1:]...)
			return
		}
	}
}

// discardResponse discards a short body, so that the connection can be reused.
func (x *exchange) discardResponse(res *response) {
	if err := discardShort(res.body); err != nil {
		res.abort()
		return
	}
	res.release()
}

// relayBuffered reads the whole response and sends it to the caller. While the request may run again,
// it keeps a 5xx response instead, for the case that no other upstream succeeds.
func (x *exchange) relayBuffered(ctx context.Context, res *response) sched.Outcome {
	if err := res.setReadDeadline(wallTime(x.server.Clock.Now(), x.arrivedAt.Add(x.timeout))); err != nil {
		res.abort()
		return x.handleCallError(ctx, err)
	}
	body, held, err := x.server.responseBudget.readAll(io.LimitReader(res.body, maxBufferedBytes+1), res.length)
	defer x.server.responseBudget.release(held)
	if err == nil && len(body) > maxBufferedBytes {
		err = errors.New("response is too large")
	}
	if err != nil {
		res.abort()
		x.reason, x.timedOut = err.Error(), isTimeout(err)
		if ctx.Err() != nil {
			x.endCanceled(ctx)
			return sched.Canceled
		}
		return x.retryOrGiveUp(ctx)
	}
	res.release()
	if res.status < http.StatusInternalServerError {
		x.ticket.Began()
	}
	p := &bufferedResponse{res.status, res.header, body}
	if res.status >= 500 && x.route.RetryMode != fleet.AtMostOnce && x.runs < x.route.MaxAttempts && res.status != http.StatusGatewayTimeout {
		x.failureResponse = p
		x.reason = "status " + strconv.Itoa(res.status)
		return sched.Failed
	}
	x.writeBuffered(p)
	if res.status >= 500 {
		return sched.Failed
	}
	return sched.Served
}

// writeBuffered sends a buffered response to the caller and finishes the request.
func (x *exchange) writeBuffered(p *bufferedResponse) {
	x.finished = true
	x.firstByteAt = x.server.Clock.Now()
	x.recordServed(p.status)
	h := x.writer.Header()
	platform.CopyResponseHeader(h, p.header)
	h.Set("Content-Length", strconv.Itoa(len(p.body)))
	if x.server.draining.Load() {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(p.status)
	if _, err := x.writer.Write(p.body); err != nil {
		stats.Event("answers_not_sent")
	}
}

// relayStream relays the events of a stream, a resumed one included, and decides what follows when it
// breaks off.
func (x *exchange) relayStream(ctx context.Context, scheduled *sched.Attempt, res *response) sched.Outcome {
	if x.headSent {
		x.stream.resume()
	}
	err := x.copyStream(scheduled, res)
	if err == nil && x.stream.endsInsideEvent() {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		x.finished = true
		x.writeHead(res)
		res.release()
		x.recordServed(res.status)
		return sched.Served
	}
	res.abort()
	x.reason, x.timedOut = err.Error(), isTimeout(err)
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		x.endCanceled(ctx)
		return sched.Canceled
	}
	return x.retryOrGiveUp(ctx)
}

// errCaller means that writing to the caller failed.
var errCaller = errors.New("caller disconnected")

// copyStream relays events until the stream ends. Errors that wrap errCaller come from the caller's
// connection, all others from the upstream.
func (x *exchange) copyStream(scheduled *sched.Attempt, res *response) error {
	buf := make([]byte, readBuffer)
	flusher := http.NewResponseController(x.writer)
	first := true
	progressAt := x.server.Clock.Now()
	for {
		if err := res.setReadDeadline(x.readDeadline(progressAt)); err != nil {
			return err
		}
		n, err := res.body.Read(buf)
		if n > 0 {
			if first {
				first = false
				x.firstByteAt = x.server.Clock.Now()
				x.server.mu.Lock()
				x.server.Scheduler.RecordFirstEvent(x.firstByteAt, scheduled)
				x.server.mu.Unlock()
			}
			delivered := x.stream.delivered
			if err := x.writeEvents(res, flusher, buf[:n]); err != nil {
				return err
			}
			if x.stream.delivered > delivered {
				x.ticket.Began()
				progressAt = x.server.Clock.Now()
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

// readDeadline returns the wall-clock time by which the next event of the stream has to be complete;
// the last one was at progressAt. Bytes alone are no progress: a stalled upstream may send some now
// and then.
func (x *exchange) readDeadline(progressAt clock.Time) time.Time {
	now := x.server.Clock.Now()
	deadline := x.arrivedAt.Add(x.timeout)
	if x.route.RetryMode == fleet.Resumable && x.runs < x.route.MaxAttempts {
		deadline = min(deadline, progressAt.Add(silenceTimeout))
	}
	return wallTime(now, deadline)
}

// writeEvents adds bytes of the stream and sends the events that are complete to the caller.
func (x *exchange) writeEvents(res *response, flusher *http.ResponseController, data []byte) error {
	complete, err := x.stream.add(data)
	if err != nil {
		return err
	}
	if len(complete) == 0 {
		return nil
	}
	x.writeHead(res)
	if _, err := x.writer.Write(complete); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// writeHead sends the response head to the caller, once per request: a resumed stream continues under
// the head of the first upstream.
func (x *exchange) writeHead(res *response) {
	if x.headSent {
		return
	}
	x.headSent = true
	h := x.writer.Header()
	platform.CopyResponseHeader(h, res.header)
	if x.server.draining.Load() {
		h.Set("Connection", "close")
	}
	x.writer.WriteHeader(res.status)
}
