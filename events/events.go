// Package events has what the readers of event streams share. Each splits a stream in its own way; what ends a stream and
// how long one may go on without an event must be the same for all.
package events

import "errors"

const (
	// DataField begins a line that holds data of an event.
	DataField = "data:"
	// Done is the data of the last event of an OpenAI-compatible stream.
	Done = "[DONE]"
)

// maxCommentBytes is the number of bytes of comments that a stream may have between two events. Pings of some bytes a second
// stay below it for hours.
const maxCommentBytes = 64 << 10

// ErrNoProgress means that a stream has more comments without an event than are allowed.
var ErrNoProgress = errors.New("the stream has comments without end")

// Comments counts the bytes of comments since the last event of a stream.
type Comments struct{ bytes int }

// Add counts a comment of n bytes. It fails with ErrNoProgress once there are too many.
func (c *Comments) Add(n int) error {
	if c.bytes += n; c.bytes > maxCommentBytes {
		return ErrNoProgress
	}
	return nil
}

// Reset records an event.
func (c *Comments) Reset() { c.bytes = 0 }
