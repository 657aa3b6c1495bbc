package bench

// Policies of a table.
const (
	Static  = "static"
	LRU  = "least recently used"
	Planner = "planner"
	Offline = "offline"
)

// Run measures all policies on the same demand.
func Run(o Options) *Table {
	t := generate(o)
	table := &Table{Options: o, Requests: len(t.requests)}
	add := func(name string, r Result) {
		r.Policy = name
		table.Results = append(table.Results, r)
	}
	add(Static, newSim(o, t, newStatic(o, t)).run(t))
	add(LRU, newSim(o, t, &recent{}).run(t))
	add(Planner, newSim(o, t, newPlanned(o)).run(t))
	add(Offline, runOffline(o, t))
	return table
}
