package coord

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// BenchmarkDemand reports the bytes per second and the time of the Demand messages of one gateway
// when each second all targets, or a tenth of them, are requested.
func BenchmarkDemand(b *testing.B) {
	for _, targets := range []int{60, 300, 1000} {
		for _, divisor := range []int{1, 10} {
			b.Run(fmt.Sprintf("targets=%d/asked=%d", targets, targets/divisor), func(b *testing.B) {
				d := newDemand()
				ids := make([]units.ModelID, targets/divisor)
				for i := range ids {
					ids[i] = units.ModelID(fmt.Sprintf("model-%04d", i))
				}
				bytes := 0
				b.ReportAllocs()
				for range b.N {
					for _, id := range ids {
						d.Asked(id, 3000)
					}
					bytes += wire.FrameSize(&wire.Frame{Body: &wire.Frame_Demand{Demand: d.takeMessage()}})
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
			})
		}
	}
}

// BenchmarkOrders reports the bytes per second of orders and their results, without load reports,
// at the full load rate of a weight store. Each load comes with an unload that frees its memory.
func BenchmarkOrders(b *testing.B) {
	for _, rate := range []float64{1.6, 6, 16} {
		b.Run(fmt.Sprintf("loads=%v", rate), func(b *testing.B) {
			bytes := 0
			for i := range b.N {
				for k, op := range []string{"load", "unload"} {
					id := fmt.Sprintf("%d-%d", 123456, 2*i+k)
					o := &wire.Order{Id: id, Fence: 123456, Op: op, Target: "adapter-0123", Base: "model-0123", Bytes: 16 << 30, Version: "12"}
					bytes += wire.FrameSize(&wire.Frame{Body: &wire.Frame_Order{Order: o}})
					bytes += wire.FrameSize(&wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: &wire.OrderResult{Id: id}}})
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N)*rate, "bytes/s")
		})
	}
}

// discardLink is a link that discards all frames. With a release channel, Push blocks until it
// closes.
type discardLink struct{ release chan struct{} }

func (d discardLink) Push(*wire.Frame) error {
	if d.release != nil {
		<-d.release
	}
	return nil
}

// BenchmarkOutboxes reports the memory per peer of the outboxes, when they are empty and when they
// are full because of slow peers.
func BenchmarkOutboxes(b *testing.B) {
	for _, peers := range []int{10, 100, 970} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("peers=%d/full=%v", peers, full), func(b *testing.B) {
				var bytes uint64
				for b.Loop() {
					bytes = outboxMemory(peers, full)
				}
				b.ReportMetric(float64(bytes)/float64(peers), "bytes/peer")
			})
		}
	}
}

// outboxMemory returns the bytes of heap and stacks that the outboxes of all peers use.
func outboxMemory(peers int, full bool) uint64 {
	before := memoryInUse()
	o := newOutboxes()
	l := discardLink{}
	if full {
		l.release = make(chan struct{})
	}
	for i := range peers {
		id := fmt.Sprint("peer-", i)
		o.open(id, l)
		for k := range outboxLength {
			if !full {
				break
			}
			o.push(id, &wire.Frame{Body: &wire.Frame_Acquire{Acquire: &wire.Acquire{Id: uint64(k), Customer: "customer-0001", Tokens: 1000}}})
		}
	}
	bytes := memoryInUse() - before
	if full {
		close(l.release)
	}
	o.stop()
	o.senders.Wait()
	return bytes
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
