package coord

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// BenchmarkDemand shows the bytes and the time of the messages of one gateway when
// callers ask for all targets, or for a tenth of them, in each second.
func BenchmarkDemand(b *testing.B) {
	for _, targets := range []int{60, 300, 1000} {
		for _, share := range []int{1, 10} {
			b.Run(fmt.Sprintf("targets=%d/asked=%d", targets, targets/share), func(b *testing.B) {
				d := newDemand()
				ids := make([]units.ModelID, targets/share)
				for i := range ids {
					ids[i] = units.ModelID(fmt.Sprintf("model-%04d", i))
				}
				bytes := 0
				b.ReportAllocs()
				for range b.N {
					for _, id := range ids {
						d.Asked(id, 3000)
					}
					bytes += wire.Size(&wire.Frame{Body: &wire.Frame_Demand{Demand: d.take()}})
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
			})
		}
	}
}

// BenchmarkOrders shows the bytes of orders, with their results without a load report,
// at the full rate of a weight store: each load with the unload that makes room.
func BenchmarkOrders(b *testing.B) {
	for _, rate := range []float64{1.6, 6, 16} {
		b.Run(fmt.Sprintf("loads=%v", rate), func(b *testing.B) {
			bytes := 0
			for i := range b.N {
				for k, op := range []string{"load", "unload"} {
					id := fmt.Sprintf("%d-%d", 123456, 2*i+k)
					o := &wire.Order{Id: id, Fence: 123456, Op: op, Target: "adapter-0123", Base: "model-0123", Bytes: 16 << 30, Version: "12"}
					bytes += wire.Size(&wire.Frame{Body: &wire.Frame_Order{Order: o}})
					bytes += wire.Size(&wire.Frame{Body: &wire.Frame_OrderResult{OrderResult: &wire.OrderResult{Id: id}}})
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N)*rate, "bytes/s")
		})
	}
}

// discard is a link that takes all frames; blocked ones take none until released.
type discard struct{ release chan struct{} }

func (d discard) Push(*wire.Frame) error {
	if d.release != nil {
		<-d.release
	}
	return nil
}

// BenchmarkOutboxes shows the heap of the queues to all peers, when they are empty
// and when slow peers have let them fill with frames of their own.
func BenchmarkOutboxes(b *testing.B) {
	for _, peers := range []int{10, 100, 970} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("peers=%d/full=%v", peers, full), func(b *testing.B) {
				var held uint64
				for b.Loop() {
					held = heldByOutboxes(peers, full)
				}
				b.ReportMetric(float64(held)/float64(peers), "bytes/peer")
			})
		}
	}
}

func heldByOutboxes(peers int, full bool) uint64 {
	before := memory()
	o := newOutboxes()
	l := discard{}
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
	held := memory() - before
	if full {
		close(l.release)
	}
	o.stop()
	o.group.Wait()
	return held
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
