package duty_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/duty"
	"github.com/magnolialever/magnolialever/elect"
	"github.com/magnolialever/magnolialever/units"
)

const subject duty.Subject = "usage"

// term is a leader whose epoch the test sets; 0 is none.
type term struct{ epoch units.Epoch }

func (t *term) OrderEpoch(clock.Time) (units.Epoch, bool) { return t.epoch, t.epoch != 0 }

// office is a gateway with calls for one kind of duty, under a term that the test sets.
type office struct {
	*term
	now   clock.Time
	calls *duty.Calls[string]
}

func same(a, b string) bool { return a == b }

func newOffice() *office {
	o := &office{term: &term{epoch: 5}, now: 1000}
	o.calls = duty.NewCalls[string](duty.NewHolder("one", o.term), duty.NewPacer(1000), same)
	return o
}

// next returns what the next call says, empty if there is none within a few seconds.
func (o *office) next() duty.Call[string] {
	for end := o.now.Add(5 * clock.Second); o.now.Before(end); o.now = o.now.Add(10) {
		if call, ok := o.calls.Next(o.now); ok {
			return call
		}
	}
	return duty.Call[string]{}
}

// Guards against a newer call that an older one without an answer overtakes seconds later.
func TestUnansweredCallIsRepeatedExactly(t *testing.T) {
	o := newOffice()
	o.calls.Require(subject, "three", 0)
	first := o.next()
	assert.Equal(t, first.Content, "three")
	assert.Equal(t, first.Proof, duty.Proof{Subject: subject, Holder: "one", Epoch: 5})
	o.calls.Require(subject, "four", 0)
	assert.Equal(t, o.next().Content, "", "a call is in flight")
	for range 3 {
		o.calls.Record(o.now, first, duty.Unanswered)
		again := o.next()
		assert.Equal(t, again.Content, "three")
		assert.Assert(t, again.Repeated)
		first = again
	}
	assert.Assert(t, !o.calls.Record(o.now, first, duty.Acknowledged), "another call is due meanwhile")
	last := o.next()
	assert.Equal(t, last.Content, "four")
	assert.Assert(t, o.calls.Record(o.now, last, duty.Acknowledged))
	got, ok := o.calls.Acknowledged(o.now, subject)
	assert.Assert(t, ok)
	assert.Equal(t, got, "four")
	assert.Equal(t, o.next().Content, "")
}

// Guards against a call without an answer that holds up the duty for good, and against one under an epoch that is past.
func TestLaterEpochEndsUnansweredCall(t *testing.T) {
	o := newOffice()
	o.calls.Require(subject, "three", 0)
	lost := o.next()
	o.calls.Record(o.now, lost, duty.Unanswered)
	o.calls.Require(subject, "four", 0)
	o.epoch = 0
	assert.Equal(t, o.next().Content, "", "not the leader")
	o.epoch = 9
	call := o.next()
	assert.Equal(t, call.Content, "four")
	assert.Equal(t, call.Epoch, units.Epoch(9))
	assert.Assert(t, !o.calls.Record(o.now, lost, duty.Acknowledged), "a late answer to the earlier epoch")
	assert.Assert(t, o.calls.Record(o.now, call, duty.Acknowledged))
}

// Guards against a repetition of a refused call under the same epoch, for its subject alone.
func TestRefusalGivesUpTheDuty(t *testing.T) {
	o := newOffice()
	o.calls.Require(subject, "three", 0)
	o.calls.Record(o.now, o.next(), duty.Refused)
	assert.Equal(t, o.next().Content, "")
	o.calls.Require("scaling", "two", 0)
	other := o.next()
	assert.Equal(t, other.Content, "two")
	o.calls.Record(o.now, other, duty.Acknowledged)
	o.epoch = 6
	assert.Equal(t, o.next().Content, "three")
}

