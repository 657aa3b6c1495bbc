package view_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

func upstream(id units.UpstreamID) *fleet.Upstream {
	return &fleet.Upstream{ID: id, Service: "app", Address: "10.0.0.1:80", Zone: "zone-a", Slots: 4}
}

func has(s *view.State, id units.UpstreamID) bool {
	_, ok := s.Snapshot().Upstreams[id]
	return ok
}

// Guards against requests to a removed upstream: a watch without events was taken for a store
// outage, and the removed entry stayed for two seconds.
func TestRemovedAtOnceWhileQuiet(t *testing.T) {
	s := view.New()
	s.RecordStoreAnswer(1000)
	s.SetUpstream(1000, upstream("one"))
	s.RecordStoreAnswer(2900)
	s.RecordStoreAnswer(4800)
	s.Remove(4800, "one")
	assert.Assert(t, !has(s, "one"))
}

// Guards against a first read after a store outage that removes all upstreams: entries of live
// upstreams expire meanwhile and are written again within two seconds.
func TestLapsedEntriesStayAfterOutage(t *testing.T) {
	s := view.New()
	s.RecordStoreAnswer(1000)
	s.SetUpstream(1000, upstream("one"))
	s.SetUpstream(1000, upstream("two"))
	s.RecordStoreFailure(1500)
	s.RecordStoreAnswer(6000)
	s.RemoveUnlisted(6000, map[units.UpstreamID]bool{}, nil)
	assert.Assert(t, has(s, "one") && has(s, "two"))
	s.SetUpstream(7000, upstream("two"))
	assert.Assert(t, s.Expire(8300))
	assert.Assert(t, !has(s, "one"), "an entry that did not come back is gone")
	assert.Assert(t, has(s, "two"))
}

// Guards against requests to removed upstreams by a gateway that was cut off from the store alone: the store had
// answered others all the while, and no entry of a live upstream had expired.
func TestRemovedAtOnceAfterOwnCut(t *testing.T) {
	s := view.New()
	s.RecordStoreAnswer(1000)
	s.SetUpstream(1000, upstream("one"))
	s.RecordStoreFailure(1500)
	for at := clock.Time(1000); at < 6500; at += 300 {
		s.RecordOthersAnswer(at)
	}
	s.RecordStoreAnswer(7000)
	s.Remove(7100, "one")
	assert.Assert(t, !has(s, "one"))
}

// Guards against entries that are kept for too long, or not at all, by a gateway that reaches the store again later than
// others do: live upstreams write theirs within two seconds of the store's return.
func TestLapsedEntriesStayFromTheFirstAnswerOn(t *testing.T) {
	s := view.New()
	s.RecordStoreAnswer(1000)
	s.SetUpstream(1000, upstream("one"))
	s.RecordStoreFailure(1500)
	// This answer is from before the outage.
	s.RecordOthersAnswer(1400)
	s.RecordOthersAnswer(6000)
	s.RecordOthersAnswer(6600)
	s.RecordStoreAnswer(7000)
	s.Remove(7100, "one")
	assert.Assert(t, has(s, "one"))
	assert.Assert(t, !s.Expire(8100))
	assert.Assert(t, s.Expire(8300))
	assert.Assert(t, !has(s, "one"))
}

// Guards against a draining upstream that becomes available again when its entry expires during an
// outage.
func TestDrainingEntryDoesNotReturn(t *testing.T) {
	s := view.New()
	u := upstream("one")
	u.Draining = true
	s.SetUpstream(1000, u)
	s.RecordStoreFailure(1500)
	s.RecordStoreAnswer(6000)
	s.Remove(6000, "one")
	assert.Assert(t, !has(s, "one"))
}

// Guards against a configuration that is replaced by an older one when reads arrive out of order.
func TestConfigNeverGoesBack(t *testing.T) {
	s := view.New()
	assert.Assert(t, s.SetConfig(fleet.NewConfig(7)))
	assert.Assert(t, !s.SetConfig(fleet.NewConfig(4)))
	assert.Equal(t, s.Snapshot().Config.Version, int64(7))
}

