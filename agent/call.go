package agent

import (
	"context"
	"net/http"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
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
	ctx, cancel := context.WithTimeout(ctx, remaining(c).Duration())
	defer cancel()
	go func() {
		// The gateway sends nothing more; the end of the stream cancels the call.
		_, _ = st.Recv()
		cancel()
	}()
	j := &job{call: c, arrived: s.clock.Now()}
	var r *refusal
	if !s.owner.do(func() { r = s.state.admit(j) }) {
		r = notRun(units.Draining, "agent is stopping")
	}
	if r != nil {
		s.refuse(c, st, r)
		return
	}
	o, r := s.forward.run(ctx, c, &streamAnswer{attempt: c.Attempt, stream: st})
	s.owner.do(func() { s.state.finish(j) })
	if r != nil {
		s.refuse(c, st, r)
		return
	}
	done := &wire.Done{Attempt: c.Attempt, Used: o.used, Load: s.load()}
	done.Load.Cached = o.cached
	_ = st.Send(&wire.Frame{Body: &wire.Frame_Done{Done: done}}) // a gateway that is gone needs no end
}

// receiveBody reads the rest of the body.
func (s *Server) receiveBody(c *wire.Call, st *wire.Stream) *refusal {
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
}

func (a *streamAnswer) head(status int, header http.Header) error {
	h := &wire.Head{Attempt: a.attempt, Status: uint32(status)}
	for name, values := range header {
		for _, v := range values {
			h.Header = append(h.Header, &wire.Header{Name: name, Value: v})
		}
	}
	return a.stream.Send(&wire.Frame{Body: &wire.Frame_Head{Head: h}})
}

func (a *streamAnswer) part(index int64, data []byte) error {
	p := &wire.Part{Attempt: a.attempt, Index: index, Data: data}
	return a.stream.Send(&wire.Frame{Body: &wire.Frame_Part{Part: p}})
}
