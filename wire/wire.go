// Package wire transports messages between the processes of magnolialever: length-prefixed
// protobuf frames on yamux streams, over connections whose two sides have proved to each other
// that they have the shared secret of the fleet.
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
	// MaxFrameBytes is the largest encoded frame that a receiver accepts, without the length
	// prefix.
	MaxFrameBytes = 16 << 20

	handshakeTimeout  = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 5 * time.Second
	streamWindowBytes = 256 << 10
	// readBufferBytes is small, because each request in flight has a stream on both sides; data
	// beyond it bypasses the buffer.
	readBufferBytes = 512
	// maxHelloBytes bounds the frames of an unauthenticated peer.
	maxHelloBytes = 4 << 10
	// The buffer for a frame starts with initialReadBytes and at most doubles as data arrives,
	// so that a large length prefix alone allocates little memory.
	initialReadBytes = 64 << 10
	nonceBytes       = 16
)

// Errors of streams and of the handshake: ErrTooLarge for a received frame over the limit,
// ErrWrongSecret when the peer does not have the fleet's secret, ErrNoHello when it sent
// another message than a valid Hello.
var (
	ErrTooLarge = errors.New("frame exceeds the size limit")

	ErrWrongSecret = errors.New("peer does not have the secret of the fleet")
	ErrNoHello     = errors.New("peer did not send a valid hello message")
)

// Role is the kind of a process in the fleet.
type Role string

// The roles of processes.
const (
	Gateway Role = "gateway"
	Agent   Role = "agent"
)

// Identity identifies a process to its peers: its VM ID, role and availability zone.
type Identity struct {
	ID   string
	Role Role
	Zone string
}

// Options configure the sessions of a process.
type Options struct {
	Self Identity
	// Secret is the shared secret of the fleet.
	Secret []byte
	// TLS, when set, encrypts the connection and verifies the peer's certificate.
	TLS *tls.Config
}

// Session is an authenticated connection to a peer. It carries any number of streams.
type Session struct {
	mux  *yamux.Session
	peer Identity
}

// Dial connects to the address, an IP:port, and authenticates both sides. It fails with
// ErrWrongSecret or ErrNoHello when the handshake does.
func Dial(ctx context.Context, address string, o Options) (*Session, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to peer: %w", err)
	}
	if o.TLS != nil {
		conn = tls.Client(conn, o.TLS)
	}
	conn = newBatchConn(conn)
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	return authenticate(mux, o, true)
}

// Accept authenticates the peer of an accepted connection. It closes the connection when that
// fails.
func Accept(conn net.Conn, o Options) (*Session, error) {
	if o.TLS != nil {
		conn = tls.Server(conn, o.TLS)
	}
	handshake := newHandshakeConn(conn)
	handshakes.add(handshake)
	defer handshakes.remove(handshake)
	conn = newBatchConn(handshake)
	mux, err := yamux.Server(conn, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("accept session: %w", err)
	}
	s, err := authenticate(mux, o, false)
	if err == nil {
		close(handshake.known)
	}
	return s, err
}

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	return config
}

