package gate

import (
	"io"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/clock"
)

// flushWriter is a ResponseWriter that flushes each write. A time limit for each write ends the
// connections of stalled readers. It has no ReadFrom, so that io.Copy can't merge small writes.
type flushWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// stopping, if set, reports whether the gateway stops.
	stopping func() bool
	// headWritten is set once the status and headers were written.
	headWritten bool
	// failed is set when a write to the caller failed.
	failed bool
	// request is the request that is answered; nil if its body needs no end.
	request *http.Request
}

const (
	// discardTimeout and maxDiscardBytes bound the reading of the rest of a refused body.
	discardTimeout  = 2 * time.Second
	maxDiscardBytes = 8 << 20
)

// endBody reads what is left of the request's body before it is refused. Closing a connection with unread bytes resets it, and
// then the caller may never see the refusal. A caller that waits for 100 (Continue) sends no body.
func (w *flushWriter) endBody() {
	r := w.request
	if r == nil || r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return
	}
	_ = w.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes+1)); err != nil || n > maxDiscardBytes {
		w.Header().Set("Connection", "close")
		return
	}
	// The deadline would be taken for a disconnect of the caller.
	_ = w.controller.SetReadDeadline(time.Time{})
}

// newFlushWriter returns a flushWriter; timeout bounds each write.
func newFlushWriter(w http.ResponseWriter, timeout clock.Span) *flushWriter {
	return &flushWriter{response: w, controller: http.NewResponseController(w), timeout: timeout.Duration()}
}

// Header implements http.ResponseWriter.
func (w *flushWriter) Header() http.Header { return w.response.Header() }

// WriteHeader implements http.ResponseWriter. A stopping gateway closes the connection after the response, so that the
// caller, or the load balancer, sends its next request to another gateway.
func (w *flushWriter) WriteHeader(status int) {
	if w.stopping != nil && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.headWritten = true
	w.response.WriteHeader(status)
}

// Write implements http.ResponseWriter and flushes.
func (w *flushWriter) Write(data []byte) (int, error) {
	w.setWriteDeadline()
	if !w.headWritten {
		w.WriteHeader(http.StatusOK)
	}
	n, err := w.response.Write(data)
	if err == nil {
		err = w.controller.Flush()
	}
	if err != nil {
		w.failed = true
	}
	return n, err
}

// setWriteDeadline starts the time limit of the next write. It also covers the end of the response,
// which the HTTP server writes.
func (w *flushWriter) setWriteDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

// Unwrap lets http.ResponseController reach the connection.
func (w *flushWriter) Unwrap() http.ResponseWriter { return w.response }
