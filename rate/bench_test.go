package rate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// BenchmarkSchemes runs the chosen scheme, fixed shares and one query for each
// request on the same arrivals.
func BenchmarkSchemes(b *testing.B) {
	for _, z := range []size{today, future} {
		for _, load := range []float64{z.load, 1.3} {
			z.load = load
			w := newWorkload(1, z, 20*microSecond)
			for name, x := range map[string]func() scheme{
				"slots":  func() scheme { return slots{} },
				"shares": func() scheme { return &shares{} },
				"query":  func() scheme { return &query{} },
			} {
				for _, die := range []bool{false, true} {
					b.Run(fmt.Sprintf("gates=%d/load=%.1f/%s/death=%v", z.gates, load, name, die), func(b *testing.B) {
						var o outcome
						for range b.N {
							o = w.run(x(), die)
						}
						b.ReportMetric(float64(max(o.excess, 0))/1e6, "excess-tokens")
						b.ReportMetric(1000*o.share(), "refused/1000")
						b.ReportMetric(o.bytesMean, "B/s-mean")
						b.ReportMetric(o.bytesMax, "B/s-max")
						b.ReportMetric(float64(o.calls), "store-calls")
						if name != "slots" || load > 1 {
							return
						}
						if o.excess > 0 || !die && o.refused > 0 || o.share() > deathRefusals || o.bytesMean > nodeBytes {
							b.Fatalf("misses the targets: excess %d, refused %d of %d, %.0f B/s", o.excess, o.refused, o.requests, o.bytesMean)
						}
					})
				}
			}
		}
	}
}

// BenchmarkSlope gives the cost of a node by gateways, customers and requests a
// second. The CPU time includes that of the simulation.
func BenchmarkSlope(b *testing.B) {
	for _, z := range []size{
		{gates: 20, customers: 50, perSecond: 180},
		{gates: 80, customers: 50, perSecond: 720},
		{gates: 320, customers: 50, perSecond: 2900},
		{gates: 80, customers: 10, perSecond: 720},
		{gates: 80, customers: 250, perSecond: 720},
		{gates: 80, customers: 50, perSecond: 180},
		{gates: 80, customers: 50, perSecond: 2900},
	} {
		z.load = 0.8
		b.Run(fmt.Sprintf("gates=%d/customers=%d/requests=%.0f", z.gates, z.customers, z.perSecond), func(b *testing.B) {
			w := newWorkload(1, z, 10*microSecond)
			var o outcome
			var spent time.Duration
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				begun := time.Now()
				o = w.run(slots{}, false)
				spent += time.Since(begun)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(o.sim)
			nodeSeconds := float64(z.gates) * float64(o.sim.now) / float64(microSecond)
			b.ReportMetric(o.bytesMean, "B/s-mean")
			b.ReportMetric(o.bytesMax, "B/s-max")
			b.ReportMetric(spent.Seconds()*1e6/float64(b.N)/nodeSeconds, "cpu-us/s-node")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024/float64(z.gates), "KB-node")
		})
	}
}

// BenchmarkRequest is one request through client, owner and fence in one process,
// at two distances between requests.
func BenchmarkRequest(b *testing.B) {
	for _, gap := range []clock.Span{1, 100} {
		b.Run(fmt.Sprintf("gap=%dms", gap), func(b *testing.B) { benchmarkRequest(b, gap) })
	}
}

func benchmarkRequest(b *testing.B, gap clock.Span) {
	table := (&SlotTable{}).Assign([]Gateway{{ID: "g", Zone: "a"}})
	limit := Limit{Rate: 4_000_000, Burst: 8_000_000} // 64 shards
	o, c, f := NewOwner("g"), NewClient(1), NewFence()
	o.UpdateTable(1, table)
	o.SetLimit(1, "x", limit)
	c.UpdateTable(1, table)
	c.SetLimit(1, "x", limit)
	f.UpdateTable(table, true)
	now := clock.Time(10_000)
	o.Tick(now)
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(gap)
		id := RequestID(i)
		c.Request(now, Request{ID: id, Customer: "x", Cost: 1000, Deadline: now.Add(clock.Second)})
		c.Tick(now)
		exchange(now, c, o)
		for _, v := range c.TakeDecisions() {
			if f.Admit(now, units.AttemptID(fmt.Sprint(v.ID)), v.Reservation.Permit(NewClockSample(now, now)), 1000) != "" {
				b.Fatal("permit refused")
			}
			c.Finish(now, v.ID, 600)
		}
	}
}

// exchange delivers messages until there are none.
func exchange(now clock.Time, c *Client, o *Owner) {
	for sends := c.TakeMessages(); len(sends) > 0; sends = c.TakeMessages() {
		for _, s := range sends {
			switch m := s.Message.(type) {
			case Acquire:
				c.HandleGrant(now, o.Acquire(now, "g", m))
			case Settle:
				o.Settle(now, "g", m)
			}
		}
	}
}