// authenticate performs the handshake on the first stream, and closes the connection when it
// fails.
func authenticate(mux *yamux.Session, o Options, dialer bool) (*Session, error) {
	peer, err := handshake(mux, o, dialer)
	if err != nil {
		_ = mux.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return &Session{mux: mux, peer: peer}, nil
}

// handshake exchanges two Hello messages in each direction, first with a nonce and then with a
// proof over both nonces, and returns the identity of the peer.
func handshake(mux *yamux.Session, o Options, dialer bool) (Identity, error) {
	stream, err := handshakeStream(mux, dialer)
	if err != nil {
		return Identity{}, err
	}
	stream.maxFrameBytes = maxHelloBytes
	if err := stream.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return Identity{}, fmt.Errorf("set deadline: %w", err)
	}
	own := &Hello{Id: o.Self.ID, Role: string(o.Self.Role), Zone: o.Self.Zone,
		Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(own.Nonce) // never returns an error
	peer, err := exchangeHello(stream, own)
	if err != nil {
		return Identity{}, err
	}
	if len(peer.Nonce) != nonceBytes {
		return Identity{}, ErrNoHello
	}
	// The proof covers the side, so that a peer can't send this process its own proof back.
	own.Proof = helloProof(o.Secret, dialer, own, peer)
	peerProof, err := exchangeHello(stream, own)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(peerProof.Proof, helloProof(o.Secret, !dialer, peer, own)) {
		return Identity{}, ErrWrongSecret
	}
	// The caller closes a session whose handshake has failed. Yamux keeps a stream that was closed before for minutes, and its
	// session with it.
	if err := stream.Close(); err != nil {
		return Identity{}, fmt.Errorf("close stream: %w", err)
	}
	return Identity{ID: peer.Id, Role: Role(peer.Role), Zone: peer.Zone}, nil
}

// handshakeStream returns the first stream of a session, which the dialer opens.
func handshakeStream(mux *yamux.Session, dialer bool) (*Stream, error) {
	if dialer {
		stream, err := mux.OpenStream()
		if err != nil {
			return nil, fmt.Errorf("open stream: %w", err)
		}
		return newStream(stream), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	stream, err := mux.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return newStream(stream), nil
}

// exchangeHello sends a Hello and returns the one that the peer sends.
func exchangeHello(stream *Stream, own *Hello) (*Hello, error) {
	if err := stream.Send(&Frame{Body: &Frame_Hello{Hello: own}}); err != nil {
		return nil, err
	}
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if frame.GetHello() == nil {
		return nil, ErrNoHello
	}
	return frame.GetHello(), nil
}

// helloProof returns the HMAC by which the sender of from proves to the sender of to that it
// has the secret; dialer tells whether it opened the connection.
func helloProof(secret []byte, dialer bool, from, to *Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	side := "acceptor"
	if dialer {
		side = "dialer"
	}
	for _, field := range []string{side, from.Id, from.Role, from.Zone, string(from.Nonce), string(to.Nonce)} {
		// The length prefix separates the fields unambiguously.
		_, _ = fmt.Fprintf(mac, "%d:%s", len(field), field)
	}
	return mac.Sum(nil)
}

// Peer returns the authenticated identity of the peer.
func (s *Session) Peer() Identity { return s.peer }

// Open opens a stream to the peer.
func (s *Session) Open() (*Stream, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return newStream(stream), nil
}

// Accept waits for the next stream that the peer opens. It fails when the session ends.
func (s *Session) Accept() (*Stream, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return newStream(stream), nil
}

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Stream is an ordered stream of frames in both directions. Several goroutines may
// send while one receives.
type Stream struct {
	mux    *yamux.Stream
	reader *bufio.Reader
	// maxFrameBytes is the largest frame that Recv accepts.
	maxFrameBytes uint64
	mu            sync.Mutex
}

func newStream(mux *yamux.Stream) *Stream {
	return &Stream{mux: mux, reader: bufio.NewReaderSize(mux, readBufferBytes), maxFrameBytes: MaxFrameBytes}
}

// Send writes one frame. It is safe for concurrent use, and blocks while the peer's receive
// window is full.
func (s *Stream) Send(f *Frame) error {
	buf := bufferPool.Get().(*buffer)
	defer buf.release()
	data, err := appendFrame(buf.data[:0], f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	buf.data = data
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.mux.Write(data); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// Recv reads one frame. Its error matches io.EOF after the peer closed the stream, and
// ErrTooLarge when the frame exceeds the limit.
func (s *Stream) Recv() (*Frame, error) {
	buf := bufferPool.Get().(*buffer)
	defer buf.release()
	if err := s.read(buf); err != nil {
		return nil, fmt.Errorf("receive frame: %w", err)
	}
	frame := &Frame{}
	if err := proto.Unmarshal(buf.data, frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return frame, nil
}

// read reads the encoded bytes of one frame into the buffer.
func (s *Stream) read(buf *buffer) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return err
	}
	if size > s.maxFrameBytes {
		return ErrTooLarge
	}
	buf.data = buf.data[:0]
	for len(buf.data) < int(size) {
		start := len(buf.data)
		end := min(int(size), max(start+initialReadBytes, 2*start))
		buf.data = slices.Grow(buf.data, end-start)[:end]
		_, err := io.ReadFull(s.reader, buf.data[start:])
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// SetDeadline sets the time at which pending and later calls of Send and Recv fail.
func (s *Stream) SetDeadline(t time.Time) error { return s.mux.SetDeadline(t) }

// Close closes the stream for sending; the peer's Recv returns io.EOF after the frames sent
// before.
func (s *Stream) Close() error { return s.mux.Close() }
