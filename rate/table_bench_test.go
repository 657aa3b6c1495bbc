package rate

import (
	"fmt"
	"testing"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// BenchmarkTable reports the size of the slot table as a message and in the store, and the
// time to reassign the slots of a removed gateway.
func BenchmarkTable(b *testing.B) {
	for _, gateways := range []int{4, 20, 80, 320} {
		b.Run(fmt.Sprint("gateways=", gateways), func(b *testing.B) {
			var l []Gateway
			for i := range gateways {
				l = append(l, Gateway{
					ID:   units.VMID(fmt.Sprintf("gateway-%03d", i)),
					Zone: units.Zone(fmt.Sprint("zone-", i%5)),
				})
			}
			t := (&SlotTable{}).Assign(l)
			stored, err := EncodeTable(t)
			if err != nil {
				b.Fatal(err)
			}
			moved := 0
			for b.Loop() {
				next := t.Assign(l[1:])
				moved = 0
				for i, r := range next.Rows {
					if r != t.Rows[i] {
						moved++
					}
				}
			}
			b.ReportMetric(float64(wire.FrameSize(t.Frame())), "message-bytes")
			b.ReportMetric(float64(len(stored)), "stored-bytes")
			b.ReportMetric(float64(moved), "slots-moved")
		})
	}
}
