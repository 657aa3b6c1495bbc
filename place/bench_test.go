package place_test

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/place"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// large returns a fleet with a share of a model's memory on each replica, and its
// planner after it has come to rest.
func large(replicas, targets int) (*fleet, *place.Planner, map[units.ModelID]place.Demand) {
	f := &fleet{loadTime: 4 * clock.Second}
	for i := range replicas {
		f.replicas = append(f.replicas, place.Replica{
			ID: units.UpstreamID(fmt.Sprint("u", i)), Zone: units.Zone(fmt.Sprint("z", i%5)),
			Free: 120, Capacity: 120, Throughput: 2000, Usable: true,
		})
	}
	models := targets / 4
	demand := map[units.ModelID]place.Demand{}
	for i := range targets {
		t := place.Target{ID: units.ModelID(fmt.Sprintf("m%04d", i)), Bytes: 16}
		if i >= models {
			t.Base, t.Bytes = f.targets[i%models].ID, 1
		}
		f.targets = append(f.targets, t)
		work := 0.5 * 2000 * float64(replicas) / float64(targets)
		demand[t.ID] = place.Demand{ShortTerm: work, LongTerm: work}
	}
	p := place.NewPlanner(place.Budget{Rate: 16, Concurrent: 60})
	f.run(p, 0, 300_000, demand)
	return f, p, demand
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPlan shows the processor time and memory of a round, in which a tenth of
// the targets has another demand than in the one before.
func BenchmarkPlan(b *testing.B) {
	for _, replicas := range []int{9, 100, 650} {
		for _, targets := range []int{60, 300, 1000} {
			b.Run(fmt.Sprintf("replicas=%d/targets=%d", replicas, targets), func(b *testing.B) {
				f, p, demand := large(replicas, targets)
				random := rand.New(rand.NewPCG(1, 1))
				now := clock.Time(300_000)
				b.ReportAllocs()
				b.ResetTimer()
				began, bytes := processor(), 0
				for range b.N {
					b.StopTimer()
					for range targets / 10 {
						t := f.targets[random.IntN(targets)]
						d := demand[t.ID]
						d.ShortTerm = d.LongTerm * random.ExpFloat64() * 2
						demand[t.ID] = d
					}
					f.finish(now)
					b.StartTimer()
					list := p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand})
					b.StopTimer()
					for _, c := range list {
						bytes += wire.Size(&wire.Frame{Body: &wire.Frame_Order{Order: &wire.Order{
							Id: "123456-1234", Fence: 123456, Op: string(c.Op), Target: string(c.Target.ID),
							Base: string(c.Target.Base), Bytes: int64(c.Target.Bytes) << 30, Version: "12",
						}}})
						f.apply(now, c)
					}
					now = now.Add(clock.Second)
					b.StartTimer()
				}
				b.StopTimer()
				b.ReportMetric(float64((processor()-began).Microseconds())/float64(b.N)/1000, "cpu-ms/round")
				b.ReportMetric(float64(bytes)/float64(b.N), "order-bytes/round")
			})
		}
	}
}
