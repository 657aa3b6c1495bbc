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
	errGone  = errors.New("gateway closed the stream")
	errStart = errors.New("answer did not start before the deadline")
)

// call serves one request from its first frame to its end.
func (s *Server) call(ctx context.Context, c *wire.Call, st *wire.Stream) {
	if !s.owner.do(s.state.enter) {
		return
	}
	defer s.owner.do(s.state.exit)
	if r := s.receiveBody(c, st); r != nil {
		s.refuse(c, st, r)
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		// The gateway sends nothing more; the end of the stream cancels the call.
		_, _ = st.Recv()
		cancel(errGone)
	}()
	j := newJob(s.clock.Now(), c)
	if r := s.wait(ctx, j); r != nil {
		s.refuse(c, st, r)
		return
	}
	o, r := s.run(ctx, j, st)
	if r != nil {
		s.refuse(c, st, r)
		return
	}
	done := &wire.Done{Attempt: c.Attempt, Used: o.used, Load: s.load()}
	done.Load.Cached = o.cached
	_ = st.Send(&wire.Frame{Body: &wire.Frame_Done{Done: done}}) // a gateway that is gone needs no end
}

// wait returns nil when the job has started.
func (s *Server) wait(ctx context.Context, j *job) *refusal {
	stopping := notRun(units.Draining, "agent is stopping")
	var r *refusal
	if !s.owner.do(func() { r = s.state.admit(s.clock.Now(), j) }) {
		return stopping
	}
	if r != nil {
		return r
	}
	late := newTimer(j.item.Deadline, s.clock.Now())
	defer late.Stop()
	drain := newTimer(s.drainLimit(j), s.clock.Now())
	defer drain.Stop()
	select {
	case r := <-j.verdict:
		return r
	case <-ctx.Done():
		r = notRun(units.UpstreamFailed, errGone.Error())
	case <-late.C:
		r = notRun(units.DeadlineMissed, "request did not start before its deadline")
	case <-drain.C:
		r = notRun(units.Quarantine, "upstream is busy with other requests")
	}
	if !s.owner.do(func() { s.state.giveUp(s.clock.Now(), j, r) }) {
		return stopping
	}
	return <-j.verdict
}

// quarantineDrain is how long a suspect holds others back while it waits until
// nothing else runs.
const quarantineDrain = 2 * clock.Second

func (s *Server) drainLimit(j *job) clock.Time {
	if !j.alone {
		return 0
	}
	return s.clock.Now().Add(quarantineDrain)
}

// newTimer returns a timer for the time, which is never for 0.
func newTimer(at, now clock.Time) *time.Timer {
	if at == 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(max(at.Sub(now), 0).Duration())
}

// run sends a started job to the upstream.
func (s *Server) run(ctx context.Context, j *job, st *wire.Stream) (outcome, *refusal) {
	a := &streamAnswer{attempt: j.call.Attempt, stream: st, job: j, server: s}
	k := &keeper{answer: a}
	var to answer = a
	if j.once() {
		// Its outcome has to become known, also when the gateway has gone.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceTimeout.Duration())
		defer cancel()
		defer context.AfterFunc(s.lifetime, cancel)()
		ctx, to = limited, k
	} else {
		limited, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		a.late = newTimer(j.item.Deadline, s.clock.Now())
		defer a.late.Stop()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-a.late.C:
				cancel(errStart)
			case <-stop:
			}
		}()
		ctx = limited
	}
	o, r := s.forward.run(ctx, j.call, to)
	s.owner.do(func() { s.state.finish(s.clock.Now(), j, o, k, r) })
	return o, r
}

// onceTimeout bounds a call that goes on without its gateway.
const onceTimeout = 10 * clock.Minute

// receiveBody reads the rest of the body.
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

func (s *Server) refuse(c *wire.Call, st *wire.Stream, r *refusal) {
	_ = st.Send(r.frame(c.Attempt, s.load())) // a gateway that is gone needs no refusal
}

func (s *Server) load() *wire.Load {
	l := &wire.Load{Upstream: s.options.Node.ID, Leaving: true}
	s.owner.do(func() { l = s.state.load() })
	return l
}

// streamAnswer sends an answer to the gateway. Each frame is written at once.
type streamAnswer struct {
	attempt string
	stream  *wire.Stream
	job     *job
	server  *Server
	// late ends a call whose answer has not begun.
	late  *time.Timer
	begun bool
}

func (a *streamAnswer) head(status int, header http.Header) error {
	if a.late != nil {
		a.late.Stop()
	}
	h := &wire.Head{Attempt: a.attempt, Status: uint32(status), Header: wireHeader(header)}
	return a.stream.Send(&wire.Frame{Body: &wire.Frame_Head{Head: h}})
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

func (a *streamAnswer) part(index int64, data []byte) error {
	if !a.begun {
		a.begun = true
		latency := time.Since(a.job.begun)
		a.job.first.Store(int64(latency))
		a.server.owner.do(func() { a.server.state.firstToken(a.job, clock.FromDuration(latency)) })
	}
	a.job.sent.Add(1)
	p := &wire.Part{Attempt: a.attempt, Index: index, Data: data}
	return a.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: p}})
}
