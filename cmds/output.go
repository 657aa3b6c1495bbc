package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// stdout receives the results of commands; tests replace it.
var stdout io.Writer = os.Stdout

const (
	outputJSON     = "json"
	revisionHeader = "REVISION"
	columnGap      = 2
)

// table is a result that is printed in aligned columns.
type table struct {
	header []string
	rows   [][]string
}

// addRow adds a row with the default formatting of the cells.
func (t *table) addRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

func (t *table) print() error {
	w := tabwriter.NewWriter(stdout, 0, 0, columnGap, ' ', 0)
	for _, r := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// print prints v as JSON or the table, according to the output format.
func (o *clientOptions) print(v any, t *table) error {
	if o.Output != outputJSON {
		return t.print()
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	if _, err := fmt.Fprintln(stdout, string(data)); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}
