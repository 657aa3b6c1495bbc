package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/magnolialever/magnolialever/events"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// maxUsageBytes is how much of a response body is buffered to read its usage.
	maxUsageBytes = 1 << 20
	// maxMessageBytes is the maximum length of an engine's error text in a refusal.
	maxMessageBytes = 512
	// bytesPerToken is typical of English text. It is used to estimate the prompt when a
	// request does not limit its output.
	bytesPerToken = 4
)

// outputLimits holds the output limits in a request body.
type outputLimits struct {
	MaxTokens           int64 `json:"max_tokens"`
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// estimatePromptTokens estimates the prompt length of a call in tokens. The cost of a call
// is its prompt plus its maximum output.
func estimatePromptTokens(c *wire.Call) int64 {
	var limits outputLimits
	_ = json.Unmarshal(c.Body, &limits) // other formats have no such limit
	if longest := max(limits.MaxTokens, limits.MaxCompletionTokens); longest > 0 {
		return max(c.Cost-longest, 0)
	}
	return min(c.Cost, int64(len(c.Body)/bytesPerToken))
}

// meter counts the tokens of one response and compares them with the reservation.
type meter struct {
	// reserved is the reservation in tokens; 0 for no limit.
	reserved     int64
	promptTokens int64
	// resumeToken is the index of the first token of this response.
	resumeToken int64
	// nextEvent is the index of the next event.
	nextEvent int64
	// isModel is false for calls of services, whose tokens are not counted.
	isModel   bool
	sawDone   bool
	generated int64
	// usage is nil until the engine reports it.
	usage *usage
	// body buffers a response that is not a stream.
	body []byte
}

func newMeter(c *wire.Call) *meter {
	first := resumeTokenIndex(c)
	m := &meter{reserved: c.Cost, resumeToken: first, nextEvent: first, isModel: c.Kind != kindService}
	if m.isModel {
		m.promptTokens = estimatePromptTokens(c)
	}
	return m
}

// resumeTokenIndex returns the index of the token at which a stream resumes. Call.Resume
// counts events. A chat stream starts with an event that has the role and no token, even
// when it is resumed; that event gets the index of the last event that the caller has
// received, and the gateway drops it.
func resumeTokenIndex(c *wire.Call) int64 {
	if strings.HasSuffix(c.Path, "/chat/completions") {
		return max(c.Resume-1, 0)
	}
	return c.Resume
}

// checkStatus returns a refusal when an engine responds to a model request with 404 or a
// server error, so that the gateway tries another upstream.
func (m *meter) checkStatus(resp *http.Response) *refusal {
	if !m.isModel || resp.StatusCode != http.StatusNotFound && resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes)) // used only in the message
	r := &refusal{code: units.UpstreamFailed, mayHaveRun: true, message: fmt.Sprintf("engine returned status %d: %s", resp.StatusCode, text)}
	if resp.StatusCode == http.StatusNotFound {
		r.code = units.NotLoaded
	}
	return r
}

// eventAction is how an event is handled.
type eventAction uint8

const (
	// eventForward relays the event.
	eventForward eventAction = iota
	// eventOverReservation stops the stream: the event's token exceeds the reservation.
	eventOverReservation
	// eventError ends the call: the event is an error of the engine.
	eventError
)

// classify counts the tokens of one event and returns how to handle it.
func (m *meter) classify(event []byte) eventAction {
	if !m.isModel {
		return eventForward
	}
	data := eventData(event)
	if string(data) == events.Done {
		m.sawDone = true
		return eventForward
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return eventForward
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return eventError
	}
	if c.Usage != nil {
		m.usage = c.Usage
	}
	if !c.hasToken() {
		return eventForward
	}
	if m.reserved > 0 && m.promptTokens+m.resumeToken+m.generated+1 > m.reserved {
		return eventOverReservation
	}
	m.generated++
	return eventForward
}

// eventIndex returns the index of the event to relay. A comment gets the index of the
// event that follows it.
func (m *meter) eventIndex(event []byte) int64 {
	i := m.nextEvent
	if event[0] != ':' {
		m.nextEvent++
	}
	return i
}

// checkComplete returns a refusal when a model's stream has ended, which was not after the [DONE] event.
func (m *meter) checkComplete() *refusal {
	if !m.isModel {
		return nil
	}
	return &refusal{code: units.UpstreamFailed, mayHaveRun: true, message: "engine ended the stream without [DONE]"}
}

// bufferBody appends a piece of the response body, up to maxUsageBytes, to read the usage
// from it.
func (m *meter) bufferBody(data []byte) {
	if m.isModel && len(m.body)+len(data) <= maxUsageBytes {
		m.body = append(m.body, data...)
	}
}

// bodyCounts returns the token counts of a response that is not a stream.
func (m *meter) bodyCounts() tokenCounts {
	var c chunk
	if m.isModel && json.Unmarshal(m.body, &c) == nil {
		m.usage = c.Usage
	}
	counts := m.counts()
	if m.usage == nil && m.isModel {
		// The length of the output is unknown, so the whole reservation is charged.
		counts.used = m.reserved
	}
	return counts
}

// counts returns the token counts so far. Counts that the engine reported take precedence.
func (m *meter) counts() tokenCounts {
	counts := tokenCounts{used: m.promptTokens + m.generated, forwarded: m.generated}
	if m.usage != nil {
		counts.used = m.usage.Total
		counts.cached = m.usage.Details.Cached
	}
	if m.reserved > 0 {
		counts.used = min(counts.used, m.reserved)
	}
	return counts
}

// bodyWithResume returns the body of the call, with field resume_from for a stream that is
// resumed. It fails when that body is not a JSON object.
func bodyWithResume(c *wire.Call) ([]byte, error) {
	first := resumeTokenIndex(c)
	if first == 0 || c.Kind == kindService {
		return c.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, fmt.Errorf("read body of resumed stream: %w", err)
	}
	fields["resume_from"] = fmt.Append(nil, first)
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("write body of resumed stream: %w", err)
	}
	return b, nil
}
