package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// attempt sends a request to one upstream and relays its response.
type attempt struct {
	request      *request
	upstream     *upstream
	response     *response
	clock        clock.Clock
	stallTimeout clock.Span
	id           units.AttemptID
	// incarnation of the agent process, from its last load report. It is set only for calls with an
	// Idempotency-Key; another incarnation refuses the call.
	incarnation uint64
	ctx         context.Context
	stream      *wire.Stream
	startedAt   clock.Time
	// onConfirmed is called for the response head, which shows that the agent started the request.
	onConfirmed func()
	// onBegan is called once an answer has begun: for the first event of a stream, or a complete response
	// without a failure of the upstream.
	onBegan func()
	// onResponded, if set, is called when the upstream has sent the complete response.
	onResponded func()
	result      AttemptResult
	// deadlineSetAt is when the deadline of the stream was last set.
	deadlineSetAt clock.Time
	// deadline is the current deadline of the stream.
	deadline clock.Time
	// closeOnce guards the close of the stream at the time limit of a stop; refusalDeadline is set by it.
	closeOnce       sync.Once
	refusalDeadline time.Time
}

var errFrameOrder = errors.New("frame out of order")

// run returns nil after a complete response. The field result is valid in each case.
func (a *attempt) run(ctx context.Context, permit Permit) *Problem {
	a.startedAt = a.clock.Now()
	p := a.send(ctx, permit)
	a.result.Duration = a.clock.Now().Sub(a.startedAt)
	if p != nil {
		a.result.Code, a.result.MayHaveRun = p.Code, p.MayHaveRun
		a.result.Canceled = ctx.Err() != nil
	}
	return p
}

// send sends the request on a new stream and relays the response.
func (a *attempt) send(ctx context.Context, permit Permit) *Problem {
	st, err := a.upstream.session.Open()
	if err != nil {
		return newProblem(units.NoUpstream, "the session with the upstream has ended")
	}
	a.stream, a.ctx = st, ctx
	// The agent cancels a request whose stream is closed before the response is complete.
	defer st.Close()
	stop := context.AfterFunc(ctx, a.interrupt)
	defer stop()
	a.setDeadline(a.request.info.Deadline.Add(refusalGrace))
	call := a.request.newCall(a.id, a.startedAt, a.upstream.agentPermit(permit), a.response.nextEvent)
	call.Incarnation = a.incarnation
	a.response.reset()
	// A failed Send does not mean that the call was not received: yamux still sends what is in its
	// queue. The problem therefore says that the request may have run.
	if err := st.Send(&wire.Frame{Body: &wire.Frame_Call{Call: call}}); err != nil {
		return a.streamProblem(ctx, err)
	}
	return a.receive(ctx)
}

// refusalGrace is added to the deadline of the stream, so that a refusal by the agent at the
// deadline arrives before the gateway times out.
const refusalGrace = clock.Second

// receive handles frames until the response is complete or the attempt has failed.
func (a *attempt) receive(ctx context.Context) *Problem {
	for {
		f, err := a.stream.Recv()
		if err != nil {
			return a.streamProblem(ctx, err)
		}
		done, p := a.handle(f)
		if done || p != nil {
			return p
		}
	}
}

// handle processes one frame. Frames with the ID of another attempt are dropped: a response may
// arrive late or on the wrong stream.
func (a *attempt) handle(f *wire.Frame) (done bool, p *Problem) {
	switch b := f.Body.(type) {
	case *wire.Frame_Head:
		if a.isCurrent(b.Head.Attempt) {
			a.onConfirmed()
			a.extendDeadline()
			return false, a.responseProblem(a.response.handleHead(b.Head))
		}
	case *wire.Frame_Part:
		if a.isCurrent(b.Part.Attempt) {
			return false, a.handlePart(b.Part)
		}
	case *wire.Frame_Done:
		if a.isCurrent(b.Done.Attempt) {
			a.recordLoad(b.Done.Load)
			a.result.UsedTokens = units.Tokens(b.Done.Used)
			if a.onResponded != nil {
				a.onResponded()
			}
			return true, a.finish()
		}
	case *wire.Frame_Refuse:
		if a.isCurrent(b.Refuse.Attempt) {
			return false, a.handleRefusal(b.Refuse)
		}
	default:
		stats.Event("request_frame_unknown")
	}
	return false, nil
}

// isCurrent reports whether id, from a frame, is the ID of this attempt, and if so records that the
// agent responded. Frames of other attempts are counted.
func (a *attempt) isCurrent(id string) bool {
	if id == string(a.id) {
		a.result.AgentResponded = true
		return true
	}
	stats.Event("frame_of_other_attempt")
	return false
}

