package gate

import (
	"context"
	"net/http"
	"path"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

const (
	servicePrefix        = "/svc/"
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes bounds the length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 255
)

// serveService handles a request to a plain service, whose path is /svc/SERVICE/PATH.
func (s *Server) serveService(ctx context.Context, x *exchange) error {
	r := x.request
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, pathAndQuery, found := strings.Cut(rest, "/")
	pathAndQuery = "/" + pathAndQuery
	id := units.ServiceID(name)
	decodedPath := strings.TrimPrefix(r.URL.Path, servicePrefix+name)
	// A path with dot segments could match the route of one call and reach another on the upstream.
	if found && !isCleanPath(decodedPath) {
		return newProblem(units.InvalidRequest, "the path contains empty or dot segments")
	}
	route, ok := s.currentDirectory().Route(id, r.Method, "/"+strings.TrimPrefix(decodedPath, "/"))
	if !ok {
		return newProblem(units.ServiceNotFound, "unknown service "+name)
	}
	x.apiKey = serviceAPIKey(r.Header)
	if !route.Unauthenticated {
		if err := s.authenticate(x, x.apiKey); err != nil {
			return err
		}
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return newProblem(units.InvalidRequest, "the Idempotency-Key is too long")
	}
	body, p := s.readBody(x, r.Body)
	if p != nil {
		return p
	}
	defer s.releaseBody(body)
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	class, p := requestClass(x, r.Header.Get("X-Class"))
	if p != nil {
		return p
	}
	q := &request{
		info: RequestInfo{
			Customer:    x.caller.Customer,
			Target:      name,
			Service:     true,
			Class:       class,
			Fingerprint: fingerprint(x.caller.Customer, r.Method+" "+name+pathAndQuery, body.data),
			Deadline:    s.startDeadline(x.receivedAt, class),
			Idempotent:  route.Idempotent,
		},
		targetKind:      kindService,
		unauthenticated: route.Unauthenticated,
		method:          r.Method,
		path:            pathAndQuery,
		body:            body.data,
	}
	if !route.Idempotent {
		q.idempotencyKey = key
	}
	return s.serve(ctx, x, q)
}

// isCleanPath reports whether the path has no empty and no dot segments; a slash may end it.
func isCleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

// serviceAPIKey returns the API key of a request to a plain service, or an empty string.
func serviceAPIKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") {
		return key
	}
	return h.Get("api-key")
}

// requestClass parses the value of X-Class; an empty one gives the default class of the caller.
func requestClass(x *exchange, name string) (units.Class, *Problem) {
	if name == "" {
		return x.caller.Class, nil
	}
	c, ok := units.ParseClass(name)
	if !ok {
		p := newProblem(units.InvalidRequest, "the class must be live, normal or night")
		p.Param = "X-Class"
		return c, p
	}
	return c, nil
}
