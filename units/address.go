package units

import (
	"net"
	"strconv"
	"strings"
)

// maxHostBytes is the length of the longest host name (RFC 1035).
const maxHostBytes = 253

// hostCharacters are those of names, and IP addresses. Others would change the meaning of a URL.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:"

// IsAddress reports whether s is host:port with an IP address or a name and a port from 1 to 65535.
func IsAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" || len(host) > maxHostBytes || strings.Trim(host, hostCharacters) != "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
