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

	"k8s.io/klog/v2"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/copies"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/stats"
)

// asyncSendBytes is the size of an encoded request above which it is written while the response is
// read, since the upstream may respond before it has read the whole request.
const asyncSendBytes = 32 << 10

// maxStrayResponses is the number of responses read from a connection before it is given up because
// none of them belongs to the request.
const maxStrayResponses = 3

const (
	// maxInformational is the number of informational (1xx) responses accepted before the final one.
	maxInformational = 8
	// maxDiscardBytes is the size of a body up to which it is read to its end without being used. It
	// is cheaper to open another connection than to read a longer one.
	maxDiscardBytes = 64 << 10
)

// request is a request to an upstream.
type request struct {
	method string
	// target is the path and query exactly as the caller sent them.
	target string
	host   string
	// id is the Request-Id, by which responses are matched.
	id     string
	header http.Header
	body   []byte
	// accepts reports whether the upstream may still get the request; it is asked right before the request is
	// written.
	accepts func() bool
	// onSilence is that of the connection while the request uses it; may be nil.
	onSilence func() (time.Time, bool)
	// deadline is the wall-clock time by which the response has to end.
	deadline time.Time
}

// needsOwnConn reports whether the request must not share a connection with others: its answer bears no id, or, as that to
// a HEAD request has no body, a late copy of one can't be told from the begin of a longer one.
func (r *request) needsOwnConn() bool { return r.id == "" || r.method == http.MethodHead }

// encode returns the request in the wire format of HTTP/1.1.
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

// response is an upstream's response whose head was read. After reading the body, call release;
// call abort to give up earlier.
type response struct {
	platform.ResponseHeader
	status int
	header http.Header
	body   io.Reader
	// length is the announced length of the body in bytes; negative if unknown.
	length int64
	// closeDelimited is set where the body ends with the connection.
	closeDelimited bool
	// method is that of the request.
	method  string
	pool    *pool
	address string
	conn    *conn
	// stopCancel stops the closing of conn on cancellation; it returns false when too late.
	stopCancel func() bool
	// sendDone receives the result of an asynchronous send; nil for a synchronous one.
	sendDone chan error
	// reusable is set where the connection may carry another request after the body.
	reusable bool
}

// errStrayResponses means that a connection carried too many responses to other requests.
var errStrayResponses = errors.New("too many responses to other requests")

// call sends the request and reads the head of the response until headDeadline, a wall-clock time.
// Canceling ctx closes the connection until the response is released. An error that wraps
// errNotSent means that no byte of the request can have reached the upstream; after any other
// error the request may have run.
func (p *pool) call(ctx context.Context, address string, r *request, headDeadline time.Time) (*response, error) {
	data := r.encode()
	c, reused, err := p.get(ctx, address, r)
	if err != nil {
		return nil, err
	}
	if !r.accepts() {
		p.putBack(address, c, reused)
		return nil, fmt.Errorf("%w: %w", errNotAccepted, errNotSent)
	}
	if err := p.limitSend(c, len(data)); err != nil {
		c.closeNow()
		return nil, errors.Join(errNotSent, err)
	}
	c.recordRequest(r.id)
	c.onSilence = r.onSilence
	if !reused && p.onDial != nil {
		p.onDial()
	}
	stopCancel := context.AfterFunc(ctx, c.abort)
	res := &response{method: r.method, pool: p, address: address, conn: c, stopCancel: stopCancel}
	if err := res.send(data, headDeadline, r.deadline); err != nil {
		res.abort()
		return nil, err
	}
	if err := res.readHead(r); err != nil {
		res.abort()
		return nil, err
	}
	return res, nil
}

// send writes the encoded request until sendDeadline and sets the deadline for the head. Large requests are written by
// a goroutine of their own.
func (rs *response) send(data []byte, headDeadline, sendDeadline time.Time) error {
	if err := errors.Join(rs.conn.SetReadDeadline(headDeadline), rs.conn.SetWriteDeadline(sendDeadline)); err != nil {
		return fmt.Errorf("set deadline: %w: %w", errNotSent, err)
	}
	if len(data) <= asyncSendBytes {
		if n, err := rs.conn.Write(data); err != nil {
			if n == 0 {
				return fmt.Errorf("send: %w", errors.Join(errNotSent, err))
			}
			return fmt.Errorf("send: %w", err)
		}
		return nil
	}
	rs.sendDone = make(chan error, 1)
	go func() {
		_, err := rs.conn.Write(data)
		rs.sendDone <- err
	}()
	return nil
}

// errNoOwner means that an answer does not say to which request it belongs.
var errNoOwner = errors.New("answer without a request id on a connection that carried other requests, or with several")

