package cmds

import (
	"context"
	"time"

	"github.com/magnolialever/magnolialever/opsapi"
)

type statusCommand struct {
	Client clientOptions `group:"Client options"`
}

func init() {
	register("status", "Print the configuration revision of each node",
		"Prints the gateway that responds and the nodes with a session to it. A node is behind "+
			"if another node has a newer revision of a team's configuration.", &statusCommand{})
}

// Execute prints one row for each node and team.
func (s *statusCommand) Execute([]string) error {
	c, err := s.Client.newClient()
	if err != nil {
		return err
	}
	st, err := c.GetStatus(context.Background())
	if err != nil {
		return responseError(err)
	}
	newest := map[string]opsapi.Revision{}
	for _, n := range st.Nodes {
		for _, v := range n.Versions {
			newest[v.Team] = max(newest[v.Team], v.Revision)
		}
	}
	t := &table{header: []string{"NODE", "ROLE", "AGE", "TEAM", revisionHeader, "STATE"}}
	for _, n := range st.Nodes {
		age := (time.Duration(n.Age) * time.Millisecond).Round(time.Second / 10)
		if len(n.Versions) == 0 {
			t.addRow(n.ID, n.Role, age, "-", "-", "none")
		}
		for _, v := range n.Versions {
			t.addRow(n.ID, n.Role, age, v.Team, v.Revision, versionState(v, newest[v.Team]))
		}
	}
	return s.Client.print(st, t)
}

// versionState returns the state of a node's revision compared with the newest one of any node.
func versionState(v opsapi.NodeVersion, newest opsapi.Revision) string {
	switch {
	case v.Rejected > int64(v.Revision):
		return "rejected newer"
	case v.Revision < newest:
		return "behind"
	}
	return "current"
}
