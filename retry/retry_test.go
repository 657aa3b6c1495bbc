package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/units"
)

// Guards against retry storms: if a third of all attempts fail, the number of attempts is at most
// 1.1 times the number of offered requests.
func TestRetryAmplificationIsBounded(t *testing.T) {
	const requests, customers = 20_000, 20
	random := rand.New(rand.NewPCG(1, 2))
	p := retry.NewPolicy(1)
	attempts, answered := 0, 0
	for range requests {
		customer := units.CustomerID(fmt.Sprint("c", random.IntN(customers)))
		for try := 1; ; try++ {
			attempts++
			if random.IntN(3) > 0 {
				p.RecordSuccess(customer)
				answered++
				break
			}
			d := p.Decide(retry.Failure{
				Customer: customer, Code: units.UpstreamFailed, MayHaveRun: true, Idempotent: true, Attempts: try, TimeLeft: clock.Minute,
			})
			if !d.Retry {
				break
			}
		}
	}
	ratio := float64(attempts) / requests
	t.Logf("attempts %.3f of offered, answered %.3f", ratio, float64(answered)/requests)
	assert.Assert(t, ratio <= 1.1)
	assert.Assert(t, answered > requests*2/3)
}

// Guards against retrying a request that may have run and isn't idempotent, against too many
// retries, and against retries that can't start before the deadline.
func TestRetryOnlyWhenAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := retry.NewPolicy(rapid.Uint64().Draw(t, "seed"))
		f := retry.Failure{
			Customer: "c", MayHaveRun: rapid.Bool().Draw(t, "ran"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Refusals: rapid.IntRange(0, 5).Draw(t, "refusals"),
			TimeLeft: clock.Span(rapid.Int64Range(0, 2000).Draw(t, "left")),
		}
		d := p.Decide(f)
		if !d.Retry {
			return
		}
		assert.Assert(t, !f.MayHaveRun || f.Idempotent)
		assert.Assert(t, !f.MayHaveRun || f.Attempts < 2)
		assert.Assert(t, f.MayHaveRun || f.Refusals <= retry.MaxRefusalRetries)
		assert.Assert(t, d.Delay < f.TimeLeft)
	})
}

// Guards against a request that crashes more than two upstreams, and against rejecting requests
// that ran beside it.
func TestCrashingRequestIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		neighbors := rapid.IntRange(0, 8).Draw(t, "neighbours")
		const crashing = retry.Fingerprint(1000)
		nodes := []*retry.Suspects{retry.NewSuspects(), retry.NewSuspects()}
		crash := func(now clock.Time, c retry.CrashID, running ...retry.Fingerprint) {
			for i, f := range running {
				nodes[i%len(nodes)].RecordCrash(now, f, c)
			}
			for _, from := range nodes {
				for _, to := range nodes {
					for _, s := range from.List(now) {
						to.Merge(now, s)
					}
				}
			}
		}
		running := []retry.Fingerprint{crashing}
		for i := range neighbors {
			running = append(running, retry.Fingerprint(i))
		}
		crash(1, 1, running...)
		for _, f := range running[1:] {
			assert.Equal(t, nodes[0].Action(2, f), retry.Isolate)
			nodes[0].RecordSuccess(2, f)
			assert.Equal(t, nodes[0].Action(2, f), retry.Allow)
		}
		crash(3, 2, crashing)
		for _, n := range nodes {
			assert.Equal(t, n.Action(4, crashing), retry.Reject)
			n.RecordSuccess(4, 2000)
			assert.Equal(t, n.Action(4, crashing), retry.Reject)
			assert.Equal(t, n.Action(3+clock.Time(retry.SuspectTTL), crashing), retry.Allow)
		}
	})
}

// Guards against counting a crash twice that two nodes report.
func TestSameCrashCountsOnce(t *testing.T) {
	s := retry.NewSuspects()
	s.RecordCrash(1, 7, 42)
	s.Merge(1, retry.Suspect{Fingerprint: 7, Crashes: []retry.CrashID{42}, Expires: 100})
	assert.Equal(t, s.Action(2, 7), retry.Isolate)
}

// Guards against running a suspect on several upstreams: the choice must not depend on the order
// in which a gateway lists the upstreams.
func TestQuarantineUpstream(t *testing.T) {
	usable := []units.UpstreamID{"u1", "u2", "u3", "u4"}
	first, ok := retry.QuarantineUpstream(99, usable)
	assert.Assert(t, ok)
	again, _ := retry.QuarantineUpstream(99, []units.UpstreamID{"u4", "u2", "u1", "u3"})
	assert.Equal(t, first, again)
	_, ok = retry.QuarantineUpstream(99, nil)
	assert.Assert(t, !ok)
}

func ExampleFingerprintOf() {
	a := retry.FingerprintOf("court", "captions", []byte(`{"prompt":"a"}`))
	b := retry.FingerprintOf("court", "captions", []byte(`{"prompt":"a"}`))
	c := retry.FingerprintOf("exams", "captions", []byte(`{"prompt":"a"}`))
	fmt.Println(a == b, a == c)
	// Output: true false
}
