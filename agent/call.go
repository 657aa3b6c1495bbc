package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

var (
	errGatewayClosed    = errors.New("gateway closed the stream")
	errResponseDeadline = errors.New("response did not start before the deadline")
)

// serveCall serves one call on its stream: it receives the body, queues the call,
// forwards it to the upstream and ends with a Done or Refuse frame.
func (s *Server) serveCall(ctx context.Context, c *wire.Call, st *wire.Stream) {
	overLimit := false
	if !s.loop.do(func() { overLimit = s.state.beginCall() }) {
		return
	}
	defer s.loop.do(s.state.endCall)
	if overLimit {
		s.sendRefusal(c, st, notRun(units.QueueFull, "agent has too many requests"))
		return
	}
	if r := s.receiveBody(c, st); r != nil {
		s.sendRefusal(c, st, r)
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		// The gateway sends no more frames. Closing the stream cancels the call.
		_, _ = st.Recv()
		cancel(errGatewayClosed)
	}()
	j := newJob(s.clock.Now(), c)
	if r := s.awaitStart(ctx, j); r != nil {
		s.sendRefusal(c, st, r)
		return
	}
	counts, r := s.forwardJob(ctx, j, st)
	if r != nil {
		s.sendRefusal(c, st, r)
		return
	}
	done := &wire.Done{Attempt: c.Attempt, Used: counts.used, Load: s.currentLoad()}
	done.Load.Cached = counts.cached
	_ = st.Send(&wire.Frame{Body: &wire.Frame_Done{Done: done}}) // fails only when the gateway closed the stream
}

// awaitStart queues the job and waits until it may run. It returns nil when the job has
// started, and otherwise the reason why it can't run: no admission, a canceled ctx, the
// job's deadline or a drain timeout.
func (s *Server) awaitStart(ctx context.Context, j *job) *refusal {
	draining := notRun(units.Draining, "agent is stopping")
	var r *refusal
	if !s.loop.do(func() { r = s.state.admit(s.clock.Now(), j) }) {
		return draining
	}
	if r != nil {
		return r
	}
	deadline := newDeadlineTimer(j.item.Deadline, s.clock.Now())
	defer deadline.Stop()
	drainTimeout := newDeadlineTimer(s.drainDeadline(j), s.clock.Now())
	defer drainTimeout.Stop()
	select {
	case r := <-j.decision:
		return r
	case <-ctx.Done():
		r = notRun(units.UpstreamFailed, errGatewayClosed.Error())
	case <-deadline.C:
		r = notRun(units.DeadlineMissed, "request did not start before its deadline")
	case <-drainTimeout.C:
		r = notRun(units.Quarantine, "upstream is busy with other requests")
	}
	if !s.loop.do(func() { s.state.rejectIfQueued(s.clock.Now(), j, r) }) {
		return draining
	}
	return <-j.decision
}

// exclusiveDrainTimeout bounds how long an exclusive job blocks other jobs while it waits
// for the running ones to end.
const exclusiveDrainTimeout = 2 * clock.Second

// drainDeadline returns the time at which an exclusive job stops waiting for the running
// ones, or 0 for other jobs.
func (s *Server) drainDeadline(j *job) clock.Time {
	if !j.exclusive {
		return 0
	}
	return s.clock.Now().Add(exclusiveDrainTimeout)
}

// newDeadlineTimer returns a timer that fires at the deadline, or never when it is 0.
func newDeadlineTimer(deadline, now clock.Time) *time.Timer {
	if deadline == 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(max(deadline.Sub(now), 0).Duration())
}

// forwardJob sends a started job to the upstream, relays the response on the stream and
// records the result.
func (s *Server) forwardJob(ctx context.Context, j *job, st *wire.Stream) (tokenCounts, *refusal) {
	sr := &streamResponse{attempt: j.call.Attempt, stream: st, job: j, server: s}
	rec := &responseRecorder{responseWriter: sr}
	var dest responseWriter = sr
	if j.atMostOnce() {
		// Its outcome must be recorded even when the gateway disconnects.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), atMostOnceTimeout.Duration())
		defer cancel()
		defer context.AfterFunc(s.lifetime, cancel)()
		ctx, dest = limited, rec
	} else {
		limited, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		sr.deadline = newDeadlineTimer(j.item.Deadline, s.clock.Now())
		defer sr.deadline.Stop()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-sr.deadline.C:
				cancel(errResponseDeadline)
			case <-stop:
			}
		}()
		ctx = limited
	}
	counts, r := s.forwarder.forwardCall(ctx, j.call, dest)
	s.loop.do(func() { s.state.finishJob(s.clock.Now(), j, counts, rec, r) })
	return counts, r
}

// atMostOnceTimeout bounds at-most-once calls, which continue when their gateway
// disconnects.
const atMostOnceTimeout = 10 * clock.Minute

// receiveBody appends the remaining Data frames to the body of the call.
func (s *Server) receiveBody(c *wire.Call, st *wire.Stream) *refusal {
	if len(c.Body) > int(s.options.Limits.BodyBytes) {
		return notRun(units.BodyTooLarge, "body exceeds the limit of the agent")
	}
	for more := c.More; more; {
		f, err := st.Recv()
		if err != nil {
			return notRun(units.InvalidRequest, err.Error())
		}
		d := f.GetData()
		if d == nil {
			return notRun(units.InvalidRequest, "expected the rest of the body")
		}
		if len(c.Body)+len(d.Data) > int(s.options.Limits.BodyBytes) {
			return notRun(units.BodyTooLarge, "body exceeds the limit of the agent")
		}
		c.Body = append(c.Body, d.Data...)
		more = !d.Last
	}
	return nil
}

// sendRefusal ends the call with a Refuse frame.
func (s *Server) sendRefusal(c *wire.Call, st *wire.Stream, r *refusal) {
	_ = st.Send(r.refuseFrame(c.Attempt, s.currentLoad())) // fails only when the gateway closed the stream
}

// currentLoad returns the load report, or a draining one when the event loop has ended.
func (s *Server) currentLoad() *wire.Load {
	l := &wire.Load{Upstream: s.options.Node.ID, Leaving: true}
	s.loop.do(func() { l = s.state.loadReport() })
	return l
}

// streamResponse sends a response to the gateway. Each frame is written immediately.
type streamResponse struct {
	attempt string
	stream  *wire.Stream
	job     *job
	server  *Server
	// deadline cancels a call whose response head has not arrived; nil for at-most-once calls.
	deadline *time.Timer
	// started is set by the first part.
	started bool
}

func (w *streamResponse) writeHead(status int, header http.Header) error {
	if w.deadline != nil {
		w.deadline.Stop()
	}
	h := &wire.Head{Attempt: w.attempt, Status: uint32(status), Header: wireHeader(header)}
	return w.stream.Send(&wire.Frame{Body: &wire.Frame_Head{Head: h}})
}

func wireHeader(header http.Header) []*wire.Header {
	var fields []*wire.Header
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, &wire.Header{Name: name, Value: v})
		}
	}
	return fields
}

func (w *streamResponse) writePart(index int64, data []byte) error {
	if !w.started {
		w.started = true
		latency := time.Since(w.job.startTime)
		w.job.firstEventDelay.Store(int64(latency))
		w.server.loop.do(func() { w.server.state.recordFirstToken(w.job, clock.FromDuration(latency)) })
	}
	w.job.sentEvents.Add(1)
	p := &wire.Part{Attempt: w.attempt, Index: index, Data: data}
	return w.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: p}})
}
