// Package rawjson splits JSON arrays and objects into their undecoded parts, so that one part that can't be
// decoded doesn't cost the others. encoding/json can't: it checks a document as a whole first, and refuses all of
// it where one part is nested more than 10,000 levels deep.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Errors of documents.
var (
	// ErrMalformed means that the ends of the parts can't be found.
	ErrMalformed = errors.New("malformed JSON array or object")
	// ErrTooDeep means that the document is nested more than MaxDepth levels deep.
	ErrTooDeep = errors.New("nested too deep")
)

const (
	// MaxDepth is the greatest nesting that Unmarshal accepts. Entries of the platform have four levels.
	MaxDepth = 64
	// maxErrorBytes bounds the text of errors, which go to the log. Those of encoding/json cite a number whole.
	maxErrorBytes = 200
)

// Unmarshal decodes a document that another writer may have written, like json.Unmarshal. It fails if the
// document is nested more than MaxDepth levels deep. The text of its errors is bounded.
func Unmarshal(data []byte, v any) error {
	if Depth(data) > MaxDepth {
		return ErrTooDeep
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode JSON: %s", Shorten(err.Error()))
	}
	return nil
}

// Shorten returns the begin of a text of another writer, short enough for an error or a log line.
func Shorten(s string) string {
	if len(s) <= maxErrorBytes {
		return s
	}
	return fmt.Sprintf("%q and %d more bytes", s[:maxErrorBytes], len(s)-maxErrorBytes)
}

// Member is a member of an object.
type Member struct {
	Name  string
	Value []byte
}

// Elements returns the elements of an array, which share the memory of data. It checks only where they end, not
// that each is valid JSON. It fails if data is not one whole array.
func Elements(data []byte) ([][]byte, error) {
	s := scanner{data: data}
	var out [][]byte
	err := s.list('[', ']', func() bool {
		v := s.value()
		out = append(out, v)
		return len(v) > 0
	})
	return out, err
}

// Members returns the members of an object in their order, like Elements. A name that can't be decoded is empty.
func Members(data []byte) ([]Member, error) {
	s := scanner{data: data}
	var out []Member
	err := s.list('{', '}', func() bool {
		var name string
		if quoted := s.value(); len(quoted) == 0 || json.Unmarshal(quoted, &name) != nil {
			name = ""
		}
		if !s.skip(':') {
			return false
		}
		v := s.value()
		out = append(out, Member{name, v})
		return len(v) > 0
	})
	return out, err
}

// Depth returns the greatest number of arrays and objects that are open at once.
func Depth(data []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i) - 1
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		}
	}
	return deepest
}

const whitespace = " \t\r\n"

// scanner is a position in a document.
type scanner struct {
	data []byte
	at   int
}

// list calls part at the begin of each part of an array or object, until it returns false.
func (s *scanner) list(begin, end byte, part func() bool) error {
	if !s.skip(begin) {
		return ErrMalformed
	}
	if !s.skip(end) {
		for {
			if !part() {
				return ErrMalformed
			}
			if s.skip(end) {
				break
			}
			if !s.skip(',') {
				return ErrMalformed
			}
		}
	}
	if s.space(); s.at < len(s.data) {
		return ErrMalformed
	}
	return nil
}

func (s *scanner) space() {
	for s.at < len(s.data) && strings.IndexByte(whitespace, s.data[s.at]) >= 0 {
		s.at++
	}
}

// skip skips space and then the character. It returns false if there is another one.
func (s *scanner) skip(c byte) bool {
	s.space()
	if s.at >= len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// value returns the value at the position and moves behind it. It is empty if there is none, or if it doesn't
// end.
func (s *scanner) value() []byte {
	s.space()
	begin, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			s.at = stringEnd(s.data, s.at)
			if s.at > len(s.data) {
				return nil
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return bytes.TrimRight(s.data[begin:s.at], whitespace)
			}
			depth--
		case ',', ':':
			if depth == 0 {
				return bytes.TrimRight(s.data[begin:s.at], whitespace)
			}
		}
		s.at++
	}
	return nil
}

// stringEnd returns the position behind the string that begins at i, or one behind data if it doesn't end.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data) + 1
}
