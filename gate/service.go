package gate

import (
	"context"
	"net/http"
	"path"
	"strings"

	"github.com/magnolialever/magnolialever/units"
)

const (
	servicePrefix = "/svc/"
	headerOnce    = "Idempotency-Key"
	// maxOnceBytes bounds the length of an Idempotency-Key.
	maxOnceBytes = 255
)

// call handles a request to a plain service.
func (s *Server) call(ctx context.Context, x *exchange) error {
	r := x.request
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, target, found := strings.Cut(rest, "/")
	target = "/" + target
	id := units.ServiceID(name)
	plain := strings.TrimPrefix(r.URL.Path, servicePrefix+name)
	// A path with dot segments could match the rule of one call and reach another.
	if found && !clean(plain) {
		return problem(units.InvalidRequest, "the path has empty or dot segments")
	}
	route, ok := s.snapshot().Route(id, r.Method, "/"+strings.TrimPrefix(plain, "/"))
	if !ok {
		return problem(units.ServiceNotFound, "there is no service "+name)
	}
	x.token = bearer(r.Header)
	if !route.Unauthenticated {
		if err := s.authenticate(x, x.token); err != nil {
			return err
		}
	}
	key := r.Header.Get(headerOnce)
	if len(key) > maxOnceBytes {
		return problem(units.InvalidRequest, "the Idempotency-Key is too long")
	}
	body, p := s.readBody(x, r.Body)
	if p != nil {
		return p
	}
	defer s.release(body)
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	class, p := classOf(x, r.Header.Get("X-Class"))
	if p != nil {
		return p
	}
	q := &request{
		query: RequestInfo{
			Customer:    x.caller.Customer,
			Target:      name,
			Service:     true,
			Class:       class,
			Fingerprint: fingerprint(x.caller.Customer, r.Method+" "+name+target, body.data),
			Deadline:    s.deadline(x.arrived, class),
			Idempotent:  route.Idempotent,
		},
		kind:   kindService,
		open:   route.Unauthenticated,
		method: r.Method,
		path:   target,
		body:   body.data,
	}
	if !route.Idempotent {
		q.once = key
	}
	return s.serve(ctx, x, q)
}

func clean(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

// bearer returns the key of a request to a plain service.
func bearer(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if ok && strings.EqualFold(scheme, "Bearer") {
		return key
	}
	return h.Get("api-key")
}

func classOf(x *exchange, name string) (units.Class, *Problem) {
	if name == "" {
		return x.caller.Class, nil
	}
	c, ok := units.ParseClass(name)
	if !ok {
		p := problem(units.InvalidRequest, "the class must be live, normal or night")
		p.Param = "X-Class"
		return c, p
	}
	return c, nil
}