// Guards against full load on cold upstreams of a zone that is included again, before their next
// description.
func TestZoneReturnsCold(t *testing.T) {
	s := view.New()
	s.SetUpstream(1000, upstream("one"))
	s.SetZoneExcluded(2000, "zone-a", true)
	assert.Assert(t, s.Snapshot().ExcludedZones["zone-a"])
	s.SetZoneExcluded(9000, "zone-a", false)
	now := clock.Time(9500)
	assert.Assert(t, s.Snapshot().Upstreams["one"].IsCold(now))
	s.SetUpstream(now, upstream("one"))
	assert.Assert(t, !s.Snapshot().Upstreams["one"].IsCold(now))
}

// Guards against requests and orders to an upstream whose address another one has taken over, while its
// key has not expired yet, and against a late heartbeat that brings it back.
func TestAddressBelongsToLatestProcess(t *testing.T) {
	s := view.New()
	c := fleet.NewConfig(1)
	c.AddService(&fleet.Service{Name: "app"})
	s.SetConfig(c)
	before, after := upstream("before"), upstream("after")
	before.ProcessStart, after.ProcessStart = 100, 200
	s.SetUpstream(1000, before)
	s.SetUpstream(2000, after)
	assert.Assert(t, !has(s, "before") && has(s, "after"))
	s.SetUpstream(3000, before)
	assert.Assert(t, !has(s, "before") && has(s, "after"))
	forged := upstream("forged")
	forged.Service, forged.ProcessStart = "unknown", 300
	s.SetUpstream(4000, forged)
	assert.Assert(t, has(s, "after"), "an entry of an unknown service claims no address")
}

// Guards against a state that counts as current before it has the changes that the store had.
func TestConfirmedOnceRevisionIsReached(t *testing.T) {
	s := view.New()
	s.RecordStoreRevision(1000, 40)
	assert.Equal(t, s.ConfirmedAt(), clock.Time(0))
	s.Advance(39)
	s.RecordStoreRevision(2000, 80)
	assert.Equal(t, s.ConfirmedAt(), clock.Time(0))
	s.Advance(41)
	assert.Equal(t, s.ConfirmedAt(), clock.Time(1000))
	s.RecordStoreRevision(3000, 41)
	assert.Equal(t, s.ConfirmedAt(), clock.Time(3000))
	s.RecordStoreRevision(2500, 41)
	assert.Equal(t, s.ConfirmedAt(), clock.Time(3000), "an older confirmation that arrives late changes nothing")
}

// Guards against models that count as loaded, or as missing, by a description from before the store was lost: the known one
// of the same process stays until it was written again. That of a later process counts at once.
func TestDescriptionOfReturnedStoreMayBeOlder(t *testing.T) {
	s := view.New()
	describe := func(start int64, models ...units.ModelID) *fleet.Upstream {
		u := &fleet.Upstream{ID: "one", Address: "10.0.0.1:80", ProcessStart: start}
		for _, m := range models {
			u.Models = append(u.Models, fleet.Resident{Model: m})
		}
		return u
	}
	holds := func(m units.ModelID) bool { return s.Snapshot().Upstreams["one"].Holds(m, "") }
	s.SetUpstream(1000, describe(5, "small", "large"))
	s.BeginEra(2000)
	s.SetReadUpstream(2010, describe(5, "small"))
	assert.Assert(t, holds("large"))
	assert.Equal(t, s.Snapshot().Upstreams["one"].ReceivedAt, clock.Time(1000), "it is no later description")
	s.SetReadUpstream(2020, describe(4, "other"))
	assert.Assert(t, holds("large"))
	s.SetReadUpstream(2030, describe(6, "other"))
	assert.Assert(t, holds("other"))
	s.SetReadUpstream(s.SettledAt(), describe(6, "small"))
	assert.Assert(t, holds("small"))
}

// Guards against live upstreams that are dropped at once when the store returns to a gateway whose calls had failed: another
// one had reached it meanwhile, so that the outage before counted as over for long.
func TestForgottenUpstreamStaysAfterOutage(t *testing.T) {
	s := view.New()
	s.SetUpstream(900, upstream("one"))
	s.RecordStoreFailure(1000)
	s.RecordOthersAnswer(1300)
	s.BeginEra(4000)
	s.RecordStoreAnswer(4050)
	s.RemoveUnlisted(4050, nil, nil)
	assert.Assert(t, has(s, "one"))
	s.Expire(s.SettledAt() - 1)
	assert.Assert(t, has(s, "one"))
	s.Expire(s.SettledAt())
	assert.Assert(t, !has(s, "one"))
}
