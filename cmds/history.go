package cmds

import (
	"context"
	"time"

	"github.com/magnolialever/magnolialever/opsapi"
)

type historyCommand struct {
	Client clientOptions `group:"Client options"`
	Scope  teamOptions   `group:"Team"`
}

func init() {
	register("history", "Print the last changes of a team's configuration",
		"Prints the last 20 changes with their time, author and summary, oldest first.", &historyCommand{})
}

// Execute prints the changes.
func (h *historyCommand) Execute([]string) error {
	c, err := h.Client.newClient()
	if err != nil {
		return err
	}
	l, err := c.GetHistory(context.Background(), opsapi.GetHistoryParams{Team: h.Scope.TeamID})
	if err != nil {
		return responseError(err)
	}
	t := &table{header: []string{"WHEN", "WHO", "SUMMARY"}}
	for _, e := range l.Changes {
		t.addRow(e.When.Format(time.RFC3339), e.Who, e.Summary)
	}
	return h.Client.print(l, t)
}
