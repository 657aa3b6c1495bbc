package config

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// lineOf returns the line of the setting at the dotted path, in which numbers are
// indexes of lists, or of its nearest parent that the file has. A path that starts
// below the top, as in errors about unknown settings, is found by its text.
func lineOf(data []byte, path string) int {
	root, err := hujson.Parse(data)
	if err != nil || path == "" {
		return 0
	}
	first, _, _ := strings.Cut(path, ".")
	if root.Find(pointer(first)) == nil {
		return lineOfText(data, path)
	}
	for {
		if v := root.Find(pointer(path)); v != nil {
			return lineAt(data, int64(v.StartOffset))
		}
		path = path[:strings.LastIndexByte(path, '.')]
	}
}

// pointer returns the JSON pointer (RFC 6901) for a dotted path.
func pointer(path string) string {
	path = strings.NewReplacer("~", "~0", "/", "~1").Replace(path)
	return "/" + strings.ReplaceAll(path, ".", "/")
}

func lineOfText(data []byte, path string) int {
	offset, line := 0, 0
	for name := range strings.SplitSeq(path, ".") {
		i := bytes.Index(data[offset:], []byte(`"`+name+`"`))
		if i < 0 {
			break
		}
		offset += i
		line = lineAt(data, int64(offset))
	}
	return line
}

// ErrorAt returns an error about the path in data that was read from the file, with
// the line of the path or of its nearest parent.
func ErrorAt(file string, data []byte, path, problem string) *Error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{File: file, Path: path, Problem: problem}
	}
	return &Error{File: file, Line: lineOf(plain, path), Path: path, Problem: problem}
}
