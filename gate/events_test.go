package gate

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/wire"
)

const comment = ": still there\n\n"

// Guards against gaps and repetitions at any split into parts, with any number of
// breaks, and when an upstream repeats events that the caller has.
func TestEventRelayProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := rapid.Custom(func(t *rapid.T) []byte {
			text := rapid.StringMatching(`data: [a-c]{0,5}`).Draw(t, "text")
			return []byte(text + rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "end"))
		})
		all := rapid.SliceOfN(event, 1, 12).Draw(t, "events")
		c := &responseCollector{}
		a := &response{writer: newFlushWriter(c, 1000), resumable: true}
		for {
			first := rapid.Int64Range(0, a.nextEvent).Draw(t, "first")
			last := rapid.Bool().Draw(t, "last")
			if !runTestAttempt(t, a, all, first, last) && last {
				break
			}
		}
		got := strings.ReplaceAll(string(c.body), comment, "")
		assert.Equal(t, got, string(bytes.Join(all, nil)))
		assert.Equal(t, a.nextEvent, int64(len(all)))
	})
}

// runTestAttempt sends the events from the first on in parts, with comments in between.
// Unless it is the last attempt it may break.
func runTestAttempt(t *rapid.T, a *response, all [][]byte, first int64, last bool) (broken bool) {
	a.reset()
	head := &wire.Head{Status: 200, Header: []*wire.Header{{Name: "content-type", Value: "text/event-stream"}}}
	assert.NilError(t, a.handleHead(head))
	index := first
	for _, e := range all[first:] {
		if rapid.Bool().Draw(t, "comment") {
			assert.NilError(t, a.handlePart(&wire.Part{Index: index, Data: []byte(comment)}))
		}
		for len(e) > 0 {
			if !last && rapid.IntRange(0, 9).Draw(t, "break") == 0 {
				return true
			}
			n := rapid.IntRange(1, len(e)).Draw(t, "cut")
			assert.NilError(t, a.handlePart(&wire.Part{Index: index, Data: e[:n]}))
			e = e[n:]
		}
		index++
	}
	if !last {
		return true
	}
	assert.NilError(t, a.finish())
	return false
}
