package gate

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// Headers that stay between the caller and the gateway: keys, and those that
// belong to one connection. Content-Length and Host are set anew.
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

// minFilteredKeyBytes keeps a short text in place of a key, on an open route, from matching
// other headers.
const minFilteredKeyBytes = 8

// forwardedHeaders returns the headers of a request that an upstream may see. No header
// with the key passes, whatever its name.
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

// connectionHeaders returns the headers that the header Connection declares as
// belonging to the connection.
func connectionHeaders(h http.Header) map[string]bool {
	lists := h["Connection"]
	if len(lists) == 0 {
		return nil
	}
	named := map[string]bool{}
	for _, list := range lists {
		for name := range strings.SplitSeq(list, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// forwardsResponseHeader reports whether a header of an upstream's answer goes to the caller.
func forwardsResponseHeader(name string) bool {
	name = textproto.CanonicalMIMEHeaderKey(name)
	return !privateHeaders[name] && name != headerRun
}
