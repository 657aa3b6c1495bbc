package rate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
)

// BenchmarkSchemes compares the implemented scheme, fixed shares and one query for each
// request on the same arrivals.
func BenchmarkSchemes(b *testing.B) {
	for _, z := range []size{today, future} {
		for _, load := range []float64{z.load, 1.3} {
			z.load = load
			w := newWorkload(1, z, 20*simSecond)
			for name, x := range map[string]func() scheme{
				"slots":  func() scheme { return slotScheme{} },
				"shares": func() scheme { return &shareScheme{} },
				"query":  func() scheme { return &queryScheme{} },
			} {
				for _, ownerDies := range []bool{false, true} {
					b.Run(fmt.Sprintf("gates=%d/load=%.1f/%s/death=%v", z.gateways, load, name, ownerDies), func(b *testing.B) {
						var o outcome
						for range b.N {
							o = w.run(x(), ownerDies)
						}
						b.ReportMetric(float64(max(o.excess, 0))/1e6, "excess-tokens")
						b.ReportMetric(1000*o.refusedShare(), "refused/1000")
						b.ReportMetric(o.bytesMean, "B/s-mean")
						b.ReportMetric(o.bytesMax, "B/s-max")
						b.ReportMetric(float64(o.storeCalls), "store-calls")
						if name != "slots" || load > 1 {
							return
						}
						if o.excess > 0 || !ownerDies && o.refused > 0 || o.refusedShare() > maxRefusedShare || o.bytesMean > maxNodeBytes {
							b.Fatalf("misses the targets: excess %d, refused %d of %d, %.0f B/s", o.excess, o.refused, o.requests, o.bytesMean)
						}
					})
				}
			}
		}
	}
}

// BenchmarkSlope measures the cost of a node by number of gateways, customers and requests a
// second. The CPU time includes that of the simulation.
func BenchmarkSlope(b *testing.B) {
	for _, z := range []size{
		{gateways: 20, customers: 50, perSecond: 180},
		{gateways: 80, customers: 50, perSecond: 720},
		{gateways: 320, customers: 50, perSecond: 2900},
		{gateways: 80, customers: 10, perSecond: 720},
		{gateways: 80, customers: 250, perSecond: 720},
		{gateways: 80, customers: 50, perSecond: 180},
		{gateways: 80, customers: 50, perSecond: 2900},
	} {
		z.load = 0.8
		b.Run(fmt.Sprintf("gates=%d/customers=%d/requests=%.0f", z.gateways, z.customers, z.perSecond), func(b *testing.B) {
			w := newWorkload(1, z, 10*simSecond)
			var o outcome
			var elapsed time.Duration
			var before, after runtime.MemStats
			for range b.N {
				runtime.GC()
				runtime.ReadMemStats(&before)
				begin := time.Now()
				o = w.run(slotScheme{}, false)
				elapsed += time.Since(begin)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(o.sim)
			nodeSeconds := float64(z.gateways) * float64(o.sim.now) / float64(simSecond)
			b.ReportMetric(o.bytesMean, "B/s-mean")
			b.ReportMetric(o.bytesMax, "B/s-max")
			b.ReportMetric(elapsed.Seconds()*1e6/float64(b.N)/nodeSeconds, "cpu-us/s-node")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024/float64(z.gateways), "KB-node")
		})
	}
}

// BenchmarkRequest measures one request through client, owner and fence in one process, for
// two intervals between requests.
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

// exchange delivers messages between client and owner until there are none.
func exchange(now clock.Time, c *Client, o *Owner) {
	for messages := c.TakeMessages(); len(messages) > 0; messages = c.TakeMessages() {
		for _, s := range messages {
			switch m := s.Message.(type) {
			case Acquire:
				c.HandleGrant(now, o.Acquire(now, "g", m))
			case Settle:
				o.Settle(now, "g", m)
			}
		}
	}
}
