package agent

import (
	"encoding/json"
	"fmt"

	"github.com/magnolialever/magnolialever/wire"
)

const (
	// maxUsageBytes bounds how much of an answer is kept to read its usage.
	maxUsageBytes = 1 << 20
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
	resume int64
	model  bool
	tokens int64
	usage  *usage
	text   []byte
}

func newMeter(c *wire.Call) *meter {
	m := &meter{cost: c.Cost, resume: c.Resume, model: c.Kind != kindService}
	if m.model {
		m.prompt = promptTokens(c)
	}
	return m
}

// next returns the index of the next token.
func (m *meter) next() int64 { return m.resume + m.tokens }

// event counts one event. It returns the index of its token, or of the next token
// when it carries none, and whether it is within the reservation.
func (m *meter) event(event []byte) (index int64, within bool) {
	index = m.next()
	var c chunk
	if json.Unmarshal(eventData(event), &c) != nil {
		return index, true
	}
	if c.Usage != nil {
		m.usage = c.Usage
	}
	if !c.token() {
		return index, true
	}
	if m.cost > 0 && m.model && m.prompt+m.resume+m.tokens+1 > m.cost {
		return index, false
	}
	m.tokens++
	return index, true
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
	if c.Resume == 0 {
		return c.Body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, fmt.Errorf("read body of resumed stream: %w", err)
	}
	fields["resume_from"] = fmt.Append(nil, c.Resume)
	b, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("write body of resumed stream: %w", err)
	}
	return b, nil
}
