package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/magnolialever/magnolialever/bench"
	"github.com/magnolialever/magnolialever/clock"
)

type benchCommand struct {
	Seed   uint64        `long:"seed" description:"Random seed of the demand" default:"1"`
	Length time.Duration `long:"length" description:"Simulated duration" default:"1h"`
	Site   string        `long:"site" description:"Site to simulate" choice:"court" choice:"council" choice:"all" default:"all"`
}

func init() {
	register("bench", "Benchmark the placement planner",
		"Runs the planner, two baselines and an offline plan on the same simulated demand and prints a table per site.",
		&benchCommand{})
}

// Execute runs the benchmark and prints a table for each site.
func (c *benchCommand) Execute([]string) error {
	if c.Length < bench.MinLength.Duration() {
		return usageError(fmt.Errorf("--length must be at least %v", bench.MinLength.Duration()))
	}
	sites := map[string][]bench.Site{
		"court": {bench.SoudniMost}, "council": {bench.Council}, "all": {bench.SoudniMost, bench.Council},
	}
	for _, s := range sites[c.Site] {
		t := bench.Run(bench.Options{Site: s, Seed: c.Seed, Length: clock.FromDuration(c.Length)})
		if err := t.Write(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