// Guards against calls that answer "too many" with more calls, and against one that stays the content although nothing
// of it is on its way.
func TestPostponedCallWaitsAndMayChange(t *testing.T) {
	o := newOffice()
	o.calls = duty.NewCalls[string](duty.NewHolder("one", o.term), duty.NewPacer(2), same)
	var at []clock.Time
	for i := range 4 {
		o.calls.Require(subject, string(rune('a'+i)), 0)
		call := o.next()
		assert.Equal(t, call.Content, string(rune('a'+i)))
		at = append(at, o.now)
		o.calls.Record(o.now, call, duty.Postponed)
	}
	for i := 1; i < len(at); i++ {
		assert.Assert(t, at[i].Sub(at[i-1]) >= clock.Second, "%v", at)
	}
	o.calls.Record(o.now, o.next(), duty.Unanswered)
	repeated := o.next()
	o.calls.Record(o.now, repeated, duty.Postponed)
	o.calls.Require(subject, "z", 0)
	assert.Equal(t, o.next().Content, repeated.Content, "the first one may still be carried out")
}

// Guards against more calls than all gateways together may make, also right after a change of the leader.
func TestCallsStayWithinTheRate(t *testing.T) {
	p := duty.NewPacer(4)
	var times []clock.Time
	for now := clock.Time(1000); now < 11_000; now = now.Add(10) {
		if p.Take(now, units.Epoch(1+now/3000)) {
			times = append(times, now)
		}
	}
	assert.Assert(t, len(times) > 25, "%d calls in 10 s", len(times))
	for i := 1; i < len(times); i++ {
		assert.Assert(t, times[i].Sub(times[i-1]) >= 250, "%v", times)
	}
	assert.Assert(t, times[0] >= 1250, "the leader before may have called a moment ago")
}

// rival is a gateway that takes part in an election and holds duties.
type rival struct {
	elector *elect.Elector
	holder  *duty.Holder
}

// Guards against a duty that goes from one holder to another and back within the lease time, and against two holders
// at once: a leader that freezes, one that believes that it still leads, and one that resigns.
func TestDutyDoesNotReturnWithinTheLease(t *testing.T) {
	const lease = 1500 * clock.Millisecond
	var rivals []*rival
	for _, vm := range []units.VMID{"a", "b"} {
		e := elect.New(vm, lease, true)
		e.RecordHolder(1, 1, "")
		rivals = append(rivals, &rival{e, duty.NewHolder(vm, e)})
	}
	type call struct {
		at     clock.Time
		holder units.VMID
		epoch  units.Epoch
	}
	var calls []call
	owner, leaseEnd, revision := -1, clock.Time(0), units.Revision(10)
	for now := clock.Time(10); now < 40_000; now += 10 {
		if owner >= 0 && now >= leaseEnd {
			owner, revision = -1, revision+1
		}
		// The leader renews its lease, resigns or freezes in turn.
		phase := now / 2000 % 3
		for i, r := range rivals {
			if owner < 0 {
				r.elector.RecordHolder(now, revision, "")
			} else if owner != i {
				r.elector.RecordHolder(now, revision, units.VMID(rune('a'+owner)))
			}
			switch {
			case owner < 0 && r.elector.ShouldAcquire(now):
				revision++
				owner, leaseEnd = i, now.Add(elect.LeaseTTL)
				r.elector.Acquired(now, now, units.Epoch(revision), elect.LeaseTTL)
			case owner == i && phase == 0 && r.elector.Holds(now):
				leaseEnd = now.Add(elect.LeaseTTL)
				r.elector.Renewed(now, elect.LeaseTTL)
			case owner == i && phase == 1 && r.elector.Holds(now):
				r.elector.Lost(now)
				owner, revision = -1, revision+1
			}
			if p, ok := r.holder.Prove(now, subject); ok {
				calls = append(calls, call{now, p.Holder, p.Epoch})
			}
		}
	}
	changes := 0
	for i := 1; i < len(calls); i++ {
		assert.Assert(t, calls[i].epoch >= calls[i-1].epoch)
		if calls[i].holder == calls[i-1].holder {
			continue
		}
		changes++
		for j := i - 1; j >= 0 && calls[i].at.Sub(calls[j].at) < lease; j-- {
			if calls[j].holder == calls[i-1].holder {
				continue
			}
			assert.Assert(t, calls[j].holder != calls[i].holder, "%v has the duty at %d and again at %d", calls[i].holder, calls[j].at, calls[i].at)
			break
		}
	}
	assert.Assert(t, changes >= 5, "%d changes of the holder", changes)
}
