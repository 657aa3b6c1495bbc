package gate

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// privateHeaders are not forwarded in either direction: credentials, and headers that belong to one
// connection. Content-Length and Host are set anew.
var privateHeaders = map[string]bool{
	"Authorization":       true,
	"Api-Key":             true,
	"X-Api-Key":           true,
	"Cookie":              true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// minFilteredKeyBytes is the shortest key for which forwardedHeaders drops headers by value. On an
// unauthenticated route any text can stand in place of the key, and a short one would match
// unrelated headers.
const minFilteredKeyBytes = 8

// forwardedHeaders returns the request headers that are sent to the upstream. Headers that contain
// the API key are dropped, whatever their name.
func forwardedHeaders(h http.Header, key string) []*wire.Header {
	connectionScoped := connectionHeaders(h)
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if privateHeaders[name] || connectionScoped[name] {
			continue
		}
		for _, v := range values {
			if len(key) >= minFilteredKeyBytes && strings.Contains(v, key) {
				stats.Event("header_with_key")
				continue
			}
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// connectionHeaders returns the names of the headers that the Connection header declares as
// connection-specific; nil when there are none.
func connectionHeaders(h http.Header) map[string]bool {
	lists := h["Connection"]
	if len(lists) == 0 {
		return nil
	}
	names := map[string]bool{}
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// forwardsResponseHeader reports whether an upstream's response header is sent to the caller.
func forwardsResponseHeader(name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return !privateHeaders[name] && name != headerRun
}
