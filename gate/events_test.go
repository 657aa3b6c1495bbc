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

// Guards against missing and repeated events at any split into parts, with any number of broken
// attempts, and when an upstream sends events again that the caller has.
func TestEventRelayProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		event := rapid.Custom(func(t *rapid.T) []byte {
			text := rapid.StringMatching(`data: [a-c]{0,5}`).Draw(t, "text")
			return []byte(text + rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "end"))
		})
		all := append(rapid.SliceOfN(event, 1, 12).Draw(t, "events"), []byte("data: [DONE]\n\n"))
		c := &responseCollector{}
		resp := &response{writer: newFlushWriter(c, 1000), resumable: true}
		for {
			first := rapid.Int64Range(0, resp.nextEvent).Draw(t, "first")
			last := rapid.Bool().Draw(t, "last")
			if !runTestAttempt(t, resp, all, first, last) && last {
				break
			}
		}
		got := strings.ReplaceAll(string(c.body), comment, "")
		assert.Equal(t, got, string(bytes.Join(all, nil)))
		assert.Equal(t, resp.nextEvent, int64(len(all)))
	})
}

// runTestAttempt sends the events from index first on, split into parts, with comments in between.
// It reports whether the attempt broke; the last attempt never does.
func runTestAttempt(t *rapid.T, resp *response, all [][]byte, first int64, last bool) (broken bool) {
	resp.reset()
	head := &wire.Head{Status: 200, Header: []*wire.Header{{Name: "content-type", Value: "text/event-stream"}}}
	assert.NilError(t, resp.handleHead(head))
	index := first
	for _, e := range all[first:] {
		if rapid.Bool().Draw(t, "comment") {
			assert.NilError(t, resp.handlePart(&wire.Part{Index: index, Data: []byte(comment)}))
		}
		for len(e) > 0 {
			if !last && rapid.IntRange(0, 9).Draw(t, "break") == 0 {
				return true
			}
			n := rapid.IntRange(1, len(e)).Draw(t, "cut")
			assert.NilError(t, resp.handlePart(&wire.Part{Index: index, Data: e[:n]}))
			e = e[n:]
		}
		index++
	}
	if !last {
		return true
	}
	assert.NilError(t, resp.finish())
	return false
}
