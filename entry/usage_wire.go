package entry

import (
	"maps"
	"slices"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/usage"
	"github.com/magnolialever/magnolialever/wire"
)

const (
	// maxUsageBytes is the size from which on totals and reports are split into several messages.
	maxUsageBytes = 8 << 10
	// countBytes is the size of a count in a message without the name of the customer, windowBytes that of a window.
	countBytes  = 16
	windowBytes = 20
)

// encodeTotals encodes totals without their windows.
func encodeTotals(t usage.Totals) *wire.UsageTotals {
	m := &wire.UsageTotals{
		Vm: string(t.VM), Life: uint64(t.Incarnation), UntilMs: int64(t.Until), SentMs: int64(t.SentAt), Final: t.Final,
	}
	for _, w := range slices.Sorted(maps.Keys(t.Sums)) {
		m.Sums = append(m.Sums, &wire.UsageSum{Window: int64(w), Requests: t.Sums[w]})
	}
	return m
}

// decodeTotals decodes totals with their windows. A window may stand in several parts.
func decodeTotals(m *wire.UsageTotals) usage.Totals {
	t := usage.Totals{
		VM: units.VMID(m.GetVm()), Incarnation: usage.Incarnation(m.GetLife()), SentAt: clock.Time(m.GetSentMs()),
		Until: usage.Instant(m.GetUntilMs()), Final: m.GetFinal(),
		Sums: map[usage.Window]int64{}, Windows: map[usage.Window]usage.Counts{},
	}
	for _, w := range m.GetWindows() {
		window, counts := decodeWindow(w)
		if t.Windows[window] == nil {
			t.Windows[window] = usage.Counts{}
		}
		maps.Copy(t.Windows[window], counts)
	}
	for _, v := range m.GetSums() {
		t.Sums[usage.Window(v.GetWindow())] = v.GetRequests()
	}
	return t
}

// splitWindows encodes windows in lists that each fit a message.
func splitWindows(windows map[usage.Window]usage.Counts) [][]*wire.UsageWindow {
	var out [][]*wire.UsageWindow
	size := maxUsageBytes
	for _, w := range slices.Sorted(maps.Keys(windows)) {
		var part *wire.UsageWindow
		for _, id := range slices.Sorted(maps.Keys(windows[w])) {
			n := len(id) + countBytes
			if size+n+windowBytes > maxUsageBytes {
				out, part, size = append(out, nil), nil, 0
			}
			if part == nil {
				part = &wire.UsageWindow{Window: int64(w), Customers: int32(len(windows[w]))}
				out[len(out)-1] = append(out[len(out)-1], part)
				size += windowBytes
			}
			part.Counts = append(part.Counts, &wire.UsageCount{Customer: string(id), Count: windows[w][id]})
			size += n
		}
	}
	return out
}

// decodeWindow decodes the counts of a window.
func decodeWindow(m *wire.UsageWindow) (usage.Window, usage.Counts) {
	counts := usage.Counts{}
	for _, n := range m.GetCounts() {
		counts[units.CustomerID(n.GetCustomer())] = n.GetCount()
	}
	return usage.Window(m.GetWindow()), counts
}
