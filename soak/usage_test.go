package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	// usageWindow is the length of the windows of usage, usageDelay the time after one by which its report is due.
	usageWindow = time.Second
	usageDelay  = 2 * time.Second
	// leaseTime is the time within which a duty must not return to a holder.
	leaseTime = 1500 * time.Millisecond
)

// usageSettings returns the settings of gateways that report usage.
func usageSettings(c *fakes.Cloud) string {
	return fmt.Sprintf(`[cloud]
address = %q
duties = ["metering"]
dutyPerS = 10
`, c.Addr())
}

// usageBounds are the settings of usage in the section of bounds.
var usageBounds = fmt.Sprintf(`usageWindowS = %v
usageLateS = %v
usageOff = 0.05
leaseTtlMs = %d
requireFencing = true
`, usageWindow.Seconds(), usageDelay.Seconds(), leaseTime.Milliseconds())

// addSettings appends sections to the settings file.
func (g *gateway) addSettings(t *testing.T, sections string) {
	t.Helper()
	file, err := os.OpenFile(g.settingsFile, os.O_APPEND|os.O_WRONLY, 0)
	assert.NilError(t, err)
	_, err = file.WriteString(sections)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
}

// oddAnswers returns the answers of a control API in trouble: none, too many calls, late ones.
func oddAnswers(seed uint64) func(fakes.CloudCall) int {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2_000_000))
	return func(fakes.CloudCall) int {
		mu.Lock()
		n, delay := random.IntN(10), time.Duration(random.IntN(3000))*time.Millisecond
		mu.Unlock()
		switch n {
		case 0, 1:
			return 0
		case 2, 3:
			return http.StatusTooManyRequests
		case 4:
			time.Sleep(delay)
		}
		return http.StatusOK
	}
}

// checkUsage waits for the report of a window after the last fault, and checks all reports: at most one for a window,
// more requests than have run in none of them, and no holder that has the duty, loses it and has it again within the
// lease time.
func (f *fleet) checkUsage() {
	f.t.Helper()
	next := time.Now().UnixMilli()/usageWindow.Milliseconds() + 1
	reported := func() bool {
		for _, r := range f.cloud.UsageReports() {
			if r.Window >= next {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(recoveryTime); !reported(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("no usage is reported %v after the last fault", recoveryTime)
		}
	}
	windows, sum := map[int64]map[string]int64{}, int64(0)
	for _, r := range f.cloud.UsageReports() {
		if before, ok := windows[r.Window]; ok {
			if fmt.Sprint(before) != fmt.Sprint(r.Counts) {
				f.record.breach("two reports of window %d: %v and %v", r.Window, before, r.Counts)
			}
			continue
		}
		windows[r.Window] = r.Counts
		for _, n := range r.Counts {
			sum += n
		}
	}
	f.record.mu.Lock()
	runs := int64(len(f.record.runs))
	f.record.mu.Unlock()
	if sum > runs {
		f.record.breach("%d requests are reported, %d have run", sum, runs)
	}
	f.checkHolders()
	f.t.Logf("%d windows reported, %d of %d requests", len(windows), sum, runs)
}

// checkHolders checks the holders of the duty in the order of the calls that were carried out.
func (f *fleet) checkHolders() {
	type term struct {
		holder string
		last   time.Time
	}
	var terms []term
	epochs := map[int64]string{}
	calls := f.cloud.Calls()
	slices.SortFunc(calls, func(a, b fakes.CloudCall) int { return a.At.Compare(b.At) })
	for _, c := range calls {
		if holder, ok := epochs[c.Epoch]; ok && holder != c.Holder {
			f.record.breach("%s and %s hold the duty under epoch %d", holder, c.Holder, c.Epoch)
		}
		epochs[c.Epoch] = c.Holder
		if c.Status != 0 && c.Status != http.StatusOK {
			continue
		}
		n := len(terms)
		if n > 0 && terms[n-1].holder == c.Holder {
			terms[n-1].last = c.At
			continue
		}
		if n > 1 && terms[n-2].holder == c.Holder && c.At.Sub(terms[n-2].last) < leaseTime {
			f.record.breach("%s has the duty again %v after it lost it", c.Holder, c.At.Sub(terms[n-2].last))
		}
		terms = append(terms, term{c.Holder, c.At})
	}
}
