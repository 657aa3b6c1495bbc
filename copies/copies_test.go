package copies_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/copies"
)

// hasID takes heads with an X-Id for answers.
func hasID(_ int, h http.Header) bool { return h.Get("X-Id") != "" }

// options returns those of a body that ends with the connection if unframed is set.
func options(unframed bool) copies.Options {
	o := copies.Options{IsAnswer: hasID}
	if unframed {
		o.IsPartialAnswer = copies.HasStatusCode
	}
	return o
}

const secondHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\n"

// Guards against a second answer that is passed on as part of a body, however the bytes arrive, and against bodies
// that are held back or cut because they only speak of HTTP.
func TestBodyEndsBeforeSecondAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		in, want string
		unframed bool
		second   bool
	}{
		"plain":                       {in: "data: one\n\n", want: "data: one\n\n"},
		"copy after the body":         {in: "body" + secondHead + "body", want: "body", second: true},
		"copy inside an event":        {in: "id: 1\nda" + secondHead, want: "id: 1\nda", second: true},
		"cut head":                    {in: "body" + secondHead[:20], want: "body", unframed: true, second: true},
		"cut status line":             {in: "body" + secondHead[:12], want: "body", unframed: true, second: true},
		"cut odd head":                {in: "body" + "HTTP/1.1 12 Odd\r\nContent-Ty", want: "body", unframed: true, second: true},
		"cut odd status line":         {in: "body" + "HTTP/1.1 -01 O", want: "body", unframed: true, second: true},
		"odd head":                    {in: "body" + "HTTP/1.1 abc Odd\r\nX-Id: a\r\n\r\n", want: "body", second: true},
		"text goes on after a name":   {in: "HTTP/1.1 is old", want: "HTTP/1.1 is old", unframed: true},
		"text ends in a protocol":     {in: "use GET / HTTP/1.1", want: "use GET / HTTP/1.1", unframed: true},
		"text ends in a status line":  {in: "it says HTTP/1.1 404 no\n", want: "it says HTTP/1.1 404 no\n", unframed: true},
		"head in a header field":      {in: "HTTP/1.1 200 OK\r\nA: " + secondHead, want: "", second: true},
		"head in a line of text":      {in: "HTTP/1.1 200 OK\r\nA: b\r\nc " + secondHead, want: "HTTP/1.1 200 OK\r\nA: b\r\nc ", second: true},
		"cut head in a framed body":   {in: "body" + secondHead[:20], want: "body" + secondHead[:20]},
		"text on HTTP":                {in: "HTTP/1.1 is old, HTTP/1.1 200 OK\r\nHost: a\r\n\r\nx", want: "HTTP/1.1 is old, HTTP/1.1 200 OK\r\nHost: a\r\n\r\nx", unframed: true},
		"text, then a copy":           {in: "HTTP/1.1 404 x\n\n" + secondHead, want: "HTTP/1.1 404 x\n\n", second: true},
		"event that speaks of a head": {in: "data: HTTP/1.1 200 OK\ndata: X-Id: a\n\n", want: "data: HTTP/1.1 200 OK\ndata: X-Id: a\n\n", unframed: true},
		"begin of a status line":      {in: "HTT", want: "HTT", unframed: true},
	} {
		for how, in := range map[string]io.Reader{
			"at once": strings.NewReader(c.in), "bytes": iotest.OneByteReader(strings.NewReader(c.in)),
			"end with data": iotest.DataErrReader(strings.NewReader(c.in)),
		} {
			got, err := io.ReadAll(copies.NewReader(in, options(c.unframed)))
			assert.Check(t, string(got) == c.want, "%s, %s: %q", name, how, got)
			assert.Check(t, errors.Is(err, copies.ErrSecondAnswer) == c.second, "%s, %s: %v", name, how, err)
			assert.Check(t, c.second || err == nil, "%s, %s: %v", name, how, err)
		}
	}
}

// Guards against an event that waits for the next one, and against a broken body that looks complete.
func TestBytesAreNotHeldBack(t *testing.T) {
	out, in := io.Pipe()
	r := copies.NewReader(out, copies.Options{IsAnswer: hasID})
	go func() {
		_, _ = in.Write([]byte("data: HTTP/1.1 200 OK\n\n"))
		_, _ = in.Write([]byte("data: two"))
		in.CloseWithError(io.ErrUnexpectedEOF)
	}()
	buf := make([]byte, 100)
	n, err := r.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "data: HTTP/1.1 200 OK\n\n")
	rest, err := io.ReadAll(r)
	assert.Equal(t, string(rest), "data: two")
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against bodies that take time far beyond their size: status lines in the values of header fields, and bytes that
// arrive one by one.
func TestReaderTakesLinearTime(t *testing.T) {
	line := "a:HTTP/1.1 200 \r\n"
	for name, in := range map[string]io.Reader{
		"fields":       strings.NewReader(strings.Repeat("HTTP/1.1 200 \r\n"+strings.Repeat(line, 2000), 30)),
		"heads":        strings.NewReader(strings.Repeat("HTTP/1.1 200 \r\n"+strings.Repeat(line, 900)+"\r\n", 60)),
		"single bytes": iotest.OneByteReader(strings.NewReader("HTTP/1.1 200 \r\n" + strings.Repeat("a:\n", 5000))),
	} {
		started := time.Now()
		_, err := io.Copy(io.Discard, copies.NewReader(in, options(false)))
		assert.NilError(t, err)
		assert.Check(t, time.Since(started) < time.Second, "%s: %v", name, time.Since(started))
	}
}

// Guards against bytes that are lost or changed, and against bodies without another answer that fail.
func FuzzReader(f *testing.F) {
	f.Add("body"+secondHead+"body", true)
	f.Add("HTTP/1.HTTP/1.1 200\n\nHTTP/1.1 20", false)
	f.Fuzz(func(t *testing.T, in string, unframed bool) {
		got, err := io.ReadAll(copies.NewReader(iotest.HalfReader(strings.NewReader(in)), options(unframed)))
		assert.Assert(t, strings.HasPrefix(in, string(got)))
		if err == nil {
			assert.Equal(t, string(got), in)
			return
		}
		assert.Assert(t, errors.Is(err, copies.ErrSecondAnswer))
		assert.Assert(t, strings.HasPrefix(in[len(got):], "HTTP/1."))
	})
}
