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

// acceptResult is the result of wire.Accept.
type acceptResult struct {
	session *wire.Session
	err     error
}

// connect opens a session over loopback and returns the results of both sides.
func connect(t *testing.T, dialer, acceptor wire.Options) (*wire.Session, acceptResult, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	result := make(chan acceptResult, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			result <- acceptResult{err: err}
			return
		}
		s, err := wire.Accept(c, acceptor)
		result <- acceptResult{s, err}
	}()
	s, err := wire.Dial(context.Background(), listener.Addr().String(), dialer)
	return s, <-result, err
}

// Guards against lost or reordered frames, and against a wrong peer identity.
func TestFrames(t *testing.T) {
	dialed, acceptor, err := connect(t, options("g1", wire.Gateway, "s"), options("a1", wire.Agent, "s"))
	assert.NilError(t, err)
	assert.NilError(t, acceptor.err)
	defer dialed.Close()
	defer acceptor.session.Close()
	assert.Equal(t, dialed.Peer().ID, "a1")
	assert.Equal(t, acceptor.session.Peer().ID, "g1")

	out, err := dialed.Open()
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
	in, err := acceptor.session.Accept()
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

// Guards against frames over the limit that are accepted, and against damage to large frames.
func TestFrameSizeLimit(t *testing.T) {
	dialed, acceptor, err := connect(t, options("g1", wire.Gateway, "s"), options("a1", wire.Agent, "s"))
	assert.NilError(t, err)
	defer dialed.Close()
	defer acceptor.session.Close()
	out, err := dialed.Open()
	assert.NilError(t, err)
	data := make([]byte, wire.MaxFrameBytes-100)
	data[len(data)-1] = 7
	sent := make(chan error, 1)
	go func() {
		err := out.Send(&wire.Frame{Body: &wire.Frame_Data{Data: &wire.Data{Data: data}}})
		if err == nil {
			err = out.Send(&wire.Frame{Body: &wire.Frame_Data{
				Data: &wire.Data{Data: make([]byte, wire.MaxFrameBytes)}}})
		}
		sent <- err
	}()
	in, err := acceptor.session.Accept()
	assert.NilError(t, err)
	f, err := in.Recv()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(f.GetData().Data, data))
	_, err = in.Recv()
	assert.Assert(t, errors.Is(err, wire.ErrTooLarge), "%v", err)
	acceptor.session.Close()
	<-sent
}

// Guards against a session with a process that does not have the fleet's secret.
func TestWrongSecret(t *testing.T) {
	_, acceptor, err := connect(t, options("g1", wire.Gateway, "wrong"), options("a1", wire.Agent, "right"))
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(acceptor.err, wire.ErrWrongSecret), "%v", acceptor.err)
}
