package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/magnolialever/magnolialever/trace"
)

type explainCommand struct {
	Args struct {
		RequestID string   `positional-arg-name:"REQUEST-ID" description:"ID of the request"`
		Files     []string `positional-arg-name:"FILE" description:"Log files of gateways; standard input if none is given"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("explain", "Print the log lines about a request",
		"Reads logs of entry gateways and prints each line that names the request, ordered by time over all "+
			"gateways. Lines marked with > are earlier events that the decisions on the request depended on.",
		&explainCommand{})
}

// errNotLogged means that no log line names the request.
var errNotLogged = errors.New("no log line names the request; gateways omit lines above their log rate limit")

// Execute prints the steps of the request. It fails with errNotLogged if no line names the request.
func (c *explainCommand) Execute([]string) error {
	records, err := readLogs(c.Args.Files, os.Stdin)
	if err != nil {
		return usageError(err)
	}
	steps := trace.Explain(records, c.Args.RequestID)
	if len(steps) == 0 {
		return fmt.Errorf("explain %s: %w", c.Args.RequestID, errNotLogged)
	}
	return printSteps(steps)
}

// readLogs returns the records of all files, or of stdin if there are none.
func readLogs(files []string, stdin io.Reader) ([]trace.Record, error) {
	if len(files) == 0 {
		records, err := trace.Read("standard input", stdin)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		return records, nil
	}
	var merged []trace.Record
	for _, f := range files {
		records, err := readLog(f)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		merged = append(merged, records...)
	}
	return merged, nil
}

func readLog(name string) ([]trace.Record, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	records, err := trace.Read(name, f)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return records, nil
}

func printSteps(steps []trace.Step) error {
	t := &table{header: []string{"", "TIME", "GATEWAY", "WHAT", "DETAILS"}}
	for _, s := range steps {
		mark := ""
		if s.Context {
			mark = ">"
		}
		vm := s.VM
		if vm == "" {
			vm = s.Source
		}
		t.addRow(mark, s.Timestamp, vm, s.Message, s.FormatFields())
	}
	return t.print()
}
