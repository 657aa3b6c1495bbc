package config

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// lineOfPath returns the line number of the setting at the dotted path, or of its nearest
// ancestor that is present in the data. Numbers in the path are list indexes. Errors about
// unknown settings state a path that does not start at the top level; its keys are searched for
// as text. The result is 0 if the path is empty or not found.
func lineOfPath(data []byte, path string) int {
	root, err := hujson.Parse(data)
	if err != nil || path == "" {
		return 0
	}
	topLevel, _, _ := strings.Cut(path, ".")
	if root.Find(jsonPointer(topLevel)) == nil {
		return lineOfKeys(data, path)
	}
	for {
		if v := root.Find(jsonPointer(path)); v != nil {
			return lineAtOffset(data, int64(v.StartOffset))
		}
		path = path[:strings.LastIndexByte(path, '.')]
	}
}

// jsonPointer converts a dotted path to a JSON pointer (RFC 6901).
func jsonPointer(path string) string {
	path = strings.NewReplacer("~", "~0", "/", "~1").Replace(path)
	return "/" + strings.ReplaceAll(path, ".", "/")
}

// lineOfKeys searches for the quoted keys of the dotted path, each after the previous one, and
// returns the line number of the last one found, or 0.
func lineOfKeys(data []byte, path string) int {
	offset, line := 0, 0
	for name := range strings.SplitSeq(path, ".") {
		i := bytes.Index(data[offset:], []byte(`"`+name+`"`))
		if i < 0 {
			break
		}
		offset += i
		line = lineAtOffset(data, int64(offset))
	}
	return line
}

// ErrorAt returns an error for the setting at the dotted path in data, the contents of the file.
// Its line is that of the setting or of its nearest ancestor, or 0 if data is malformed.
func ErrorAt(file string, data []byte, path, problem string) *Error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{File: file, Path: path, Problem: problem}
	}
	return &Error{File: file, Line: lineOfPath(plain, path), Path: path, Problem: problem}
}
