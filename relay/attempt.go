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
	// silence is how long an upstream may send nothing before a request that may be
	// repeated goes elsewhere. It leaves the other upstream time to begin before the
	// caller leaves.
	silence = 1200 * clock.Millisecond
	// maxPlain bounds the answer of a plain request, which is held until complete.
	maxPlain = 8 << 20
)

// plainAnswer is a complete answer.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to the upstream of the ticket. It ends the request unless
// it is to be offered again.
func (x *exchange) attempt(ctx context.Context, k *sched.Attempt) sched.Outcome {
	now := x.s.Clock.Now()
	end := x.arrived.Add(x.limit)
	r := &request{
		method: x.r.Method, target: x.r.RequestURI, host: x.r.Host, id: x.ask.RequestID, body: x.body,
		header: platform.Outgoing(x.r.Header, platform.Send{
			Upstream: k.Upstream.ID, Customer: x.customerID(), Patience: end.Sub(now),
			After: x.after(), Rank: x.engineRank(),
		}),
	}
	first := end
	if x.repeatable() {
		first = min(end, now.Add(silence))
	}
	x.sends++
	a, err := x.s.pool.call(ctx, k.Upstream.Address, r, span(now, first))
	if err != nil {
		return x.failed(ctx, err)
	}
	if o, over := x.rejected(k, a); over {
		return o
	}
	x.runs++
	if a.Coded || (a.status < 300 && !a.Receipt) {
		a.abort()
		x.reason = "not an answer of the upstream"
		return x.again(ctx)
	}
	if x.route.Stream && a.status == http.StatusOK {
		return x.relay(ctx, k, a)
	}
	if x.begun {
		return x.notContinued(ctx, a)
	}
	return x.plain(ctx, a)
}

// notContinued handles an answer that is no stream where one was to go on. Nothing of it may
// reach the caller, whose stream is not complete.
func (x *exchange) notContinued(ctx context.Context, a *answer) sched.Outcome {
	a.abort()
	x.reason = "status " + strconv.Itoa(a.status) + " in place of the rest of the stream"
	x.again(ctx)
	return sched.Failed
}

func (x *exchange) customerID() units.CustomerID {
	if x.customer == nil {
		return ""
	}
	return x.customer.ID
}

// after is the event after which a broken stream goes on.
func (x *exchange) after() string {
	if x.begun {
		return x.stream.last
	}
	return ""
}

// maxRank is the least urgent priority of an engine.
const maxRank = 9

// engineRank is the priority at the engine; plain services get none.
func (x *exchange) engineRank() int {
	if x.service.Engine == nil {
		return -1
	}
	return min(max(x.rank(), 0), maxRank)
}

// repeatable reports whether the request may run again.
func (x *exchange) repeatable() bool {
	return x.route.RetryMode != fleet.AtMostOnce && x.runs+1 < x.route.MaxAttempts
}

// failed handles a call without an answer.
func (x *exchange) failed(ctx context.Context, err error) sched.Outcome {
	x.reason = err.Error()
	if ctx.Err() != nil {
		x.runs++
		x.end(ctx)
		return sched.Canceled
	}
	if errors.Is(err, errNotSent) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.s.closed(x.upstream)
		}
		// The upstream received nothing, so this was no arrival there.
		if x.sends >= maxSends {
			x.giveUp("unreachable")
		}
		return sched.Unreachable
	}
	x.runs++
	return x.again(ctx)
}

// again offers the request once more where it may run twice, and ends it otherwise.
func (x *exchange) again(ctx context.Context) sched.Outcome {
	stats.Retry(units.UpstreamFailed)
	switch {
	case ctx.Err() != nil || x.s.Clock.Now().Sub(x.arrived) >= x.limit:
		x.end(ctx)
	case x.route.RetryMode == fleet.AtMostOnce || x.runs >= x.route.MaxAttempts:
		x.giveUp(x.reason)
	}
	return sched.Broken
}

// rejected handles answers that promise that the request has not run.
func (x *exchange) rejected(k *sched.Attempt, a *answer) (sched.Outcome, bool) {
	if !a.NotRun || a.status == http.StatusBadRequest {
		return 0, false
	}
	defer x.discard(a)
	x.reason = "status " + strconv.Itoa(a.status)
	switch {
	case a.status != http.StatusMisdirectedRequest:
		stats.Retry(units.QueueFull)
		x.forget(k.Upstream.ID)
		return sched.Full, true
	case a.Instance != "" && a.Instance != k.Upstream.ID:
		return sched.Replaced, true
	default:
		stats.Retry(units.NotLoaded)
		x.forget(k.Upstream.ID)
		return sched.NotLoaded, true
	}
}

