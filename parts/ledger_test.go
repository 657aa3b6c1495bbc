package parts_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/parts"
	"github.com/magnolialever/magnolialever/retry"
)

const (
	shared parts.ID = iota + 1
	session
	deadly
)

// crashAt returns a crash of a request that was sent at a time.
func crashAt(id retry.CrashID, sentAt clock.Time) parts.Crash {
	return parts.Crash{ID: id, SentAt: sentAt}
}

// state returns the state of a part.
func state(l *parts.Ledger, now clock.Time, part parts.ID) parts.State {
	s, _ := l.State(now, part)
	return s
}

// Guards against a sound part that is refused because a deadly one is in the same prompts.
func TestProvenPartIsInnocentBesideUnprovenOne(t *testing.T) {
	l := parts.NewLedger()
	l.RecordBegan(shared, 10)
	for i := range clock.Time(4) {
		l.RecordCrash(100+i, []parts.ID{shared, deadly}, crashAt(retry.CrashID(i), 50+i))
	}
	assert.Equal(t, state(l, 200, shared), parts.Proven)
	assert.Equal(t, state(l, 200, deadly), parts.Refused)
}

// Guards against upstreams lost without end to a part that was harmless until the engines changed.
func TestPartThatTurnsDeadlyIsRefused(t *testing.T) {
	l := parts.NewLedger()
	l.RecordBegan(shared, 10)
	l.RecordCrash(100, []parts.ID{shared}, crashAt(1, 50))
	assert.Equal(t, state(l, 100, shared), parts.Unproven)
	l.RecordCrash(200, []parts.ID{shared}, crashAt(2, 150))
	l.RecordCrash(300, []parts.ID{shared}, crashAt(3, 250))
	assert.Equal(t, state(l, 300, shared), parts.Refused)
}

// Guards against a popular part that is refused because upstreams end for other reasons: an answer that
// begins refutes the crashes of all prompts that were sent before.
func TestAnswerThatBeginsRefutesCrashes(t *testing.T) {
	l := parts.NewLedger()
	for i := range retry.CrashID(6) {
		l.RecordCrash(100, []parts.ID{shared}, crashAt(i, 50))
	}
	assert.Equal(t, state(l, 100, shared), parts.Refused)
	assert.Assert(t, l.RecordBegan(shared, 60))
	assert.Equal(t, state(l, 110, shared), parts.Proven)
	// Another gateway that reports one of these crashes again changes nothing.
	assert.Assert(t, !l.Merge(120, parts.Suspect{Part: shared, Crashes: []parts.Crash{crashAt(1, 50), crashAt(9, 55)}}))
	assert.Equal(t, state(l, 120, shared), parts.Proven)
}

// Guards against one crash that several gateways report and that counts more than once.
func TestCrashCountsOnce(t *testing.T) {
	l := parts.NewLedger()
	l.RecordCrash(100, []parts.ID{deadly}, crashAt(7, 50))
	assert.Assert(t, !l.Merge(101, parts.Suspect{Part: deadly, Crashes: []parts.Crash{crashAt(7, 60)}}))
	assert.Equal(t, state(l, 101, deadly), parts.Unproven)
}

// Guards against a verdict without end, and against one whose trials cost an upstream each minute: trials
// come one at a time, and each failed one doubles the time to the next.
func TestTrialsOfRefusedPart(t *testing.T) {
	l := parts.NewLedger()
	now := clock.Time(1000)
	for i := range retry.CrashID(2) {
		l.RecordCrash(now, []parts.ID{deadly}, crashAt(i, now-10))
	}
	delays := []clock.Span{clock.Second, clock.Minute, 2 * clock.Minute, 4 * clock.Minute}
	for i, delay := range delays {
		reply, wait := l.Request(now, deadly, 1, parts.Queued, parts.ReachAll)
		assert.Equal(t, reply, parts.Denied)
		assert.Equal(t, wait, delay)
		now = now.Add(delay)
		reply, _ = l.Request(now, deadly, parts.Permit(10+i), parts.Queued, parts.ReachAll)
		assert.Equal(t, reply, parts.Granted)
		reply, _ = l.Request(now, deadly, 3, parts.Queued, parts.ReachAll)
		assert.Equal(t, reply, parts.Denied, "one trial at a time")
		l.RecordCrash(now+100, []parts.ID{deadly}, crashAt(retry.CrashID(20+i), now))
		l.Return(now+100, deadly, parts.Permit(10+i))
		now += 100
	}
	now = now.Add(clock.Hour)
	reply, _ := l.Request(now, deadly, 5, parts.Queued, parts.ReachAll)
	assert.Equal(t, reply, parts.Granted)
	l.RecordBegan(deadly, now+10)
	reply, _ = l.Request(now+20, deadly, 6, parts.Queued, parts.ReachAll)
	assert.Equal(t, reply, parts.Harmless)
}

// Guards against one more upstream lost to a part because the gateway that sent a trial is gone with what it saw, and
// against a sound part that stays refused because its trial was not sent.
func TestTrialWithUnknownEndCountsAsFailed(t *testing.T) {
	l := parts.NewLedger()
	for i := range retry.CrashID(2) {
		l.RecordCrash(1000, []parts.ID{deadly}, crashAt(i, 900))
	}
	request := func(now clock.Time, id parts.Permit) parts.Reply {
		reply, _ := l.Request(now, deadly, id, parts.Queued, parts.ReachAll)
		return reply
	}
	assert.Equal(t, request(2000, 1), parts.Granted)
	l.Return(2500, deadly, 1)
	assert.Equal(t, request(3000, 2), parts.Denied)
	assert.Equal(t, request(3600, 2), parts.Granted)
	assert.Equal(t, request(3700, 2), parts.Granted, "the trial asks again before it is sent")
	assert.Equal(t, request(20_000, 3), parts.Denied)
	assert.Equal(t, request(70_000, 4), parts.Granted)
}

