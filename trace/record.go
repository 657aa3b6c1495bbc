// Package trace reads the log lines of gateways and selects those that explain the outcome of
// one request. It performs no I/O beyond reading lines.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Record is one structured log line in the format of klog.
type Record struct {
	// Timestamp is "MMDD hh:mm:ss.uuuuuu" as logged. It sorts lines of the same year by time.
	Timestamp string
	// VM is the name of the gateway's VM; empty for lines before the start line of the process.
	VM string
	// Source names the file that the line comes from; PID is the process id on the VM that
	// wrote it.
	Source  string
	PID     int
	Message string
	Fields  map[string]string
}

// headPattern matches the header of a klog line up to the quoted message. It is not anchored at
// the start, since other programs may have put a prefix before the line. Groups: timestamp,
// process id, message with fields.
var headPattern = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d+)\s+(\d+) [\w.-]+:\d+\] (".*)$`)

// Parse decodes one line. It returns false for a line that is not structured. VM and Source
// stay empty.
func Parse(line string) (Record, bool) {
	m := headPattern.FindStringSubmatch(line)
	if m == nil {
		return Record{}, false
	}
	text, rest, ok := parseValue(m[3])
	if !ok {
		return Record{}, false
	}
	process, err := strconv.Atoi(m[2])
	if err != nil {
		return Record{}, false
	}
	r := Record{Timestamp: m[1], PID: process, Message: text, Fields: map[string]string{}}
	for rest != "" {
		name, after, found := strings.Cut(strings.TrimLeft(rest, " "), "=")
		if !found {
			break
		}
		if r.Fields[name], rest, ok = parseValue(after); !ok {
			return Record{}, false
		}
	}
	return r, true
}

// parseValue splits s after the quoted or bare value at its start and returns the value without
// quotes. ok is false for a malformed quoted value.
func parseValue(s string) (text, rest string, ok bool) {
	if !strings.HasPrefix(s, `"`) {
		text, rest, _ = strings.Cut(s, " ")
		return text, rest, true
	}
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", "", false
	}
	text, err = strconv.Unquote(quoted)
	return text, s[len(quoted):], err == nil
}

// startMessage is logged by each gateway process at its start, with the name of its VM.
const startMessage = "entry: start"

// Read returns the structured lines of in, in their order, with Source and VM set. It skips
// other lines. It fails when in fails or a line exceeds 1 MiB.
func Read(source string, in io.Reader) ([]Record, error) {
	var out []Record
	vms := map[int]string{}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		r, ok := Parse(lines.Text())
		if !ok {
			continue
		}
		r.Source = source
		if r.Message == startMessage {
			vms[r.PID] = r.Fields["vm"]
		}
		r.VM = vms[r.PID]
		out = append(out, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", source, err)
	}
	return out, nil
}
