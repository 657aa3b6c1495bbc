package gate

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magnolialever/magnolialever/units"
)

// readBody reads a request body within the limits of size and time.
func (s *Server) readBody(x *exchange, body io.Reader) ([]byte, *Problem) {
	limit := s.options.Gate.Limits.BodyBytes
	length := x.request.ContentLength
	if length > limit {
		x.writer.Header().Set("Connection", "close")
		return nil, problem(units.BodyTooLarge, "the body is too large")
	}
	c := x.writer.controller
	_ = c.SetReadDeadline(time.Now().Add(s.options.Gate.Limits.Body.Duration()))
	buffer := &bytes.Buffer{}
	if length > 0 {
		buffer.Grow(int(length) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(x.writer.response, io.NopCloser(body), limit))
	// A limit that stays set would look like a caller that has gone.
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, problem(units.BodyTooLarge, "the body is too large")
	case err != nil:
		return nil, problem(units.InvalidRequest, "the body could not be read")
	}
	return buffer.Bytes(), nil
}
