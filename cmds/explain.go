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
		RequestID string   `positional-arg-name:"REQUEST-ID" description:"Id of the request"`
		Files     []string `positional-arg-name:"FILE" description:"Logs of gateways; none is standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	register("explain", "Print what happened to a request",
		"Read the logs of gateways on the platform and print each line that names the request, in order of "+
			"time over all gateways. Lines marked with > tell what the gateway believed when it decided.",
		&explainCommand{})
}

// errNotLogged means that no line names the request.
var errNotLogged = errors.New("no line names the request; lines beyond the limit are omitted by gateways")

// Execute runs the command.
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
