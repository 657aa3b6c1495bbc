// Package trace reads the log lines of gateways and selects what explains the fate of one
// request. It performs no I/O beyond reading lines.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// Record is one structured log line.
type Record struct {
	// Timestamp is month, day and time as logged; it orders the lines of one year.
	Timestamp string
	// VM is empty until the line of the process's start was read.
	VM string
	// Source is the file that the line comes from, Process the id of the process there.
	Source  string
	PID     int
	Message string
	Fields  map[string]string
}

// head matches the head of a log line. Other programs may have put words before it.
var head = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d+)\s+(\d+) [\w.-]+:\d+\] (".*)$`)

// Parse reads one line. It returns false for a line that is not structured.
func Parse(line string) (Record, bool) {
	m := head.FindStringSubmatch(line)
	if m == nil {
		return Record{}, false
	}
	text, rest, ok := value(m[3])
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
		if r.Fields[name], rest, ok = value(after); !ok {
			return Record{}, false
		}
	}
	return r, true
}

// value reads a quoted or bare value from the start of the text.
func value(s string) (text, rest string, ok bool) {
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

// startMessage is logged by each process with the name of its VM.
const startMessage = "entry: start"

// Read returns the structured lines of a source in their order, with the VM of each
// process. Other lines are left out.
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
