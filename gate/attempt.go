package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// attempt runs a request on one upstream.
type attempt struct {
	request  *request
	upstream *upstream
	answer   *answer
	clock    clock.Clock
	stall    clock.Span
	id       units.AttemptID
	// incarnation of the agent in the record of a call that must not be repeated.
	incarnation uint64
	ctx         context.Context
	stream      *wire.Stream
	started     clock.Time
	// confirm is called when the agent has shown that it started the request.
	confirm func()
	// answered is called when the upstream has answered in full, if set.
	answered func()
	result   AttemptResult
	// armed is when the time limit of the stream was set last.
	armed clock.Time
	// deadline is the time limit of the stream.
	deadline clock.Time
}

var errFrame = errors.New("frame out of order")

// run returns nil after a complete answer. The result is valid in each case.
func (a *attempt) run(ctx context.Context, permit Permit) *Problem {
	a.started = a.clock.Now()
	p := a.exchange(ctx, permit)
	a.result.Duration = a.clock.Now().Sub(a.started)
	if p != nil {
		a.result.Code, a.result.MayHaveRun = p.Code, p.MayHaveRun
		a.result.Canceled = ctx.Err() != nil
	}
	return p
}

func (a *attempt) exchange(ctx context.Context, permit Permit) *Problem {
	st, err := a.upstream.session.Open()
	if err != nil {
		return problem(units.NoUpstream, "the connection to the upstream is lost")
	}
	a.stream, a.ctx = st, ctx
	// The agent cancels the request when the stream is closed before its end.
	defer st.Close()
	stop := context.AfterFunc(ctx, a.interrupt)
	defer stop()
	a.arm(a.request.query.Deadline.Add(graceSpan))
	call := a.request.call(a.id, a.started, a.upstream.permit(permit), a.answer.next)
	call.Incarnation = a.incarnation
	a.answer.begin()
	// The call may arrive even if sending it failed: yamux still sends what waits in
	// its queue. So it may have run.
	if err := st.Send(&wire.Frame{Body: &wire.Frame_Call{Call: call}}); err != nil {
		return a.broken(ctx, err)
	}
	return a.receive(ctx)
}

// graceSpan lets the agent's own refusal arrive before the gateway gives up.
const graceSpan = clock.Second

func (a *attempt) receive(ctx context.Context) *Problem {
	for {
		f, err := a.stream.Recv()
		if err != nil {
			return a.broken(ctx, err)
		}
		done, p := a.handle(f)
		if done || p != nil {
			return p
		}
	}
}

// handle takes one frame. Frames of another attempt are dropped: an answer may
// arrive late or on the wrong stream.
func (a *attempt) handle(f *wire.Frame) (done bool, p *Problem) {
	switch b := f.Body.(type) {
	case *wire.Frame_Head:
		if a.mine(b.Head.Attempt) {
			a.confirm()
			a.extend()
			return false, a.fail(a.answer.head(b.Head))
		}
	case *wire.Frame_Part:
		if a.mine(b.Part.Attempt) {
			return false, a.part(b.Part)
		}
	case *wire.Frame_Done:
		if a.mine(b.Done.Attempt) {
			a.ended(b.Done.Load)
			a.result.UsedTokens = units.Tokens(b.Done.Used)
			if a.answered != nil {
				a.answered()
			}
			return true, a.fail(a.answer.done())
		}
	case *wire.Frame_Refuse:
		if a.mine(b.Refuse.Attempt) {
			return false, a.refused(b.Refuse)
		}
	default:
		stats.Event("request_frame_unknown")
	}
	return false, nil
}

func (a *attempt) mine(id string) bool {
	if id == string(a.id) {
		a.result.AgentResponded = true
		return true
	}
	stats.Event("frame_of_other_attempt")
	return false
}

func (a *attempt) part(p *wire.Part) *Problem {
	if a.result.TimeToFirstPart == 0 {
		a.result.TimeToFirstPart = max(a.clock.Now().Sub(a.started), 1)
	}
	a.extend()
	return a.fail(a.answer.part(p))
}

func (a *attempt) refused(r *wire.Refuse) *Problem {
	a.ended(r.Load)
	a.result.Crashed, a.result.CrashID = r.Crashed, r.Crash
	p := &Problem{Code: units.Code(r.Code), Message: r.Message, MayHaveRun: r.Ran || a.answer.started, RetryAfter: clock.Span(r.Wait)}
	if p.Message == "" {
		p.Message = "the upstream refused the request"
	}
	return p
}

func (a *attempt) ended(l *wire.Load) {
	a.upstream.loaded(l)
	if l != nil {
		a.result.CachedTokens = units.Tokens(l.Cached)
	}
}

// fail turns an error of the answer into a problem.
func (a *attempt) fail(err error) *Problem {
	if err == nil {
		return nil
	}
	stats.Event("answer_failed")
	return &Problem{Code: units.UpstreamFailed, Message: err.Error(), MayHaveRun: true}
}

// broken returns the problem of a stream that ended early.
func (a *attempt) broken(ctx context.Context, err error) *Problem {
	if cause := context.Cause(ctx); cause != nil {
		p := *problemOf(cause)
		p.MayHaveRun = true
		return &p
	}
	if !a.clock.Now().Before(a.deadline) {
		return &Problem{Code: units.UpstreamTimeout, Message: "the upstream did not answer in time", MayHaveRun: true}
	}
	return &Problem{Code: units.UpstreamFailed, Message: "the connection to the upstream broke: " + err.Error(), MayHaveRun: true}
}

// extend moves the time limit. It is called for each frame and sets the limit of
// the stream only when a good part of it has passed.
func (a *attempt) extend() {
	now := a.clock.Now()
	if now.Sub(a.armed) > a.stall/8 || a.deadline.Sub(now) > a.stall {
		a.arm(now.Add(a.stall))
	}
}

func (a *attempt) arm(deadline clock.Time) {
	now := a.clock.Now()
	a.armed = now
	a.deadline = deadline
	_ = a.stream.SetDeadline(time.Now().Add(max(deadline.Sub(now), 1).Duration()))
	if a.ctx.Err() != nil {
		// The interruption may have come before the new limit.
		a.interrupt()
	}
}

// interrupt ends pending and later calls of the stream.
func (a *attempt) interrupt() { _ = a.stream.SetDeadline(time.Unix(1, 0)) }
