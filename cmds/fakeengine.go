package cmds

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/engine"
	"github.com/magnolialever/magnolialever/units"
)

// fakeEngineCommand holds the flags of the fake engine, which become engine.Options.
type fakeEngineCommand struct {
	Listen               string        `long:"listen" description:"Address, as IP:port, to listen on" default:"127.0.0.1:0"`
	CapacityBytes        int64         `long:"capacity" description:"Accelerator memory in bytes" default:"85899345920"`
	Models               []string      `long:"model" description:"Initially resident model, as id:bytes, or adapter, as id@base:bytes; may be repeated"`
	WeightStore          string        `long:"weights" description:"Address of the weight store, as IP:port"`
	LoadTime             time.Duration `long:"load-time" description:"Duration of a load, without fetching the weights"`
	UnloadTime           time.Duration `long:"unload-time" description:"Duration of an unload"`
	StepTime             time.Duration `long:"token-time" description:"Duration of a decoding step" default:"5ms"`
	StepJitter           time.Duration `long:"jitter" description:"Random addition to a step" default:"2ms"`
	FullSpeedRequests    int           `long:"knee" description:"Number of running requests above which steps take longer" default:"50"`
	LoadLag              time.Duration `long:"load-lag" description:"Age of the values in load reports"`
	EventLag             time.Duration `long:"event-lag" description:"Delay of prefix cache events"`
	EventLossProbability float64       `long:"event-gaps" description:"Fraction of prefix cache events that are dropped"`
	CheckFence           bool          `long:"check-fence" description:"Reject orders with an outdated fencing number"`
	StartCold            bool          `long:"cold" description:"Start in the cold state"`
	MaxColdRequests      int           `long:"cold-limit" description:"Maximum concurrent requests of a cold engine; more make it collapse" default:"4"`
	WarmupResponses      int           `long:"cold-answers" description:"Responses after which a cold engine is warm" default:"10"`
	CollapseTime         time.Duration `long:"collapse" description:"Duration of the outage after a collapse" default:"1s"`
	MaxRunning           int           `long:"max-running" description:"Maximum requests in the running batch" default:"128"`
	KVBlocks             int           `long:"blocks" description:"KV cache blocks of 16 tokens" default:"16384"`
	CrashMarker          string        `long:"marker" description:"Text that crashes the engine if a prompt contains it"`
	RestartDelay         time.Duration `long:"restart" description:"Downtime after a crash" default:"500ms"`
}

func init() {
	register("fake-engine", "Run a fake model engine",
		"Simulates a model engine. POST /fault enables and disables faults.", &fakeEngineCommand{})
}

var errInvalidModel = errors.New("expected id:bytes or id@base:bytes")

// parseModel parses a value of --model. It fails with errInvalidModel.
func parseModel(s string) (engine.Model, error) {
	i := strings.LastIndexByte(s, ':')
	if i <= 0 {
		return engine.Model{}, fmt.Errorf("model %q: %w", s, errInvalidModel)
	}
	size, err := strconv.ParseInt(s[i+1:], 10, 64)
	if err != nil {
		return engine.Model{}, fmt.Errorf("model %q: %w", s, errInvalidModel)
	}
	id, base, _ := strings.Cut(s[:i], "@")
	return engine.Model{ID: units.ModelID(id), Base: units.ModelID(base), Bytes: units.Bytes(size)}, nil
}

// Execute runs the engine until SIGINT or SIGTERM.
func (c *fakeEngineCommand) Execute([]string) error {
	o := engine.Options{
		Address: c.Listen, Capacity: units.Bytes(c.CapacityBytes), WeightStore: c.WeightStore,
		LoadTime: clock.FromDuration(c.LoadTime), UnloadTime: clock.FromDuration(c.UnloadTime),
		StepTime: clock.FromDuration(c.StepTime), StepJitter: clock.FromDuration(c.StepJitter), FullSpeedRequests: c.FullSpeedRequests,
		LoadLag: clock.FromDuration(c.LoadLag), EventLag: clock.FromDuration(c.EventLag), EventLossProbability: c.EventLossProbability,
		CheckFence: c.CheckFence, StartCold: c.StartCold, MaxColdRequests: c.MaxColdRequests,
		WarmupResponses: c.WarmupResponses, CollapseTime: clock.FromDuration(c.CollapseTime), MaxRunning: c.MaxRunning, KVBlocks: c.KVBlocks,
		CrashMarker: c.CrashMarker, RestartDelay: clock.FromDuration(c.RestartDelay),
	}
	for _, v := range c.Models {
		m, err := parseModel(v)
		if err != nil {
			return usageError(err)
		}
		o.Models = append(o.Models, m)
	}
	s, err := engine.New(o)
	if err != nil {
		return fmt.Errorf("start fake engine: %w", err)
	}
	return serveUntilSignal("fake-engine", s)
}