func (a *attempt) handlePart(p *wire.Part) *Problem {
	if a.result.TimeToFirstPart == 0 {
		a.result.TimeToFirstPart = max(a.clock.Now().Sub(a.startedAt), 1)
	}
	a.extendDeadline()
	if p := a.responseProblem(a.response.handlePart(p)); p != nil {
		return p
	}
	if a.response.isEventStream && a.response.status == http.StatusOK {
		a.onBegan()
	}
	return nil
}

// finish completes the response.
func (a *attempt) finish() *Problem {
	if p := a.responseProblem(a.response.finish()); p != nil {
		return p
	}
	if a.response.status < http.StatusInternalServerError {
		a.onBegan()
	}
	return nil
}

// handleRefusal returns the problem of a refusal. The request may also have run if part of a
// response arrived before.
func (a *attempt) handleRefusal(r *wire.Refuse) *Problem {
	a.recordLoad(r.Load)
	a.result.Crashed, a.result.CrashID = r.Crashed, r.Crash
	p := &Problem{Code: units.Code(r.Code), Message: r.Message, MayHaveRun: r.Ran || a.response.headReceived, RetryAfter: clock.Span(r.Wait)}
	if p.Message == "" {
		p.Message = "the upstream refused the request"
	}
	if cause := stopCause(a.ctx); cause != nil {
		p.Code, p.Message, p.RetryAfter = cause.Code, cause.Message, 0
	}
	return p
}

// recordLoad stores the load report of the last frame; l may be nil.
func (a *attempt) recordLoad(l *wire.Load) {
	a.upstream.updateLoad(l)
	if l != nil {
		a.result.CachedTokens = units.Tokens(l.Cached)
	}
}

// responseProblem converts an error of the response relay to a problem; nil stays nil.
func (a *attempt) responseProblem(err error) *Problem {
	if err == nil {
		return nil
	}
	stats.Event("answer_failed")
	return &Problem{Code: units.UpstreamFailed, Message: err.Error(), MayHaveRun: true}
}

// streamProblem returns the problem for a stream that failed before the end of the response: the
// cause of the cancellation, a timeout, or a broken connection. The request may have run.
func (a *attempt) streamProblem(ctx context.Context, err error) *Problem {
	if cause := context.Cause(ctx); cause != nil {
		p := *asProblem(cause)
		p.MayHaveRun = true
		return &p
	}
	if !a.clock.Now().Before(a.deadline) {
		return &Problem{Code: units.UpstreamTimeout, Message: "the upstream did not respond in time", MayHaveRun: true}
	}
	return &Problem{Code: units.UpstreamFailed, Message: "the connection to the upstream broke: " + err.Error(), MayHaveRun: true}
}

// extendDeadline is called for each frame and moves the deadline to stallTimeout from now. It does
// so only when more than an eighth of stallTimeout has passed since the last change, or when the
// deadline is further away than stallTimeout.
func (a *attempt) extendDeadline() {
	now := a.clock.Now()
	if now.Sub(a.deadlineSetAt) > a.stallTimeout/8 || a.deadline.Sub(now) > a.stallTimeout {
		a.setDeadline(now.Add(a.stallTimeout))
	}
}

// setDeadline sets the deadline of the stream. If the context is done, it interrupts the stream
// again.
func (a *attempt) setDeadline(deadline clock.Time) {
	now := a.clock.Now()
	a.deadlineSetAt = now
	a.deadline = deadline
	_ = a.stream.SetDeadline(time.Now().Add(max(deadline.Sub(now), 1).Duration()))
	if a.ctx.Err() != nil {
		// interrupt may have been called before the new deadline was set.
		a.interrupt()
	}
}

// interrupt makes pending and later operations on the stream fail with a timeout. At the time limit of a stop, it closes the
// stream for sending and waits up to stopRefusalTimeout for the agent to say whether the request has run.
func (a *attempt) interrupt() {
	deadline := time.Unix(1, 0)
	if stopCause(a.ctx) != nil {
		a.closeOnce.Do(func() {
			a.refusalDeadline = time.Now().Add(stopRefusalTimeout)
			_ = a.stream.Close()
		})
		deadline = a.refusalDeadline
	}
	_ = a.stream.SetDeadline(deadline)
}

// stopRefusalTimeout is the time for an agent to refuse a request whose stream was closed. It is shorter than abortTimeout,
// so that callers still get an error.
const stopRefusalTimeout = abortTimeout / 2

// stopCause returns the problem with which a stop has canceled the request, or nil.
func stopCause(ctx context.Context) *Problem {
	var p *Problem
	if errors.As(context.Cause(ctx), &p) && p.Code == units.Draining {
		return p
	}
	return nil
}
