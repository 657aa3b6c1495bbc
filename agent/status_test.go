package agent_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer with an odd status that is passed on, that is stored as the result of a call which must not be
// repeated, or that counts as a crash; and against the head of one inside a body.
func TestOddStatusIsNoAnswer(t *testing.T) {
	answers := map[string]rawAnswer{}
	for _, status := range []string{"000", "001", "099", "100", "101", "150", "199", "600", "999", "12", "1000", "-01", "+01", "abc"} {
		odd := func(head string) string { return strings.Replace(head, "200 OK", status+" Odd", 1) }
		answers["plain "+status] = rawAnswer{"service", "", []string{odd(textHead) + "body"}}
		answers["model "+status] = rawAnswer{"model", "", []string{odd(jsonHead) + object}}
		answers["stream "+status] = rawAnswer{"model", "", []string{odd(streamHead) + token + end}}
		answers["inside a body "+status] = rawAnswer{"service", "body", []string{textHead + "body" + odd(textHead)}}
		answers["inside a stream "+status] = rawAnswer{"service", token, []string{streamHead + token + odd(streamHead)}}
	}
	callRaw(t, answers, func(name string, a rawAnswer, res *callResult) {
		assert.Check(t, res.done == nil && res.refuse != nil, "%s: taken as an answer with status %d", name, res.head.GetStatus())
		assert.Check(t, res.refuse == nil || res.refuse.Ran, "%s: it may have run", name)
		assert.Check(t, (res.head == nil) == (a.want == ""), "%s: head %v", name, res.head)
		assert.Check(t, res.text() == a.want, "%s: %q", name, res.text())
	})
}
