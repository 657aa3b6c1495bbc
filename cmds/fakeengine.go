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

type fakeEngineCommand struct {
	Listen        string        `long:"listen" description:"Address, as IP:port" default:"127.0.0.1:0"`
	CapacityBytes int64         `long:"capacity" description:"Accelerator memory in bytes" default:"85899345920"`
	Models        []string      `long:"model" description:"Resident model, as id:bytes, or adapter, as id@base:bytes; may be repeated"`
	WeightStore   string        `long:"weights" description:"Address of the weight store"`
	LoadTime      time.Duration `long:"load-time" description:"Time of a load beside fetching the weights"`
	UnloadTime    time.Duration `long:"unload-time" description:"Time of an unload"`
	StepTime      time.Duration `long:"token-time" description:"Time of a step" default:"5ms"`
	Jitter        time.Duration `long:"jitter" description:"Random part of a step" default:"2ms"`
	Knee          int           `long:"knee" description:"Running requests beyond which steps grow" default:"50"`
	LoadLag       time.Duration `long:"load-lag" description:"Age of the numbers in load reports"`
	EventLag      time.Duration `long:"event-lag" description:"Delay of prefix cache events"`
	EventGaps     float64       `long:"event-gaps" description:"Share of prefix cache events never delivered"`
	CheckFence    bool          `long:"check-fence" description:"Refuse orders with an old fencing number"`
	Cold          bool          `long:"cold" description:"Start cold"`
	ColdLimit     int           `long:"cold-limit" description:"Requests at once that a cold engine bears" default:"4"`
	ColdResponses int           `long:"cold-answers" description:"Answers after which a cold engine is warm" default:"10"`
	CollapseTime  time.Duration `long:"collapse" description:"Time without service after a collapse" default:"1s"`
	MaxRunning    int           `long:"max-running" description:"Requests in the batch" default:"128"`
	CacheBlocks   int           `long:"blocks" description:"KV cache blocks of 16 tokens" default:"16384"`
	CrashMarker   string        `long:"marker" description:"Text in a prompt that crashes the engine"`
	RestartTime   time.Duration `long:"restart" description:"Time down after a crash" default:"500ms"`
}

func init() {
	register("fake-engine", "Run a stand-in for a model engine",
		"Runs a stand-in for a model engine. POST /fault switches faults.", &fakeEngineCommand{})
}

var errInvalidModel = errors.New("want id:bytes or id@base:bytes")

// parseModel reads the value of --model.
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

// Execute runs the stand-in until a signal.
func (c *fakeEngineCommand) Execute([]string) error {
	o := engine.Options{
		Address: c.Listen, Capacity: units.Bytes(c.CapacityBytes), Weights: c.WeightStore,
		LoadTime: clock.FromDuration(c.LoadTime), UnloadTime: clock.FromDuration(c.UnloadTime),
		TokenTime: clock.FromDuration(c.StepTime), Jitter: clock.FromDuration(c.Jitter), Knee: c.Knee,
		LoadLag: clock.FromDuration(c.LoadLag), EventLag: clock.FromDuration(c.EventLag), EventGaps: c.EventGaps,
		CheckFence: c.CheckFence, Cold: c.Cold, ColdLimit: c.ColdLimit,
		ColdAnswers: c.ColdResponses, CollapseTime: clock.FromDuration(c.CollapseTime), MaxRunning: c.MaxRunning, Blocks: c.CacheBlocks,
		Marker: c.CrashMarker, Restart: clock.FromDuration(c.RestartTime),
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
		return fmt.Errorf("start: %w", err)
	}
	return serveUntilSignal("fake-engine", s)
}
