package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
)

// largeBody is the size from which a body is written beside reading the answer, since
// the upstream may answer before it has read all of it.
const largeBody = 32 << 10

// maxStray bounds the answers to earlier requests that are skipped on a connection.
const maxStray = 3

// request is what is sent to an upstream.
type request struct {
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	id     string
	header http.Header
	body   []byte
}

func (r *request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1024 + len(r.body))
	b.WriteString(r.method + " " + r.target + " HTTP/1.1\r\nHost: " + r.host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = r.header.Write(&b)
	if len(r.body) > 0 || (r.method != http.MethodGet && r.method != http.MethodHead && r.method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// answer is the head of an upstream's answer. Its body has to be read and then the
// answer closed.
type answer struct {
	platform.Answer
	status int
	header http.Header
	body   io.Reader
	// unframed answers end with their connection.
	unframed bool
	pool     *pool
	address  string
	conn     *conn
	stop     func() bool
	// writing reports the end of a large body that is written beside.
	writing chan error
	// keep is set where the connection may carry another request.
	keep bool
}

// errStray means that a connection carried too many answers to other requests.
var errStray = errors.New("answers to other requests")

// call sends the request and reads the head of the answer. An error that wraps
// errNotSent says that the upstream can't have received the request.
func (p *pool) call(ctx context.Context, address string, r *request, first time.Time) (*answer, error) {
	data := r.encode()
	c, reused, err := p.get(ctx, address)
	if err != nil {
		return nil, err
	}
	if !reused && p.dialed != nil {
		p.dialed()
	}
	stop := context.AfterFunc(ctx, func() { c.drop() })
	a := &answer{pool: p, address: address, conn: c, stop: stop}
	if err := a.send(data, first); err != nil {
		a.abort()
		return nil, err
	}
	if err := a.readHead(r); err != nil {
		a.abort()
		return nil, err
	}
	return a, nil
}

func (a *answer) send(data []byte, first time.Time) error {
	if err := a.conn.SetDeadline(first); err != nil {
		return fmt.Errorf("set deadline: %w: %w", errNotSent, err)
	}
	if len(data) <= largeBody {
		if n, err := a.conn.Write(data); err != nil {
			if n == 0 {
				return fmt.Errorf("send: %w", errors.Join(errNotSent, err))
			}
			return fmt.Errorf("send: %w", err)
		}
		return nil
	}
	a.writing = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(data)
		a.writing <- err
	}()
	return nil
}

// readHead reads heads until one belongs to the request: an upstream may send a second
// answer to an earlier request late.
func (a *answer) readHead(r *request) error {
	for range maxStray {
		res, err := a.readOne(r) //nolint:bodyclose // closing the connection ends the body
		if err != nil {
			return err
		}
		p := platform.ReadAnswer(res.StatusCode, res.Header)
		if p.ID != "" && p.ID != r.id {
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				return fmt.Errorf("skip a stray answer: %w", err)
			}
			continue
		}
		a.Answer, a.status, a.header, a.body = p, res.StatusCode, res.Header, res.Body
		a.unframed = res.ContentLength < 0 && len(res.TransferEncoding) == 0 && hasBody(r.method, res.StatusCode)
		a.keep = !res.Close && !a.unframed && p.ID != ""
		return nil
	}
	return errStray
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// readOne reads the head of one final answer.
func (a *answer) readOne(r *request) (*http.Response, error) {
	for {
		a.conn.head = maxHead
		res, err := http.ReadResponse(a.conn.in, &http.Request{Method: r.method})
		a.conn.head = -1
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
}

// until sets the time by which the next part of the body has to arrive.
func (a *answer) until(t time.Time) error {
	if err := a.conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// done gives the connection back after a complete body.
func (a *answer) done() {
	if !a.stop() {
		a.conn.drop()
		return
	}
	if a.writing != nil {
		select {
		case err := <-a.writing:
			a.keep = a.keep && err == nil
		default:
			// The upstream has not read the whole request; closing tells it not to.
			a.keep = false
		}
	}
	if !a.keep || a.conn.in.Buffered() > 0 {
		a.conn.drop()
		return
	}
	a.pool.put(a.address, a.conn, a.Idle)
}

// abort closes the connection, which cancels the request at the upstream.
func (a *answer) abort() {
	a.stop()
	a.conn.drop()
}

// span converts a time of the project's clock for deadlines of connections.
func span(now, at clock.Time) time.Time { return time.Now().Add(at.Sub(now).Duration()) }