// forget lets the request go to an upstream again that refused it for the moment.
func (x *exchange) forget(id units.UpstreamID) {
	for i, v := range x.avoid {
		if v == id {
			x.avoid = append(x.avoid[:i:i], x.avoid[i+1:]...)
			return
		}
	}
}

// discard reads a short body that is of no use, so that the connection can be kept.
func (x *exchange) discard(a *answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(a.body, maxHead)); err != nil {
		a.abort()
		return
	}
	a.done()
}

// plain reads a whole answer and delivers it. A failure of an upstream is kept while
// another may still succeed.
func (x *exchange) plain(ctx context.Context, a *answer) sched.Outcome {
	if err := a.until(span(x.s.Clock.Now(), x.arrived.Add(x.limit))); err != nil {
		a.abort()
		return x.failed(ctx, err)
	}
	body, err := io.ReadAll(io.LimitReader(a.body, maxPlain+1))
	if err == nil && len(body) > maxPlain {
		err = errors.New("answer is too large")
	}
	if err != nil {
		a.abort()
		x.reason = err.Error()
		if ctx.Err() != nil {
			x.end(ctx)
			return sched.Canceled
		}
		return x.again(ctx)
	}
	a.done()
	p := &plainAnswer{a.status, a.header, body}
	if a.status >= 500 && x.route.RetryMode != fleet.AtMostOnce && x.runs < x.route.MaxAttempts && a.status != http.StatusGatewayTimeout {
		x.kept = p
		x.reason = "status " + strconv.Itoa(a.status)
		return sched.Failed
	}
	x.deliver(p)
	if a.status >= 500 {
		return sched.Failed
	}
	return sched.Served
}

// deliver sends a complete answer to the caller.
func (x *exchange) deliver(p *plainAnswer) {
	x.finished = true
	x.first = x.s.Clock.Now()
	x.served(p.status)
	h := x.w.Header()
	platform.CopyAnswer(h, p.header)
	h.Set("Content-Length", strconv.Itoa(len(p.body)))
	if x.s.drain.Load() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(p.status)
	if _, err := x.w.Write(p.body); err != nil {
		stats.Event("answers_not_sent")
	}
}

// relay passes the events of a stream on.
func (x *exchange) relay(ctx context.Context, k *sched.Attempt, a *answer) sched.Outcome {
	if x.begun {
		x.stream.resume()
	}
	err := x.pump(k, a)
	if err == nil && x.stream.partial() {
		err = io.ErrUnexpectedEOF
	}
	if err == nil {
		x.finished = true
		x.begin(a)
		a.done()
		x.served(a.status)
		return sched.Served
	}
	a.abort()
	x.reason = err.Error()
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		x.end(ctx)
		return sched.Canceled
	}
	return x.again(ctx)
}

// errCaller means that the caller does not take the answer.
var errCaller = errors.New("caller is gone")

// pump passes events on until the stream ends.
func (x *exchange) pump(k *sched.Attempt, a *answer) error {
	buf := make([]byte, readBuffer)
	flush := http.NewResponseController(x.w)
	first := true
	for {
		if err := a.until(x.nextBy()); err != nil {
			return err
		}
		n, err := a.body.Read(buf)
		if n > 0 {
			if first {
				first = false
				x.first = x.s.Clock.Now()
				x.s.mu.Lock()
				x.s.Scheduler.RecordFirstEvent(x.first, k)
				x.s.mu.Unlock()
			}
			if err := x.pass(a, flush, buf[:n]); err != nil {
				return err
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

// nextBy is the time by which the next event has to arrive.
func (x *exchange) nextBy() time.Time {
	now := x.s.Clock.Now()
	end := x.arrived.Add(x.limit)
	if x.route.RetryMode == fleet.Resumable && x.runs < x.route.MaxAttempts {
		end = min(end, now.Add(silence))
	}
	return span(now, end)
}

// pass sends whole events to the caller.
func (x *exchange) pass(a *answer, flush *http.ResponseController, p []byte) error {
	whole := x.stream.add(p)
	if len(whole) == 0 {
		return nil
	}
	x.begin(a)
	if _, err := x.w.Write(whole); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := flush.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}

// begin sends the head of the first upstream's answer.
func (x *exchange) begin(a *answer) {
	if x.begun {
		return
	}
	x.begun = true
	h := x.w.Header()
	platform.CopyAnswer(h, a.header)
	if x.s.drain.Load() {
		h.Set("Connection", "close")
	}
	x.w.WriteHeader(a.status)
}
