// Package copies finds another answer inside the body of an answer. A faulty upstream may send an answer twice, or the
// answer to an earlier request of the connection once more, and write it into a body whose end is only the end of the
// connection, or into the middle of a body.
package copies

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"regexp"
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

// statusPrefix is what each status line begins with.
var statusPrefix = []byte("HTTP/1.")

// Options describe the body that a Reader reads.
type Options struct {
	// IsAnswer reports whether a head with the status and the header, found in the body, is that of an upstream's
	// answer. Other heads are part of the body, as in a text on HTTP. If it holds for some fields of a head, it has to
	// hold for all of them.
	IsAnswer func(status int, h http.Header) bool
	// IsPartialAnswer reports whether a partial head at the end of the body counts as another answer. If nil, it is
	// part of the body.
	IsPartialAnswer func(head []byte) bool
}

// Reader passes on a body up to the head of another answer, where it fails with ErrSecondAnswer. It holds back bytes
// that may be such a head until that is known.
type Reader struct {
	options Options
	body    io.Reader
	// data holds the bytes that were read and not passed on, of which the first released ones are part of the body.
	data     []byte
	released int
	// examined is the number of bytes after the released ones that are whole lines of a head.
	examined int
	// err is returned after the released bytes.
	err    error
	buffer []byte
}

// NewReader returns a Reader of the body.
func NewReader(body io.Reader, o Options) *Reader {
	return &Reader{options: o, body: body, buffer: make([]byte, readBytes)}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	for r.released == 0 && r.err == nil {
		r.fill()
	}
	if r.released == 0 {
		return 0, r.err
	}
	n := copy(p, r.data[:r.released])
	r.data, r.released = r.data[n:], r.released-n
	return n, nil
}

// fill reads once from the body and finds out how much of the data can be released.
func (r *Reader) fill() {
	n, err := r.body.Read(r.buffer)
	r.data = append(r.data, r.buffer[:n]...)
	r.err = err
	r.scan()
	if errors.Is(r.err, io.EOF) {
		r.finish()
	}
}

// scan releases the bytes up to the first that are, or may become, the head of an answer.
func (r *Reader) scan() {
	for {
		if i := bytes.Index(r.data[r.released:], statusPrefix); i > 0 {
			r.released += i
		} else if i < 0 {
			r.released = max(r.released, len(r.data)-partialSuffix(r.data[r.released:]))
			return
		}
		verdict, n := r.examine(r.data[r.released:])
		switch verdict {
		case undecided:
			return
		case answer:
			r.err = ErrSecondAnswer
			return
		case content:
			r.released += n
			r.examined = 0
		}
	}
}

// finish decides on what was held back when the body has ended.
func (r *Reader) finish() {
	held := r.data[r.released:]
	if len(held) > 0 && r.options.IsPartialAnswer != nil && r.options.IsPartialAnswer(held) {
		r.err = ErrSecondAnswer
		return
	}
	r.released = len(r.data)
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

// examine returns what data, which begins with statusPrefix, is. For content it returns how many bytes are no head, nor
// the begin of one: a status line inside a header line has a part of the same fields.
func (r *Reader) examine(data []byte) (verdict, int) {
	if r.examined == 0 {
		n := bytes.IndexByte(data[:min(len(data), maxStatusBytes)], '\n') + 1
		switch {
		case !mayBeOddStatusLine(data), n > 0 && !bytes.HasSuffix(data[:n], []byte("\r\n")), n == 0 && len(data) >= maxStatusBytes,
			!mayBeStatusLine(data) && bytes.Count(data[:n], statusPrefix) > 1:
			return content, len(statusPrefix)
		case n == 0:
			return undecided, 0
		}
		r.examined = n
	}
	for r.examined <= maxHeadBytes {
		line := data[r.examined:]
		n := bytes.IndexByte(line, '\n') + 1
		switch {
		case n == 0 && len(data) <= maxHeadBytes:
			return undecided, 0
		case n == 0:
			return content, r.examined
		case len(bytes.TrimRight(line[:n], "\r\n")) == 0:
			return r.decide(data[:r.examined+n])
		case !isHeaderLine(line[:n]):
			return content, r.examined
		}
		r.examined += n
	}
	return content, r.examined
}

// decide returns what the whole head is.
func (r *Reader) decide(head []byte) (verdict, int) {
	if status, header, ok := parseHead(head); ok && r.options.IsAnswer(status, header) {
		return answer, 0
	}
	return content, len(head)
}

// parseHead returns the status and the header of a whole head, and whether it can be parsed. The status is 0 if it, or the
// length of the body, can't be: an upstream in trouble writes such answers.
func parseHead(head []byte) (status int, header http.Header, ok bool) {
	res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil) //nolint:bodyclose // it has no body
	if err == nil {
		return res.StatusCode, res.Header, true
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	mime, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	mime.Del("Transfer-Encoding") // as ReadResponse does
	return 0, http.Header(mime), err == nil
}

// IsFinalStatus reports whether a final answer may have the status: 200 to 599.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// mayBeStatusLine reports whether data, which begins with statusPrefix, goes on like a status line: a digit, a space and
// three digits, as far as there are bytes.
func mayBeStatusLine(data []byte) bool {
	for i, c := range data[len(statusPrefix):min(len(data), len(statusPrefix)+5)] {
		if i == 1 && c != ' ' || i != 1 && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// mayBeOddStatusLine is mayBeStatusLine with any word in place of the three digits.
func mayBeOddStatusLine(data []byte) bool {
	for i, c := range data[len(statusPrefix):min(len(data), len(statusPrefix)+3)] {
		if i == 0 && (c < '0' || c > '9') || i == 1 && c != ' ' || i == 2 && c <= ' ' {
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

// partialSuffix returns the length of the longest end of data with which statusPrefix begins.
func partialSuffix(data []byte) int {
	for n := min(len(data), len(statusPrefix)-1); n > 0; n-- {
		if bytes.HasSuffix(data, statusPrefix[:n]) {
			return n
		}
	}
	return 0
}

// HasStatusCode reports whether a partial head has a whole status code, be it an odd number.
func HasStatusCode(head []byte) bool {
	if len(head) < len(statusPrefix)+5 {
		return false
	}
	return mayBeStatusLine(head) || oddStatusCode.Match(head)
}

// oddStatusCode matches the begin of a status line with any number. A word in its place is too common in texts on HTTP.
var oddStatusCode = regexp.MustCompile(`^HTTP/1\.[0-9] [+-]?[0-9]+[ \r]`)

// BeginsHead reports whether the data begins like the head of an answer.
func BeginsHead(data []byte) bool {
	return len(data) > len(statusPrefix) && bytes.HasPrefix(data, statusPrefix) && mayBeOddStatusLine(data)
}
