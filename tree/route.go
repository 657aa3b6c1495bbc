package tree

import (
	"path"
	"slices"
	"strings"
)

const prefixMark = "/*"

// IsIdempotent reports whether the call may be repeated.
func (s *Service) IsIdempotent(method, p string) bool { return matchAny(s.Idempotent, method, p) }

// IsOpen reports whether the call needs no key.
func (s *Service) IsOpen(method, p string) bool { return matchAny(s.Open, method, p) }

func matchAny(l []Route, method, p string) bool {
	return clean(p) && slices.ContainsFunc(l, func(r Route) bool { return r.match(method, p) })
}

func (r Route) match(method, p string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, prefixMark); ok {
		return p == prefix || strings.HasPrefix(p, prefix+"/")
	}
	return p == r.Path
}

// clean reports whether the path means the same to the service as to us. A path
// such as "/open/../closed" must not match "/open/*".
func clean(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "%\\;") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
