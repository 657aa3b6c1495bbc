package entry

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

// Guards against totals and reports of many customers that never arrive, as they don't fit a datagram.
func TestLongTotalsAreSplit(t *testing.T) {
	windows, want := map[usage.Window]usage.Counts{}, 0
	for w := range 20 {
		counts := usage.Counts{}
		for i := range 500 {
			counts[units.CustomerID(fmt.Sprint(strings.Repeat("c", 36), i))] = int64(w + i)
			want++
		}
		windows[usage.Window(353_445_120+w)] = counts
	}
	got := 0
	for _, part := range splitWindows(windows) {
		m := &wire.UsageTotals{Windows: part}
		assert.Assert(t, proto.Size(m) <= maxUsageBytes, "%d bytes", proto.Size(m))
		for _, w := range part {
			window, counts := decodeWindow(w)
			for id, n := range counts {
				assert.Equal(t, windows[window][id], n)
				got++
			}
			assert.Equal(t, int(w.GetCustomers()), 500)
		}
	}
	assert.Equal(t, got, want)
}
