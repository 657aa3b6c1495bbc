package gate

import (
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/clock"
)

// writer is a ResponseWriter that flushes each write, within a time limit that
// ends connections of stalled readers. It has no ReadFrom, so that io.Copy can't
// collect small writes.
type writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	limit      time.Duration
	// failed is set when the caller did not take a write.
	failed bool
}

func newWriter(w http.ResponseWriter, limit clock.Span) *writer {
	return &writer{response: w, controller: http.NewResponseController(w), limit: limit.Duration()}
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.response.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) { w.response.WriteHeader(status) }

// Write implements http.ResponseWriter and flushes.
func (w *writer) Write(data []byte) (int, error) {
	w.arm()
	n, err := w.response.Write(data)
	if err == nil {
		err = w.controller.Flush()
	}
	if err != nil {
		w.failed = true
	}
	return n, err
}

// arm starts the time limit of the next write. It also covers the end of the
// answer, which the server writes.
func (w *writer) arm() { _ = w.controller.SetWriteDeadline(time.Now().Add(w.limit)) }

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.response }
