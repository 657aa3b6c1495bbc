package agent

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/copies"
)

// answerBody returns a reader of the answer's body that ends where the answer does. It fails with
// copies.ErrSecondAnswer at the head of another answer to the request.
func answerBody(resp *http.Response, isModel bool) io.Reader {
	closeDelimited := isCloseDelimited(resp)
	options := copies.Options{IsAnswer: func(status int, h http.Header) bool { return isSecondHead(resp, status, h) }}
	if closeDelimited {
		options.IsPartialAnswer = copies.HasStatusCode
	}
	body := copies.NewReader(resp.Body, options)
	if isModel && closeDelimited && isJSON(resp.Header) {
		return &jsonBody{body: body}
	}
	return body
}

// dateHeader is the one field in which a second answer may differ from the first one.
const dateHeader = "Date"

// isSecondHead reports whether a head in the body of resp is that of a second answer to its request: it has the same
// status and fields, and was not written earlier. Upstreams of agents echo no request ids, and a connection carries one
// request, so that nothing else tells a second answer from a text on HTTP. One with another status or other fields
// counts as text, since a text that counted as an answer would fail each time. A status that no answer has is that of an
// upstream in trouble.
func isSecondHead(resp *http.Response, status int, h http.Header) bool {
	if status != resp.StatusCode && copies.IsFinalStatus(status) || len(h) != len(resp.Header) {
		return false
	}
	for name, values := range resp.Header {
		if !slices.Equal(values, h[name]) && (name != dateHeader || !isLater(h, resp.Header)) {
			return false
		}
	}
	return true
}

// isLater reports whether the date of a is after that of b.
func isLater(a, b http.Header) bool {
	at, aErr := http.ParseTime(a.Get(dateHeader))
	bt, bErr := http.ParseTime(b.Get(dateHeader))
	return aErr == nil && bErr == nil && at.After(bt)
}

// isCloseDelimited reports whether nothing but the end of the connection ends the body.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isJSON reports whether a body is JSON.
func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// jsonBody passes on a body without a length up to the end of its JSON object or array. What follows belongs to no
// request. A body that ends before that fails with io.ErrUnexpectedEOF, which the end of the connection alone doesn't
// tell. A body that doesn't begin with an object or array is passed on as it is.
type jsonBody struct {
	body io.Reader
	// depth is the number of open objects and arrays.
	depth    int
	inString bool
	escaped  bool
	// begun is set at the first byte that is no white space; plain is set if it begins neither object nor array.
	begun bool
	plain bool
}

// Read implements io.Reader.
func (b *jsonBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	end, ended := b.findEnd(p[:n])
	switch {
	case ended:
		return end, io.EOF
	case errors.Is(err, io.EOF) && !b.plain:
		return n, io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // callers compare with io.EOF
}

// findEnd returns the length of the data up to the end of the value, and whether it ends there.
func (b *jsonBody) findEnd(data []byte) (int, bool) {
	for i, c := range data {
		if b.plain {
			break
		}
		if b.advance(c); b.begun && !b.plain && b.depth == 0 {
			return i + 1, true
		}
	}
	return len(data), false
}

// advance takes the next byte into account.
func (b *jsonBody) advance(c byte) {
	switch {
	case b.inString:
		b.inString = c != '"' || b.escaped
		b.escaped = c == '\\' && !b.escaped
	case c == '{' || c == '[':
		b.begun = true
		b.depth++
	case !b.begun:
		b.plain = !bytes.ContainsRune([]byte(" \t\r\n"), rune(c))
	case c == '}' || c == ']':
		b.depth--
	case c == '"':
		b.inString = true
	}
}
