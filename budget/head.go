package budget

import (
	"bytes"

	"github.com/magnolialever/magnolialever/units"
)

const (
	// FreeHeadBytes is the size of a head up to which it takes nothing of the pool. Connections count with it.
	FreeHeadBytes = 4 << 10
	// FreeHeadEntries is the number of entries of a head up to which they take nothing of the pool: its lines and the further
	// items of its lists.
	FreeHeadEntries = 64
	// entryBytes is what a line, or a further item of a list, takes when it is parsed, besides its own bytes: 87 bytes measured for
	// fields of 3 to 5 bytes, and an entry of the map that grows.
	entryBytes = 128
)

// Head counts the head of one request as it arrives.
type Head struct {
	// Bytes and Lines are what has arrived, Items the further items of its lists, which commas separate. Some lists are parsed
	// into maps, the names of trailers by net/http itself.
	Bytes, Lines, Items int
	// Ended is set once the empty line has been seen.
	Ended bool
	// begun is set once a byte other than those of empty lines has arrived, which net/http skips before a request.
	begun bool
}

var (
	lineEnd   = []byte("\n")
	itemEnd   = []byte(",")
	headEnd   = []byte("\n\r\n")
	headEndLF = []byte("\n\n")
)

// Add counts bytes that have arrived and returns the number of them that belong to the head. An end that is spread over two
// calls is not seen; then what follows counts as well, which is more than the head and never less.
func (h *Head) Add(p []byte) int {
	if h.Ended {
		// The parser reads on, so that its head has not ended.
		h.AddLines(p)
		return len(p)
	}
	skipped := 0
	if !h.begun {
		skipped = len(p) - len(bytes.TrimLeft(p, "\r\n"))
		h.AddLines(p[:skipped])
		if p = p[skipped:]; len(p) == 0 {
			return skipped
		}
		h.begun = true
	}
	n := len(p)
	if i := bytes.Index(p, headEnd); i >= 0 {
		n, h.Ended = i+len(headEnd), true
	} else if i := bytes.Index(p, headEndLF); i >= 0 {
		n, h.Ended = i+len(headEndLF), true
	}
	h.AddLines(p[:n])
	return skipped + n
}

// AddLines counts bytes that may belong to a head, whatever they hold.
func (h *Head) AddLines(p []byte) {
	h.Bytes += len(p)
	h.Lines += bytes.Count(p, lineEnd)
	h.Items += bytes.Count(p, itemEnd)
}

// Claim returns what the head has to hold of the pool.
func (h *Head) Claim() units.Bytes {
	over := max(h.Bytes-FreeHeadBytes, 0) + max(h.Lines+h.Items-FreeHeadEntries, 0)*entryBytes
	return units.Bytes(over)
}
