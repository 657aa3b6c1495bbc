package agent_test

import (
	"expvar"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/stats"
	"github.com/magnolialever/magnolialever/wire"
)

// endedByConnection returns how many answers have ended with their connection.
func endedByConnection() int64 {
	if n, ok := stats.Events.Get("answers_ended_by_connection").(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Guards against answers that nothing but the end of the connection ends and that the metrics don't tell from others.
func TestAnswersEndedByConnectionAreCounted(t *testing.T) {
	for name, test := range map[string]struct {
		encoding string
		counted  int64
	}{
		"chunks":     {"", 0},
		"connection": {"identity", 1},
	} {
		t.Run(name, func(t *testing.T) {
			ta := startAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.encoding != "" {
					w.Header().Set("Transfer-Encoding", test.encoding)
				}
				writeTokens(w, 3)
			}), nil)
			before := endedByConnection()
			res := readResponse(t, ta.call(&wire.Call{Attempt: "a", Kind: "service", Idempotent: true}))
			assert.Assert(t, res.done != nil && len(res.parts) == 3, "%v", res)
			assert.Equal(t, endedByConnection()-before, test.counted)
		})
	}
}
