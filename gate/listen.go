package gate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/budget"
	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/listen"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/units"
)

// Names of the listeners.
const (
	publicName = "public"
	adminName  = "admin"
)

// maxAdminConnections bounds the connections to the listener for administration.
const maxAdminConnections = 64

// Answers to heads that are not parsed: for lack of room, and beyond the limit.
var (
	busyAnswer     = headAnswer(newProblem(units.QueueFull, "the gateway has too many request headers in memory"), http.StatusServiceUnavailable)
	tooLargeAnswer = headAnswer(newProblem(units.InvalidRequest, "the header is too large"), http.StatusRequestHeaderFieldsTooLarge)
)

func headAnswer(p *Problem, status int) []byte {
	fields := headerRun + ": " + runHeaderNotRun + "\r\n"
	if status == http.StatusServiceUnavailable {
		fields += headerRetryAfter + ": 1\r\n"
	}
	return listen.Answer(status, fields, string(p.encode()))
}

// listener is an HTTP server with its TCP listener.
type listener struct {
	name string
	tcp  *limitedListener
	http *http.Server
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// newListener opens the listener at address, as IP:port. The name appears in logs and errors.
func newListener(name, address string, h http.Handler, l *Limits, heads *budget.Pool) (*listener, error) {
	n, err := net.Listen("tcp", address) //nolint:noctx // no context at start
	if err != nil {
		return nil, fmt.Errorf("listen on %s address: %w", name, err)
	}
	// ReadTimeout and WriteTimeout would cut off long streams. Instead, the handlers set deadlines
	// for the request body and for each flush.
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout.Duration(),
		IdleTimeout:       l.IdleTimeout.Duration(),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ErrorLog:          klog.NewStandardLogger("WARNING"),

		DisableGeneralOptionsHandler: true,
	}
	if name == adminName {
		s.ReadTimeout, s.WriteTimeout = l.HeaderTimeout.Duration(), l.WriteTimeout.Duration()
	}
	most := l.MaxConnections
	if name == adminName {
		most = min(most, maxAdminConnections)
	}
	tcp := newLimitedListener(listen.New(n, listen.Options{
		Heads: heads, HeadBytes: func() int { return l.MaxHeaderBytes }, HeadTimeout: func() clock.Span { return l.HeaderTimeout },
		IdleTimeout: func() clock.Span { return 0 }, WriteTimeout: l.WriteTimeout, UnreadBytes: units.Bytes(l.MaxHeadBuffers),
		Busy: busyAnswer, TooLarge: tooLargeAnswer,
	}), most)
	s.ConnState, s.ConnContext = tcp.onStateChange, func(ctx context.Context, c net.Conn) context.Context {
		if own, ok := c.(*limitedConn); ok {
			c = own.Conn
		}
		return listen.WithConn(ctx, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		followed, ok := listen.Begin(r)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, followed)
	})
	return &listener{name: name, tcp: tcp, http: s, served: make(chan struct{})}, nil
}

// serve handles requests until shutdown.
func (l *listener) serve() {
	defer close(l.served)
	if err := l.http.Serve(l.tcp); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.Errorf("gate: %s listener failed: %v", l.name, err)
	}
}

const (
	// roomInterval is the interval at which a full listener looks for connections that give way. roomPart divides the limit to
	// give the number of those that give way at once.
	roomInterval = 100 * time.Millisecond
	roomPart     = 8
)