// errSwitched means that an upstream changed the protocol of the connection, which no request asks for.
var errSwitched = errors.New("the upstream changed the protocol")

// errOddStatus means that an answer has a status that no answer has. The request may have run.
var errOddStatus = errors.New("the answer's status is out of range")

// readHead reads response heads until one belongs to the request, since an upstream may send a late
// second response to an earlier request on the connection.
func (rs *response) readHead(r *request) error {
	for range maxStrayResponses {
		res, err := rs.readFinalHead(r) //nolint:bodyclose // closing the connection ends the body
		if err != nil {
			return err
		}
		p := platform.ParseResponseHeader(res.StatusCode, res.Header)
		if p.ManyRequestIDs || p.RequestID == "" && !rs.conn.carriesFirst() {
			return errNoOwner
		}
		if p.RequestID == r.id || rs.conn.carriesFirst() && (p.RequestID == "" || r.id == "") {
			rs.accept(r, res, p)
			return nil
		}
		rs.logStray(r, p.RequestID, res)
		if err := discardShort(res.Body); err != nil {
			return fmt.Errorf("skip a response to another request: %w", err)
		}
	}
	return errStrayResponses
}

// accept takes a head as that of the request's response.
func (rs *response) accept(r *request, res *http.Response, p platform.ResponseHeader) {
	rs.ResponseHeader, rs.status, rs.header = p, res.StatusCode, res.Header
	rs.length = res.ContentLength
	rs.closeDelimited = res.ContentLength < 0 && len(res.TransferEncoding) == 0 && hasBody(r.method, res.StatusCode)
	rs.reusable = !res.Close && !rs.closeDelimited && p.RequestID != "" && !r.needsOwnConn()
	rs.body = rs.untilSecondAnswer(res.Body)
}

// logStray logs and counts the answer to another request.
func (rs *response) logStray(r *request, other string, res *http.Response) {
	stats.Event("stray_answers")
	klog.InfoS("relay: answer to another request skipped", "request", r.id, "address", rs.address, "other", other,
		"status", res.StatusCode, "length", res.ContentLength, "carried", rs.conn.hasCarried(other))
}

// hasBody reports whether a response to the method with the status can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// endedByConnection is the begin of the ending of a body that ended with its connection.
const endedByConnection = "connection "

// ending is what ended the body of a response, as in logs.
func (rs *response) ending() string {
	switch {
	case rs.closeDelimited:
		return endedByConnection + rs.conn.Ended().String()
	case rs.length >= 0:
		return "length"
	case hasBody(rs.method, rs.status):
		return "chunks"
	}
	return "head"
}

// discardShort reads a body to its end, so that the connection can be used again. It fails for a body
// of more than maxDiscardBytes.
func discardShort(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		err = errors.New("body is too long")
	}
	return err
}

// readFinalHead reads response heads up to the first that is not informational (1xx).
func (rs *response) readFinalHead(r *request) (*http.Response, error) {
	for range maxInformational {
		rs.conn.beginHead()
		res, err := http.ReadResponse(rs.conn.reader, &http.Request{Method: r.method})
		rs.conn.headLimit = headLimit{}
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if copies.IsFinalStatus(res.StatusCode) {
			return res, nil
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode >= http.StatusOK {
			stats.Event("odd_status")
			return nil, fmt.Errorf("%w: %q", errOddStatus, res.Status)
		}
	}
	return nil, errors.New("too many informational responses")
}

// setReadDeadline sets the wall-clock time by which the next part of the body has to arrive.
func (rs *response) setReadDeadline(t time.Time) error {
	if err := rs.conn.SetReadDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// release returns the connection to the pool after the whole body was read, or closes it when it
// can't be used again.
func (rs *response) release() {
	if !rs.stopCancel() {
		rs.conn.abort()
		return
	}
	if rs.sendDone != nil {
		select {
		case err := <-rs.sendDone:
			rs.reusable = rs.reusable && err == nil
		default:
			// The upstream responded without reading the whole request. Closing the connection
			// ends the send.
			rs.reusable = false
		}
	}
	if rs.conn.reader.Buffered() > 0 {
		rs.conn.dropUnexpected(rs.address)
		return
	}
	if !rs.reusable {
		rs.conn.closeNow()
		return
	}
	rs.pool.put(rs.address, rs.conn, rs.IdleTimeout)
}

// abort resets the connection, on which the upstream cancels the request.
func (rs *response) abort() {
	rs.stopCancel()
	rs.conn.abort()
}

// wallTime converts t of package clock to a wall-clock time for connection deadlines; now is the
// current time of the same clock.
func wallTime(now, t clock.Time) time.Time { return time.Now().Add(t.Sub(now).Duration()) }
