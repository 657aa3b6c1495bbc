package trace_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/trace"
)

// readLogs returns the log lines of two gateways from the same day.
func readLogs(t testing.TB) []trace.Record {
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

// messages formats steps as "VM message upstream"; context lines begin with "> ".
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

// Guards against explanations without the cause: for a request that ended with 502 because its
// upstream ended, and for one that was refused while another gateway had the model loaded.
func TestExplainIncludesCause(t *testing.T) {
	assert.DeepEqual(t, messages(trace.Explain(readLogs(t), "1dfe80efb6c6afce")), []string{
		"> front-praha-c-1 entry: start ",
		"> front-praha-c-1 entry: gateways ",
		"> front-praha-c-1 feed: configuration ",
		"> front-praha-c-1 relay: upstream ended after answers broke off ",
		"> front-praha-a-2 entry: order i-2260482f26",
		"> front-praha-c-1 feed: upstream i-0552dceaaa",
		"front-praha-c-1 relay: refused i-0552dceaaa",
	})
	refused := messages(trace.Explain(readLogs(t), "2f3917638b27a89d"))
	assert.Equal(t, refused[len(refused)-1], "front-praha-c-1 relay: refused ")
	assert.Assert(t, strings.Contains(strings.Join(refused, ";"), "> front-praha-a-2 entry: order i-0552dceaaa"))
	assert.Equal(t, len(trace.Explain(readLogs(t), "unknown")), 0)
}

// Guards against values that are cut at spaces, quotes or equals signs, and against lines that
// are not recognized behind a prefix of another program.
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

// Guards against panics on arbitrary lines, such as those of other programs.
func FuzzParse(f *testing.F) {
	f.Add(`I0805 05:14:45.262639    7695 exchange.go:318] "relay: refused" request="a" status=503`)
	f.Fuzz(func(t *testing.T, line string) {
		if r, ok := trace.Parse(line); ok {
			trace.Explain([]trace.Record{r, r}, r.Fields["request"])
		}
	})
}
