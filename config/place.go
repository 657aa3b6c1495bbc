package config

import (
	"bytes"
	"strings"

	"github.com/tailscale/hujson"
)

// lineOfPath returns the line of the setting at the dotted path, in which numbers are
// indexes of lists, or of its nearest parent that the file has. A path that starts
// below the top, as in errors about unknown settings, is found by its text.
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

// jsonPointer returns the JSON pointer (RFC 6901) for a dotted path.
func jsonPointer(path string) string {
	path = strings.NewReplacer("~", "~0", "/", "~1").Replace(path)
	return "/" + strings.ReplaceAll(path, ".", "/")
}

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

// ErrorAt returns an error about the path in data that was read from the file, with
// the line of the path or of its nearest parent.
func ErrorAt(file string, data []byte, path, problem string) *Error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &Error{File: file, Path: path, Problem: problem}
	}
	return &Error{File: file, Line: lineOfPath(plain, path), Path: path, Problem: problem}
}
