package agent

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventSize ends a stream whose event does not fit.
var errEventSize = errors.New("event is larger than 1 MB")

// doneEvent is the last event of an OpenAI-compatible stream.
const doneEvent = "data: [DONE]\n\n"

var doneData = []byte("[DONE]")

// eventReader splits a stream of server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, chunkBytes)}
}

// next returns one event with the empty line that ends it. io.EOF means that the
// stream ended between two events.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, errEventSize
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err //nolint:wrapcheck // io.EOF is the end for the caller
		}
		if len(event) > len(line) && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventData returns the payload of an event.
func eventData(event []byte) []byte {
	var data []byte
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			data = append(data, bytes.TrimSpace(rest)...)
		}
	}
	return data
}

// delta is the part of a chat choice that carries a token.
type delta struct {
	Content   string          `json:"content"`
	Reasoning string          `json:"reasoning_content"`
	Tools     json.RawMessage `json:"tool_calls"`
}

type choice struct {
	Text  string `json:"text"`
	Delta delta  `json:"delta"`
}

// chunk is what the agent reads of an answer of the engine.
type chunk struct {
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
	// Error is set when the engine gives up in the middle of an answer.
	Error json.RawMessage `json:"error"`
}

type usage struct {
	Total   int64 `json:"total_tokens"`
	Details struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// token reports whether the chunk carries text. Engines send one token in each
// chunk.
func (c *chunk) token() bool {
	for _, ch := range c.Choices {
		if ch.Text != "" || ch.Delta.Content != "" || ch.Delta.Reasoning != "" || len(ch.Delta.Tools) > 0 {
			return true
		}
	}
	return false
}

// lengthEvent turns an event into one that ends the answer because of its length.
func lengthEvent(event []byte) []byte {
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
