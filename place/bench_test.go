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

// largeFleet returns a fleet with the given number of replicas and targets, a planner that
// has reached a stable placement for it, and the demand, which is half of the throughput.
func largeFleet(replicas, targets int) (*fleet, *place.Planner, map[units.ModelID]place.Demand) {
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
		demandPerTarget := 0.5 * 2000 * float64(replicas) / float64(targets)
		demand[t.ID] = place.Demand{ShortTerm: demandPerTarget, LongTerm: demandPerTarget}
	}
	p := place.NewPlanner(place.Budget{Rate: 16, Concurrent: 60})
	f.run(p, 0, 300_000, demand)
	return f, p, demand
}

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPlan measures the CPU time, allocations and encoded orders of a planning round.
// The demand for up to a tenth of the targets changes before each round.
func BenchmarkPlan(b *testing.B) {
	for _, replicas := range []int{9, 100, 650} {
		for _, targets := range []int{60, 300, 1000} {
			b.Run(fmt.Sprintf("replicas=%d/targets=%d", replicas, targets), func(b *testing.B) {
				f, p, demand := largeFleet(replicas, targets)
				random := rand.New(rand.NewPCG(1, 1))
				now := clock.Time(300_000)
				b.ReportAllocs()
				b.ResetTimer()
				cpuBefore, orderBytes := cpuTime(), 0
				for range b.N {
					b.StopTimer()
					for range targets / 10 {
						t := f.targets[random.IntN(targets)]
						d := demand[t.ID]
						d.ShortTerm = d.LongTerm * random.ExpFloat64() * 2
						demand[t.ID] = d
					}
					f.completeOperations(now)
					b.StartTimer()
					commands := p.Plan(now, place.Input{Targets: f.targets, Replicas: f.replicas, Demand: demand})
					b.StopTimer()
					for _, c := range commands {
						orderBytes += wire.FrameSize(&wire.Frame{Body: &wire.Frame_Order{Order: &wire.Order{
							Id: "123456-1234", Fence: 123456, Op: string(c.Op), Target: string(c.Target.ID),
							Base: string(c.Target.Base), Bytes: int64(c.Target.Bytes) << 30, Version: "12",
						}}})
						f.apply(now, c)
					}
					now = now.Add(clock.Second)
					b.StartTimer()
				}
				b.StopTimer()
				b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N)/1000, "cpu-ms/round")
				b.ReportMetric(float64(orderBytes)/float64(b.N), "order-bytes/round")
			})
		}
	}
}
