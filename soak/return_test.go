package soak

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// maxTakeoverDelay bounds how much later than it took its key a leader logs that: it may have been frozen, or its call held back.
// The epochs of orders are checked without it.
const maxTakeoverDelay = 4 * time.Second

// returnStore lets the store come back from an older copy after an outage, sometimes with other writes at once. The operator
// and the upstreams write again after a moment. There is one return at a time.
func (x *faults) returnStore() {
	age, away, moment, writes := x.span(100, 2500), x.span(10, 1000), x.span(1, 600), x.random.IntN(2)*x.random.IntN(200)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.returning {
		return
	}
	x.returning = true
	f := x.fleet
	f.lasting.Go(func() {
		copied := f.store.Copy()
		time.Sleep(age)
		f.storeUp.pause()
		x.setOutages(1)
		time.Sleep(away)
		f.store.Return(copied, func(put func(key string, value any)) {
			for i := range writes {
				put("other", i)
			}
		})
		f.returns.Add(1)
		x.setOutages(-1)
		time.Sleep(moment)
		f.operator.writeAgain()
		f.describeUpstreams()
		f.storeUp.resume()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.returning = false
	})
}

// writeAgain writes the current version of the configuration again.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fleet.store.Put(fakes.ConfigKey, o.config())
}

// describeUpstreams writes the keys of the upstreams that run again, and removes those of others.
func (f *fleet) describeUpstreams() {
	running := map[string]bool{}
	for _, u := range slices.Concat(f.engines, f.apps) {
		u.mu.Lock()
		if u.replica != nil {
			running[fakes.UpstreamKeyPrefix+u.id()] = true
			u.describe()
		}
		u.mu.Unlock()
	}
	for _, key := range f.store.Keys(fakes.UpstreamKeyPrefix) {
		id := strings.TrimPrefix(key, fakes.UpstreamKeyPrefix)
		if !running[key] && !f.runs(id) {
			f.store.Delete(key)
		}
	}
}

// runs reports whether the upstream with the id runs.
func (f *fleet) runs(id string) bool {
	return slices.ContainsFunc(slices.Concat(f.engines, f.apps), func(u *upstream) bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.replica != nil && u.id() == id
	})
}

// dutyTaken is the log line of a gateway that has become the leader.
var dutyTaken = regexp.MustCompile(`I\d{4} (\d\d):(\d\d):(\d\d\.\d+) .*"entry: duty taken" epoch=(\d+)`)

// term is the term of a leader.
type term struct {
	gateway string
	at      time.Duration
	epoch   int64
}

// terms returns the terms that gateways have logged.
func (f *fleet) terms() (out []term) {
	for _, g := range f.gateways {
		for _, m := range dutyTaken.FindAllSubmatch(g.logs.Bytes(), -1) {
			at, err := time.ParseDuration(fmt.Sprintf("%sh%sm%ss", m[1], m[2], m[3]))
			assert.NilError(f.t, err)
			epoch, err := strconv.ParseInt(string(m[4]), 10, 64)
			assert.NilError(f.t, err)
			out = append(out, term{g.name, at, epoch})
		}
	}
	slices.SortFunc(out, func(x, y term) int { return cmp.Compare(x.at, y.at) })
	return out
}

// checkTerms reports leaders under the same epoch, and under a lower one than that of a leader before, and orders that an
// upstream accepted under a lower epoch than one before.
func (f *fleet) checkTerms() {
	for _, u := range f.engines {
		u.mu.Lock()
		all := slices.Clone(u.old)
		if u.replica != nil {
			all = append(all, u.replica)
		}
		u.mu.Unlock()
		for _, r := range all {
			assert.Check(f.t, slices.IsSorted(r.Epochs()), "%s accepted orders under epochs %v", r.Instance, r.Epochs())
			f.orders += len(r.Epochs())
		}
	}
	all := f.terms()
	assert.Assert(f.t, len(all) > 0, "no leader")
	for i, later := range all {
		for _, earlier := range all[:i] {
			lower := later.epoch < earlier.epoch && later.at-earlier.at > maxTakeoverDelay
			if later.epoch == earlier.epoch || lower {
				f.t.Errorf("%s leads under epoch %d, after %s under %d", later.gateway, later.epoch, earlier.gateway, earlier.epoch)
			}
		}
	}
}

// Guards against what a store that comes back from an older copy brings back: leaders under epochs that are not higher,
// configurations and keys of before, requests to upstreams that leave; in returns that follow each other, without
// other faults that would hide them.
func TestReturnsOfStore(t *testing.T) {
	for i := range *runCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, seed, true, true, func(x *faults) []func() {
				return []func(){x.returnStore, x.returnStore, x.change, x.change, x.leave, x.kill}
			})
		})
	}
}
