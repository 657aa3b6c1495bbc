package parts

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/wire"
)

// addMessage adds a message to a corpus.
func addMessage(f *testing.F, m *wire.PartMessage) {
	f.Helper()
	data, err := proto.Marshal(m)
	assert.NilError(f, err)
	f.Add(data)
}

// Guards against a message that ends each gateway that reads it, and against one that makes a part refused, or
// harmless, for ever.
func FuzzHandle(f *testing.F) {
	for _, age := range []int64{0, 100, -1, -1 << 62, 1<<63 - 1} {
		addMessage(f, &wire.PartMessage{Body: &wire.PartMessage_Suspects{Suspects: &wire.PartSuspects{SentMs: 900, Suspects: []*wire.PartSuspect{
			{Part: 1, Began: true, BeganAgeMs: age, Crashes: []*wire.PartCrash{{Id: 1}}}, nil,
			{Part: 2, Crashes: []*wire.PartCrash{{Id: 1, AgeMs: age}, {Id: 2, AgeMs: age}, {Id: 3, AgeMs: age}}},
		}}}})
	}
	addMessage(f, &wire.PartMessage{Body: &wire.PartMessage_Request{Request: &wire.PartRequest{Part: 1, Permit: 2, Stage: 7}}})
	addMessage(f, &wire.PartMessage{Body: &wire.PartMessage_Reply{Reply: &wire.PartReply{Part: 1, Permit: 2, Reply: 9, WaitMs: -1}}})
	addMessage(f, &wire.PartMessage{Body: &wire.PartMessage_End{End: &wire.PartReturn{Part: 1, Permit: 2, Began: true}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.PartMessage{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		e := newExchangeFleet(2).exchanges[0]
		e.Handle(m, Sender{VM: "gate-1"})
		now := e.Clock.Now().Add(clock.Second)
		for _, s := range e.Guard.Suspects(maxSuspects) {
			assert.Assert(t, !s.BeganAt.After(now), "an answer in the future: %v", s)
			e.Guard.ledger.RecordBegan(s.Part, now)
			assert.Equal(t, e.Guard.Verdict(s.Part).Crashes, 0, "an answer ends each verdict")
			for added, id := 0, retry.CrashID(1); added < provenCrashLimit; id++ {
				if !slices.ContainsFunc(s.Crashes, func(c Crash) bool { return c.ID == id }) {
					e.Guard.ledger.Merge(now, Suspect{Part: s.Part, Crashes: []Crash{{ID: id, SentAt: now.Add(clock.Second)}}})
					added++
				}
			}
			assert.Assert(t, len(s.Crashes) > maxCrashes-provenCrashLimit || e.Guard.Verdict(s.Part).Crashes > 0, "later crashes count: %v", s)
		}
	})
}
