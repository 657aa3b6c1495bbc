package bench

// Names of the policies in Table.Results.
const (
	Static  = "static"
	LRU     = "least recently used"
	Planner = "planner"
	Offline = "offline"
)

// Run simulates all policies on the same requests. Equal options give equal results.
func Run(o Options) *Table {
	t := generateTrace(o)
	table := &Table{Options: o, Requests: len(t.requests)}
	add := func(name string, r Result) {
		r.Policy = name
		table.Results = append(table.Results, r)
	}
	add(Static, newSimulation(o, t, newStaticPolicy(o, t)).run(t))
	add(LRU, newSimulation(o, t, &lruPolicy{}).run(t))
	add(Planner, newSimulation(o, t, newPlannerPolicy(o)).run(t))
	add(Offline, runOffline(o, t))
	return table
}
