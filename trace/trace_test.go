package trace_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/trace"
)

// logs are lines of two gateways from one day.
func logs(t testing.TB) []trace.Record {
	t.Helper()
	var all []trace.Record
	for _, name := range []string{"testdata/a.log", "testdata/c.log"} {
		f, err := os.Open(name)
		assert.NilError(t, err)
		defer f.Close()
		one, err := trace.Read(name, f)
		assert.NilError(t, err)
		all = append(all, one...)
	}
	return all
}

func messages(steps []trace.Step) []string {
	var out []string
	for _, s := range steps {
		mark := ""
		if s.Context {
			mark = "> "
		}
		out = append(out, mark+s.VM+" "+s.Message+" "+s.Fields["upstream"])
	}
	return out
}

// Guards against an explanation that leaves out why: a request that ended with 502 after its
// upstream was lost, and one that was refused while the model was being loaded on the order
// of another gateway.
func TestCauseIsTold(t *testing.T) {
	assert.DeepEqual(t, messages(trace.Explain(logs(t), "1dfe80efb6c6afce")), []string{
		"> front-praha-c-1 entry: start ",
		"> front-praha-c-1 entry: gateways ",
		"> front-praha-c-1 feed: configuration ",
		"> front-praha-c-1 relay: upstream ended after answers broke off ",
		"> front-praha-a-2 entry: order i-2260482f26",
		"> front-praha-c-1 feed: upstream i-0552dceaaa",
		"front-praha-c-1 relay: refused i-0552dceaaa",
	})
	refused := messages(trace.Explain(logs(t), "2f3917638b27a89d"))
	assert.Equal(t, refused[len(refused)-1], "front-praha-c-1 relay: refused ")
	assert.Assert(t, strings.Contains(strings.Join(refused, ";"), "> front-praha-a-2 entry: order i-0552dceaaa"))
	assert.Equal(t, len(trace.Explain(logs(t), "unknown")), 0)
}

// Guards against values that are cut at spaces, quotes or equals signs, and against
// prefixes that other programs put before a line.
func TestParse(t *testing.T) {
	r, ok := trace.Parse(`  9.2 front-1 I0805 05:14:45.262639    7695 exchange.go:318] "relay: refused" request="a b" reason="read \"x\" = 1" status=503 empty="" took=0`)
	assert.Assert(t, ok)
	assert.Equal(t, r.Timestamp, "0805 05:14:45.262639")
	assert.Equal(t, r.PID, 7695)
	assert.DeepEqual(t, r.Fields, map[string]string{"request": "a b", "reason": `read "x" = 1`, "status": "503", "empty": "", "took": "0"})
	assert.Equal(t, r.FormatFields(), `reason=read "x" = 1 request=a b status=503 took=0`)
	for _, bad := range []string{"", "panic: x", `I0805 05:14:45.262639 7695 a.go:1] "cut`, `I0805 05:14:45.262639 7695 a.go:1] "x" f="cut`} {
		_, ok := trace.Parse(bad)
		assert.Assert(t, !ok, bad)
	}
}

// Guards against a stop on lines that gateways did not write.
func FuzzParse(f *testing.F) {
	f.Add(`I0805 05:14:45.262639    7695 exchange.go:318] "relay: refused" request="a" status=503`)
	f.Fuzz(func(t *testing.T, line string) {
		if r, ok := trace.Parse(line); ok {
			trace.Explain([]trace.Record{r, r}, r.Fields["request"])
		}
	})
}