// Guards against a part whose requests wait for others that are lost with their gateway.
func TestPermitsExpire(t *testing.T) {
	l := parts.NewLedger()
	for i := range parts.Permit(2) {
		reply, _ := l.Request(1, session, i, parts.Queued, parts.ReachAll)
		assert.Equal(t, reply, parts.Granted)
	}
	reply, _ := l.Request(2, session, 3, parts.Queued, parts.ReachAll)
	assert.Equal(t, reply, parts.Busy)
	reply, _ = l.Request(700, session, 3, parts.Queued, parts.ReachAll)
	assert.Equal(t, reply, parts.Granted)
}

// Guards against memory that grows with the number of new parts, and against a verdict that they displace.
func TestManyNewPartsDisplaceNoVerdict(t *testing.T) {
	l := parts.NewLedger()
	for i := range retry.CrashID(2) {
		l.RecordCrash(1, []parts.ID{deadly}, crashAt(i, 1))
	}
	for i := range parts.ID(20_000) {
		l.RecordBegan(1000+2*i, 5)
		l.RecordCrash(clock.Time(10+i), []parts.ID{1001 + 2*i}, crashAt(99, 6))
	}
	assert.Equal(t, state(l, 900, deadly), parts.Refused)
	assert.Assert(t, len(l.Suspects(30_000, 1_000_000)) <= 4096)
	assert.Equal(t, l.Suspects(30_000, 1)[0].Part, deadly)
}

// Guards against a sound part that is refused with a deadly one, because both were in a trial: the refused
// part explains the crash.
func TestRefusedPartExplainsCrash(t *testing.T) {
	l := parts.NewLedger()
	for i := range retry.CrashID(2) {
		l.RecordCrash(100, []parts.ID{deadly}, crashAt(i, 50))
	}
	for i := range retry.CrashID(3) {
		l.RecordCrash(200, []parts.ID{session, deadly}, crashAt(10+i, 150))
	}
	assert.Equal(t, state(l, 200, session), parts.Unproven)
	assert.Equal(t, len(l.Suspects(200, 9)), 1)
}

// Guards against a verdict that is lost with all gateways, and against one from the store that an answer has
// refuted.
func TestVerdictFromStore(t *testing.T) {
	l := parts.NewLedger()
	assert.Assert(t, l.Restore(100, parts.Verdict{Part: deadly, Crashes: 3}))
	assert.Assert(t, !l.Restore(200, parts.Verdict{Part: deadly, Crashes: 3}))
	assert.Equal(t, state(l, 100, deadly), parts.Refused)
	reply, wait := l.Request(30_100, deadly, 1, parts.Queued, parts.ReachAll)
	assert.Equal(t, reply, parts.Denied)
	assert.Equal(t, wait, 30*clock.Second, "the next trial is not sooner than without a restart")
	l.RecordBegan(session, 90)
	assert.Assert(t, !l.Restore(100, parts.Verdict{Part: session, Crashes: 2}))
	assert.Equal(t, state(l, 100, session), parts.Proven)
}

// Guards against a verdict in the store that a gateway ignores because it knows of one crash itself, so that it loses
// one more upstream.
func TestVerdictFromStoreCountsBesideOwnCrash(t *testing.T) {
	l := parts.NewLedger()
	l.RecordCrash(100, []parts.ID{deadly}, crashAt(1, 50))
	assert.Assert(t, l.Restore(200, parts.Verdict{Part: deadly, Crashes: 2}))
	assert.Equal(t, state(l, 200, deadly), parts.Refused)
	assert.Assert(t, !l.Restore(300, parts.Verdict{Part: deadly, Crashes: 2}))
}

// Guards against a popular part that turns deadly and is never refused, because the crashes of other causes that answers
// have refuted take the place of new ones.
func TestRefutedCrashesMakeRoom(t *testing.T) {
	l := parts.NewLedger()
	now := clock.Time(1000)
	for i := range retry.CrashID(40) {
		l.RecordCrash(now, []parts.ID{shared}, crashAt(i, now-10))
		l.RecordBegan(shared, now+10)
		now += 100
	}
	for i := range retry.CrashID(3) {
		l.RecordCrash(now, []parts.ID{shared}, crashAt(100+i, now-10))
	}
	assert.Equal(t, state(l, now, shared), parts.Refused)
}

// Guards against a model of which all requests are refused because a part of prompts for it crashes upstreams, at a gateway
// that has seen no answer of the model yet.
func TestModelIsInnocentBesideDeadlyPart(t *testing.T) {
	l := parts.NewLedger()
	model := parts.NewTargetID("engines", "small")
	for i := range retry.CrashID(4) {
		l.RecordCrash(100, []parts.ID{deadly, model}, crashAt(i, 50))
	}
	assert.Equal(t, state(l, 200, deadly), parts.Refused)
	assert.Equal(t, state(l, 200, model), parts.Unproven)
}
