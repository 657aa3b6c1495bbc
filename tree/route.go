package tree

import (
	"path"
	"slices"
	"strings"
)

const wildcardSuffix = "/*"

// IsIdempotent reports whether a request with the HTTP method and path may be
// executed more than once.
func (s *Service) IsIdempotent(method, p string) bool { return anyMatches(s.Idempotent, method, p) }

// IsOpen reports whether a request with the HTTP method and path requires no API key.
func (s *Service) IsOpen(method, p string) bool { return anyMatches(s.Open, method, p) }

func anyMatches(l []Route, method, p string) bool {
	return isCanonical(p) && slices.ContainsFunc(l, func(r Route) bool { return r.match(method, p) })
}

func (r Route) match(method, p string) bool {
	if r.Method != "*" && r.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(r.Path, wildcardSuffix); ok {
		return p == prefix || strings.HasPrefix(p, prefix+"/")
	}
	return p == r.Path
}

// isCanonical reports whether the service is certain to resolve the path as written. A path
// such as "/open/../closed" must not match "/open/*".
func isCanonical(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "%\\;") {
		return false
	}
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}
