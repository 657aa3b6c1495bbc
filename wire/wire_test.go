package wire_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/wire"
)

func options(id string, role wire.Role, secret string) wire.Options {
	return wire.Options{Self: wire.Identity{ID: id, Role: role, Zone: "a"}, Secret: []byte(secret)}
}

type accepted struct {
	session *wire.Session
	err     error
}

func connect(t *testing.T, dialer, acceptor wire.Options) (*wire.Session, accepted, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ch := make(chan accepted, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ch <- accepted{err: err}
			return
		}
		s, err := wire.Accept(c, acceptor)
		ch <- accepted{s, err}
	}()
	s, err := wire.Dial(context.Background(), l.Addr().String(), dialer)
	return s, <-ch, err
}

// Guards against lost or reordered frames and against a wrong peer identity.
func TestFrames(t *testing.T) {
	s, a, err := connect(t, options("g1", wire.Gateway, "s"), options("a1", wire.Agent, "s"))
	assert.NilError(t, err)
	assert.NilError(t, a.err)
	defer s.Close()
	defer a.session.Close()
	assert.Equal(t, s.Peer().ID, "a1")
	assert.Equal(t, a.session.Peer().ID, "g1")

	out, err := s.Open()
	assert.NilError(t, err)
	const frames = 100
	sent := make(chan error, 1)
	go func() {
		defer out.Close()
		for i := range frames {
			part := &wire.Part{Index: int64(i), Data: make([]byte, i*100)}
			if err := out.Send(&wire.Frame{Body: &wire.Frame_Part{Part: part}}); err != nil {
				sent <- err
				return
			}
		}
		sent <- nil
	}()
	in, err := a.session.Accept()
	assert.NilError(t, err)
	for i := range frames {
		f, err := in.Recv()
		assert.NilError(t, err)
		assert.Equal(t, f.GetPart().Index, int64(i))
		assert.Equal(t, len(f.GetPart().Data), i*100)
	}
	assert.NilError(t, <-sent)
	_, err = in.Recv()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
}

// Guards against a length that is accepted without limit, and against large frames
// that are damaged.
func TestFrameSizes(t *testing.T) {
	s, a, err := connect(t, options("g1", wire.Gateway, "s"), options("a1", wire.Agent, "s"))
	assert.NilError(t, err)
	defer s.Close()
	defer a.session.Close()
	out, err := s.Open()
	assert.NilError(t, err)
	data := make([]byte, wire.MaxFrameBytes-100)
	data[len(data)-1] = 7
	sent := make(chan error, 1)
	go func() {
		err := out.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: data}}})
		if err == nil {
			err = out.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: make([]byte, wire.MaxFrameBytes)}}})
		}
		sent <- err
	}()
	in, err := a.session.Accept()
	assert.NilError(t, err)
	f, err := in.Recv()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(f.GetData().Data, data))
	_, err = in.Recv()
	assert.Assert(t, errors.Is(err, wire.ErrTooLarge), "%v", err)
	a.session.Close()
	<-sent
}

// Guards against a process without the secret of the fleet that joins it.
func TestWrongSecret(t *testing.T) {
	_, a, err := connect(t, options("g1", wire.Gateway, "wrong"), options("a1", wire.Agent, "right"))
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(a.err, wire.ErrWrongSecret), "%v", a.err)
}