// limitedListener bounds the number of open connections; further ones wait in the backlog of the
// socket, while connections that have stood still give way to them. It closes idle connections.
type limitedListener struct {
	net.Listener
	heads  *listen.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	// stopSlots are further slots, for use once stopping is closed.
	stopSlots    chan struct{}
	stopping     chan struct{}
	stoppingOnce sync.Once

	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

func newLimitedListener(l *listen.Listener, limit int) *limitedListener {
	return &limitedListener{
		Listener: l, heads: l, slots: make(chan struct{}, limit), closed: make(chan struct{}),
		stopSlots: make(chan struct{}, limit), stopping: make(chan struct{}), conns: map[*limitedConn]struct{}{},
	}
}

// open returns the number of open connections.
func (b *limitedListener) open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// beginStop doubles the number of connections that may be open, so that those that wait in the backlog of the socket are
// refused. Closing the socket would reset them.
func (b *limitedListener) beginStop() { b.stoppingOnce.Do(func() { close(b.stopping) }) }

// takeSlot waits for a slot and returns the channel that it has to be received from to free it.
func (b *limitedListener) takeSlot() (slots chan struct{}, err error) {
	select {
	case b.slots <- struct{}{}:
		return b.slots, nil
	default:
	}
	t := time.NewTicker(roomInterval)
	defer t.Stop()
	for waiting := true; waiting; {
		select {
		case b.slots <- struct{}{}:
			return b.slots, nil
		case <-b.closed:
			return nil, net.ErrClosed
		case <-b.stopping:
			waiting = false
		case <-t.C:
			b.makeRoom()
		}
	}
	select {
	case b.slots <- struct{}{}:
		return b.slots, nil
	case b.stopSlots <- struct{}{}:
		return b.stopSlots, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// makeRoom closes connections that have stood still, if others wait: those without an answer first, and those that have
// stood still for longest.
func (b *limitedListener) makeRoom() {
	if !socket.Waiting(b.heads.Listener) {
		return
	}
	type stale struct {
		conn   *limitedConn
		served bool
		since  clock.Time
	}
	var found []stale
	b.mu.Lock()
	for c := range b.conns {
		if incomplete, at := c.Incomplete(); (incomplete || c.isWaiting()) && c.Now().Sub(at) >= budget.IdleSpan {
			found = append(found, stale{c, c.Served(), at})
		}
	}
	b.mu.Unlock()
	slices.SortFunc(found, func(x, y stale) int {
		if x.served != y.served {
			return cmp.Compare(boolInt(x.served), boolInt(y.served))
		}
		return cmp.Compare(x.since, y.since)
	})
	most := max(cap(b.slots)/roomPart, 1)
	if len(found) > 0 && found[0].served {
		most = max(most/roomPart, 1)
	}
	for _, f := range found[:min(len(found), most)] {
		if f.conn.TryEnd() {
			stats.Event("caller_connections_closed")
			_ = f.conn.Close()
		}
	}
}

func boolInt(v bool) int {
	if v {
		return 1
	}
	return 0
}

// Accept implements net.Listener.
func (b *limitedListener) Accept() (net.Conn, error) {
	slots, err := b.takeSlot()
	if err != nil {
		return nil, err
	}
	n, err := b.Listener.Accept()
	if err != nil {
		<-slots
		return nil, err
	}
	inner, ok := n.(*listen.Conn)
	if !ok {
		<-slots
		return nil, fmt.Errorf("accept: connection of type %T", n)
	}
	c := &limitedConn{Conn: inner, listener: b, slots: slots, openedAt: time.Now(), state: http.StateNew}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (b *limitedListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

// onStateChange records the state of a connection. It is an http.Server.ConnState hook.
func (b *limitedListener) onStateChange(n net.Conn, s http.ConnState) {
	if c, ok := n.(*limitedConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state = s
		b.heads.OnStateChange(c.Conn, s)
	}
}

// closeIdle closes the idle connections.
func (b *limitedListener) closeIdle() {
	b.mu.Lock()
	all := make([]*limitedConn, 0, len(b.conns))
	for c := range b.conns {
		all = append(all, c)
	}
	b.mu.Unlock()
	for _, c := range all {
		if c.isIdle() {
			_ = c.Close()
		}
	}
}

// limitedConn frees its slot when it is closed.
type limitedConn struct {
	*listen.Conn
	listener *limitedListener
	slots    chan struct{}
	once     sync.Once
	openedAt time.Time

	mu    sync.Mutex
	state http.ConnState
}

// isWaiting reports whether the connection waits for a request of which nothing has arrived.
func (c *limitedConn) isWaiting() bool {
	c.mu.Lock()
	s := c.state
	c.mu.Unlock()
	return (s == http.StateIdle || s == http.StateNew) && !c.Arriving()
}

// isIdle reports whether the connection carries no request. One of which a part has arrived counts, also if nobody has
// read it yet, as on a busy machine.
func (c *limitedConn) isIdle() bool {
	c.mu.Lock()
	s := c.state
	c.mu.Unlock()
	if s != http.StateIdle && (s != http.StateNew || time.Since(c.openedAt) < listen.NewConnTimeout) {
		return false
	}
	return !c.Arriving()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		<-c.slots
	})
	return c.Conn.Close()
}
