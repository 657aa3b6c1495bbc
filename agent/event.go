package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/events"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("event is larger than 1 MB")

// doneEvent is the last event of an OpenAI-compatible stream.
const doneEvent = events.DataField + " " + events.Done + "\n\n"

// eventReader splits a stream into server-sent events.
type eventReader struct {
	reader *bufio.Reader
	// comments counts those since the last event.
	comments events.Comments
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, chunkBytes)}
}

// next returns one event including the empty line that ends it. The error is io.EOF when
// the stream ended between two events, and io.ErrUnexpectedEOF within an event.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err //nolint:wrapcheck // callers compare with io.EOF
		}
		if len(event) > len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, e.countComments(event)
		}
	}
}

// countComments fails with events.ErrNoProgress if the event is a comment beyond the limit.
func (e *eventReader) countComments(event []byte) error {
	if event[0] != ':' {
		e.comments.Reset()
		return nil
	}
	return e.comments.Add(len(event))
}

// eventData returns the payload of an event: its data lines, joined without newlines.
func eventData(event []byte) []byte {
	var data []byte
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte(events.DataField)); ok {
			data = append(data, bytes.TrimSpace(rest)...)
		}
	}
	return data
}

// delta is the incremental content of a chat choice.
type delta struct {
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Tools     json.RawMessage `json:"tool_calls"`
}

// choice is a choice of a completion (Text) or a chat completion (Delta).
type choice struct {
	Text  string `json:"text"`
	Delta delta  `json:"delta"`
}

// chunk holds the fields of an engine's response, or of one event, that the agent reads.
type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
	// Error is set when the engine fails after the response has started.
	Error json.RawMessage `json:"error"`
}

// usage holds the token counts that the engine reports.
type usage struct {
	Total   int64 `json:"total_tokens"`
	Details struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// hasToken reports whether the chunk carries a token. Engines send at most one token per
// chunk.
func (c *chunk) hasToken() bool {
	for _, ch := range c.Choices {
		if ch.Text != "" || ch.Delta.Content != "" || ch.Delta.Reasoning != "" || len(ch.Delta.Tools) > 0 {
			return true
		}
	}
	return false
}

// lengthStopEvent converts an event to one with finish_reason "length". It returns
// doneEvent when the payload is not a JSON object.
func lengthStopEvent(event []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(eventData(event), &fields) != nil {
		return []byte(doneEvent)
	}
	fields["choices"] = json.RawMessage(`[{"index":0,"text":"","delta":{},"finish_reason":"length"}]`)
	delete(fields, "usage")
	b, err := json.Marshal(fields)
	if err != nil {
		return []byte(doneEvent)
	}
	return fmt.Appendf(nil, "data: %s\n\n", b)
}
