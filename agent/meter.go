package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// maxUsageBytes bounds how much of an answer is kept to read its usage.
	maxUsageBytes = 1 << 20
	// maxMessageBytes bounds the text of an error that is passed on.
	maxMessageBytes = 512
	// bytesPerToken is a usual ratio of English text; it stands in when a request
	// does not limit its answer.
	bytesPerToken = 4
)

// lengths are the limits of an answer in a request body.
type lengths struct {
	Max       int64 `json:"max_tokens"`
	MaxOutput int64 `json:"max_completion_tokens"`
}

// promptTokens estimates the prompt of a call. The reserved cost is the prompt and
// the longest answer.
func promptTokens(c *wire.Call) int64 {
	var l lengths
	_ = json.Unmarshal(c.Body, &l) // bodies of other formats have no such limit
	if longest := max(l.Max, l.MaxOutput); longest > 0 {
		return max(c.Cost-longest, 0)
	}
	return min(c.Cost, int64(len(c.Body)/bytesPerToken))
}

// meter counts the tokens of one answer and compares them with the reservation.
type meter struct {
	cost   int64
	prompt int64
	// resume is the index of the first token, position that of the next event.
	resume   int64
	position int64
	model    bool
	done     bool
	tokens   int64
	usage    *usage
	text     []byte
}

func newMeter(c *wire.Call) *meter {
	first := firstToken(c)
	m := &meter{cost: c.Cost, resume: first, position: first, model: c.Kind != kindService}
	if m.model {
		m.prompt = promptTokens(c)
	}
	return m
}

// firstToken returns the index of the token that a stream resumes at. Call.resume
// counts events. A stream of a chat starts with an event that has the role and no
// token, also when it is resumed; that event has the index of the last event that
// the caller has, and the gateway drops it.
func firstToken(c *wire.Call) int64 {
	if strings.HasSuffix(c.Path, "/chat/completions") {
		return max(c.Resume-1, 0)
	}
	return c.Resume
}

// refused returns the refusal for the answer of an engine that did not run a
// request of a model, so that the gateway tries another upstream.
func (m *meter) refused(resp *http.Response) *refusal {
	if !m.model || resp.StatusCode != http.StatusNotFound && resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes)) // only for the message
	r := &refusal{code: units.UpstreamFailed, ran: true, message: fmt.Sprintf("engine answered %d: %s", resp.StatusCode, text)}
	if resp.StatusCode == http.StatusNotFound {
		r.code = units.NotLoaded
	}
	return r
}

// eventKind tells what becomes of an event.
type eventKind uint8

const (
	eventPasses eventKind = iota
	// eventExceeds has a token beyond the reservation.
	eventExceeds
	// eventFails is an error of the engine.
	eventFails
)

// event counts one event.
func (m *meter) event(event []byte) eventKind {
	if !m.model {
		return eventPasses
	}
	data := eventData(event)
	if bytes.Equal(data, doneData) {
		m.done = true
		return eventPasses
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return eventPasses
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return eventFails
	}
	if c.Usage != nil {
		m.usage = c.Usage
	}
	if !c.token() {
		return eventPasses
	}
	if m.cost > 0 && m.prompt+m.resume+m.tokens+1 > m.cost {
		return eventExceeds
	}
	m.tokens++
	return eventPasses
}

// index returns the index of an event that is passed on. Comments have that of the
// next event.
func (m *meter) index(event []byte) int64 {
	i := m.position
	if event[0] != ':' {
		m.position++
	}
	return i
}

// incomplete returns a refusal when a stream ended without its last event.
func (m *meter) incomplete() *refusal {
	if !m.model || m.done {
		return nil
	}
	return &refusal{code: units.UpstreamFailed, ran: true, message: "engine ended the stream early"}
}

// plain keeps the answer for its usage.
func (m *meter) plain(data []byte) {
	if m.model && len(m.text)+len(data) <= maxUsageBytes {
		m.text = append(m.text, data...)
	}
}

func (m *meter) plainOutcome() outcome {
	var c chunk
	if m.model && json.Unmarshal(m.text, &c) == nil {
		m.usage = c.Usage
	}
	o := m.outcome()
	if m.usage == nil && m.model {
		// Nothing tells the length of the answer, so the reservation counts.
		o.used = m.cost
	}
	return o
}

func (m *meter) outcome() outcome {
	o := outcome{used: m.prompt + m.tokens, tokens: m.tokens}
	if m.usage != nil {
		o.used = m.usage.Total
		o.cached = m.usage.Details.Cached
	}
	if m.cost > 0 {
		o.used = min(o.used, m.cost)
	}
	return o
}

// withResume returns the body of the call with the index of the token to resume
// at.
func withResume(c *wire.Call) ([]byte, error) {
	first := firstToken(c)
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
