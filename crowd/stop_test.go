package crowd

import (
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopDuring runs the crowd, requests a stop in its middle and checks that the process ends by itself, within its bounds.
func (p *process) stopDuring(next func() target) {
	p.t.Helper()
	stop := time.AfterFunc(*crowdTime/2, func() { _ = p.cmd.Process.Signal(syscall.SIGTERM) })
	defer stop.Stop()
	p.run(next)
	select {
	case err := <-p.exited:
		p.exited <- err
		assert.Check(p.t, p.cmd.ProcessState.Exited(), "the end of the process: %v", err)
	case <-time.After(recoveryTime):
		p.t.Fatalf("the process has not ended %v after the crowd", recoveryTime)
	}
	p.t.Logf("peak memory %d MB, unread %d KB, descriptors %d", p.peak>>10, p.mostUnread>>10, p.mostDescriptors)
	assert.Check(p.t, p.peak>>10+p.mostUnread>>20 <= p.megabytes, "memory: %d MB, %d KB unread, bound %d MB", p.peak>>10, p.mostUnread>>10, p.megabytes)
	assert.Check(p.t, p.mostDescriptors <= p.descriptors, "descriptors: %d, bound %d", p.mostDescriptors, p.descriptors)
}

// Guards against a planned stop that a crowd holds up, or that takes more memory than the machine has.
func TestEntryStopsDuringCrowds(t *testing.T) {
	all := entryTargets()
	maps.Copy(all, listTargets())
	names := slices.Collect(maps.Values(all))
	for name, next := range map[string]func() target{
		"mixed":          func() target { return names[rand.IntN(len(names))] },
		"one byte short": func() target { return all["one byte short"] },
		"nobody reads":   func() target { return all["large answers that nobody reads"] },
		"sent ahead":     func() target { return all["sent ahead, route"] },
		"without a byte": func() target { return all["connections without a byte"] },
	} {
		t.Run(name, func(t *testing.T) {
			startEntryOn(t, listMachine).stopDuring(next)
		})
	}
}

// Guards against the same at a gateway with agents.
func TestGateStopsDuringCrowds(t *testing.T) {
	body := jsonBody(`{"model":"m","prompt":[`, `""`, `]}`)
	public := func(p *process) string { return p.public }
	for name, test := range map[string]target{
		"bodies":         {public, whole("/v1/completions", body)},
		"one byte short": {public, send(begin("POST", "/v1/completions", jsonType, length(len(body)), headEnd) + body[1:])},
		"sent ahead":     {public, repeat("", begin("GET", "/v1/models", headEnd), 0)},
		"without a byte": {public, send("")},
		"peers":          {func(p *process) string { return p.peers }, send(streams(8, 128<<10))},
	} {
		t.Run(name, func(t *testing.T) {
			startGate(t).stopDuring(func() target { return test })
		})
	}
}
