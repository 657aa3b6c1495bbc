// Package wire carries the messages between the processes of magnolialever:
// protobuf frames on yamux streams, after both sides have proved that they hold
// the secret of the fleet.
package wire

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Limits of a session.
const (
	// MaxFrameBytes is the largest frame that is accepted.
	MaxFrameBytes = 16 << 20

	handshakeTimeout  = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 5 * time.Second
	streamWindowBytes = 256 << 10
	// readBufferBytes is small, because each request has a stream on both sides;
	// larger frames bypass the buffer.
	readBufferBytes = 512
	// maxHelloBytes bounds what a peer can send before it is authenticated.
	maxHelloBytes = 4 << 10
	// chunkBytes is the step in which the buffer of a frame grows with the data that
	// arrives, so that a length alone reserves no memory.
	chunkBytes = 64 << 10
	nonceBytes = 16
)

// Errors of the handshake and of streams.
var (
	ErrTooLarge = errors.New("frame is too large")

	ErrWrongSecret = errors.New("peer does not hold the secret of the fleet")
	ErrNoHello     = errors.New("peer did not send a hello message")
)

// Role is what a process does in the fleet.
type Role string

// Roles.
const (
	Gateway Role = "gateway"
	Agent   Role = "agent"
)

// Identity is what a process tells its peers of itself.
type Identity struct {
	ID   string
	Role Role
	Zone string
}

// Options configure the sessions of a process.
type Options struct {
	Self   Identity
	Secret []byte
	// TLS, when set, protects the connection and checks the peer's certificate.
	TLS *tls.Config
}

// Session is an authenticated connection to a peer.
type Session struct {
	mux  *yamux.Session
	peer Identity
}

// Dial connects to the address and authenticates both sides.
func Dial(ctx context.Context, address string, o Options) (*Session, error) {
	d := net.Dialer{Timeout: handshakeTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	if o.TLS != nil {
		c = tls.Client(c, o.TLS)
	}
	c = newBatch(c)
	s, err := yamux.Client(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	return establish(s, o, true)
}

// Accept authenticates the peer of an accepted connection. It closes the
// connection when that fails.
func Accept(c net.Conn, o Options) (*Session, error) {
	if o.TLS != nil {
		c = tls.Server(c, o.TLS)
	}
	c = newBatch(c)
	s, err := yamux.Server(c, muxConfig())
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("accept session: %w", err)
	}
	return establish(s, o, false)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowBytes
	return c
}

func establish(m *yamux.Session, o Options, dialer bool) (*Session, error) {
	peer, err := handshake(m, o, dialer)
	if err != nil {
		_ = m.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return &Session{mux: m, peer: peer}, nil
}

func handshake(m *yamux.Session, o Options, dialer bool) (Identity, error) {
	st, err := handshakeStream(m, dialer)
	if err != nil {
		return Identity{}, err
	}
	defer st.Close()
	st.limit = maxHelloBytes
	if err := st.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Identity{}, fmt.Errorf("set deadline: %w", err)
	}
	mine := &Hello{Id: o.Self.ID, Role: string(o.Self.Role), Zone: o.Self.Zone, Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(mine.Nonce) // never fails
	theirs, err := exchange(st, mine)
	if err != nil {
		return Identity{}, err
	}
	if len(theirs.Nonce) != nonceBytes {
		return Identity{}, ErrNoHello
	}
	// The proof covers the side, so that a peer can't return it as its own.
	mine.Proof = proof(o.Secret, dialer, mine, theirs)
	answer, err := exchange(st, mine)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(answer.Proof, proof(o.Secret, !dialer, theirs, mine)) {
		return Identity{}, ErrWrongSecret
	}
	return Identity{ID: theirs.Id, Role: Role(theirs.Role), Zone: theirs.Zone}, nil
}

func handshakeStream(m *yamux.Session, dialer bool) (*Stream, error) {
	if dialer {
		st, err := m.OpenStream()
		if err != nil {
			return nil, fmt.Errorf("open stream: %w", err)
		}
		return newStream(st), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	st, err := m.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return newStream(st), nil
}

func exchange(st *Stream, h *Hello) (*Hello, error) {
	if err := st.Send(&Frame{Body: &Frame_Hello{Hello: h}}); err != nil {
		return nil, err
	}
	f, err := st.Recv()
	if err != nil {
		return nil, err
	}
	if f.GetHello() == nil {
		return nil, ErrNoHello
	}
	return f.GetHello(), nil
}

func proof(secret []byte, dialer bool, from, to *Hello) []byte {
	h := hmac.New(sha256.New, secret)
	side := "acceptor"
	if dialer {
		side = "dialer"
	}
	for _, s := range []string{side, from.Id, from.Role, from.Zone, string(from.Nonce), string(to.Nonce)} {
		// The length prefix keeps fields apart.
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	return h.Sum(nil)
}

// Peer returns what the peer proved to be.
func (s *Session) Peer() Identity { return s.peer }

// Open opens a stream to the peer.
func (s *Session) Open() (*Stream, error) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return newStream(st), nil
}

// Accept waits for a stream that the peer opens.
func (s *Session) Accept() (*Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return newStream(st), nil
}

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Stream carries frames. One goroutine may send while another receives.
type Stream struct {
	mux    *yamux.Stream
	reader *bufio.Reader
	// limit is the largest frame that is accepted.
	limit uint64
	mu    sync.Mutex
}

func newStream(st *yamux.Stream) *Stream {
	return &Stream{mux: st, reader: bufio.NewReaderSize(st, readBufferBytes), limit: MaxFrameBytes}
}

// Send writes one frame. It is safe for concurrent use.
func (s *Stream) Send(f *Frame) error {
	p := buffers.Get().(*buffer)
	defer p.free()
	b, err := appendFrame(p.data[:0], f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	p.data = b
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.mux.Write(b); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// Recv reads one frame. It returns io.EOF after the peer closed the stream.
func (s *Stream) Recv() (*Frame, error) {
	p := buffers.Get().(*buffer)
	defer p.free()
	if err := s.read(p); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	f := &Frame{}
	if err := proto.Unmarshal(p.data, f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// read reads the bytes of one frame.
func (s *Stream) read(p *buffer) error {
	n, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if n > s.limit {
		return ErrTooLarge
	}
	p.data = p.data[:0]
	for len(p.data) < int(n) {
		from := len(p.data)
		to := min(int(n), max(from+chunkBytes, 2*from))
		p.data = slices.Grow(p.data, to-from)[:to]
		_, err := io.ReadFull(s.reader, p.data[from:])
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// SetDeadline limits the time of pending and later calls.
func (s *Stream) SetDeadline(t time.Time) error { return s.mux.SetDeadline(t) }

// Close ends the stream; a peer that is receiving gets io.EOF.
func (s *Stream) Close() error { return s.mux.Close() }
