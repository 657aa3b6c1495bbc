// Package copies finds another answer inside the body of an answer. An upstream that answers twice may write the
// second answer into a body whose end is only the end of the connection, or into the middle of one.
package copies

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// ErrSecondAnswer means that the head of another answer stands in a body. What follows belongs to no request, and
// what comes before it may be incomplete.
var ErrSecondAnswer = errors.New("the body holds the head of another answer")

const (
	// maxHeadBytes is the size up to which bytes are held back because they may be the head of an answer.
	maxHeadBytes = 16 << 10
	// maxStatusBytes is the size up to which they may be its first line.
	maxStatusBytes = 256
	// readBytes is the size of reads from the body.
	readBytes = 8 << 10
)

// statusLine is what each status line begins with.
var statusLine = []byte("HTTP/1.")

// Options describe the body that a Reader reads.
type Options struct {
	// IsAnswer reports whether a head with the status and the header, found in the body, is that of an upstream's
	// answer. Other heads are part of the body, as in a text on HTTP.
	IsAnswer func(status int, h http.Header) bool
	// EndsInHead reports whether bytes at the end of the body that may be the begin of a head are one. It is asked once,
	// at that end; if nil, they are part of the body.
	EndsInHead func() bool
}

// Reader passes on a body up to the head of another answer, where it fails with ErrSecondAnswer. It holds back bytes
// that may be such a head until that is known.
type Reader struct {
	options Options
	body    io.Reader
	// data holds the bytes that were read and not passed on, of which the first clean ones are part of the body.
	data  []byte
	clean int
	// err is returned after the clean bytes.
	err error
	in  []byte
}

// NewReader returns a Reader of the body.
func NewReader(body io.Reader, o Options) *Reader {
	return &Reader{options: o, body: body, in: make([]byte, readBytes)}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for r.clean == 0 && r.err == nil {
		r.fill()
	}
	if r.clean == 0 {
		return 0, r.err
	}
	n := copy(p, r.data[:r.clean])
	r.data, r.clean = r.data[n:], r.clean-n
	return n, nil
}

// fill reads once from the body and finds out how much of the data is clean.
func (r *Reader) fill() {
	n, err := r.body.Read(r.in)
	r.data = append(r.data, r.in[:n]...)
	r.err = err
	r.scan()
	if errors.Is(r.err, io.EOF) {
		r.finish()
	}
}

// scan advances clean up to the first bytes that are, or may become, the head of an answer.
func (r *Reader) scan() {
	for {
		i := bytes.Index(r.data[r.clean:], statusLine)
		if i < 0 {
			r.clean = max(r.clean, len(r.data)-partialSuffix(r.data[r.clean:]))
			return
		}
		r.clean += i
		switch r.examine(r.data[r.clean:]) {
		case undecided:
			return
		case answer:
			r.err = ErrSecondAnswer
			return
		case content:
			r.clean += len(statusLine)
		}
	}
}

// finish decides on what was held back when the body has ended.
func (r *Reader) finish() {
	if len(r.data)-r.clean > len(statusLine) && r.options.EndsInHead != nil && r.options.EndsInHead() {
		r.err = ErrSecondAnswer
		return
	}
	r.clean = len(r.data)
}

// verdict is what bytes that begin like a status line are.
type verdict uint8

const (
	// undecided means that more bytes are needed.
	undecided verdict = iota
	// answer is the head of another answer.
	answer
	// content is part of the body.
	content
)

// examine returns what data, which begins with statusLine, is. A line that can't be one of a head decides at once, so
// that each byte is held back for one head at most.
func (r *Reader) examine(data []byte) verdict {
	if !mayBeStatusLine(data) {
		return content
	}
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 || end > maxStatusBytes {
		return undecidedUpTo(data, maxStatusBytes)
	}
	for {
		line := data[end:]
		n := bytes.IndexByte(line, '\n') + 1
		if n == 0 {
			return undecidedUpTo(data, maxHeadBytes)
		}
		line, end = line[:n], end+n
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return r.decide(data[:end])
		case !isHeaderLine(line) || end > maxHeadBytes:
			return content
		}
	}
}

// undecidedUpTo returns undecided if data is not longer than the limit, else content.
func undecidedUpTo(data []byte, limit int) verdict {
	if len(data) > limit {
		return content
	}
	return undecided
}

// decide returns what the whole head is.
func (r *Reader) decide(head []byte) verdict {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil) //nolint:bodyclose // it has no body
	if err != nil || !r.options.IsAnswer(res.StatusCode, res.Header) {
		return content
	}
	return answer
}

// mayBeStatusLine reports whether data, which begins with statusLine, goes on like one: a digit, a space and three
// digits, as far as there are bytes.
func mayBeStatusLine(data []byte) bool {
	for i, c := range data[len(statusLine):min(len(data), len(statusLine)+5)] {
		if i == 1 && c != ' ' || i != 1 && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// isHeaderLine reports whether a line begins with the name of a header field and a colon.
func isHeaderLine(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && len(name) > 0 && !bytes.ContainsAny(name, " \t/()<>@,;\\\"[]?={}")
}

// partialSuffix returns the length of the longest end of data with which statusLine begins.
func partialSuffix(data []byte) int {
	for n := min(len(data), len(statusLine)-1); n > 0; n-- {
		if bytes.HasSuffix(data, statusLine[:n]) {
			return n
		}
	}
	return 0
}
