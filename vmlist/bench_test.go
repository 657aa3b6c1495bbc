package vmlist_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/magnolialever/magnolialever/vmlist"
)

// BenchmarkList reports the bytes of one response with the VM list and the time to decode it. Each
// gateway reads the whole list at each poll.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{20, 100, 970} {
		b.Run(fmt.Sprint("vms=", n), func(b *testing.B) {
			l := make([]vmlist.VM, n)
			for i := range l {
				l[i] = vmlist.VM{Role: vmlist.Upstream, Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Zone: "tx-central-a", State: vmlist.Live}
				l[i].ID = "upstream-123"
			}
			data, err := json.Marshal(l)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := vmlist.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
