package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against prompts that count at another engine than the one they were sent to, and against odd ones that lower its load.
func TestPromptsAreDecoded(t *testing.T) {
	v := &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{"one": {Upstream: &fleet.Upstream{ID: "one"}}}}
	sent := encodePrompts([]sched.SentPrompts{{Upstream: "one", Tokens: 700, Reserved: 900}, {Upstream: "unknown", Tokens: 5, Reserved: 5}})
	sent.Prompts = append(sent.Prompts, &wire.Prompt{Upstream: hashUpstream("one"), Tokens: -700, Reserved: 900})
	var p promptSender
	assert.DeepEqual(t, p.decode(v, sent), []sched.SentPrompts{{Upstream: "one", Tokens: 700, Reserved: 900}})
}

// Guards against messages about prompts that cost more the more gateways there are.
func TestPromptMessagesAreBounded(t *testing.T) {
	for _, gateways := range []int{1, 2, 20, 100, 320} {
		var p promptSender
		sent := 0
		for now := clock.Time(10_000); now < 11_000; now++ {
			if p.due(now, gateways) {
				sent++
			}
		}
		assert.Check(t, sent*(gateways-1) <= 1000, "%d gateways: %d", gateways, sent)
		assert.Check(t, (sent > 0) == (gateways > 1 && gateways < 320), "%d gateways: %d", gateways, sent)
	}
}
