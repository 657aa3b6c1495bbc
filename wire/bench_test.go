package wire_test

import (
	"fmt"
	"testing"

	"github.com/magnolialever/magnolialever/wire"
)

// BenchmarkFrameBytes shows the bytes of control messages by the quantity that makes
// them grow: targets in memory, teams, suspects, and the number of a ping.
func BenchmarkFrameBytes(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		for _, c := range []struct {
			name string
			make func(n int) *wire.Frame
		}{
			{"load/resident", loadFrame},
			{"versions/teams", versionsFrame},
			{"suspects/entries", suspectsFrame},
			{"config/bytes", configFrame},
			{"ping/number", pingFrame},
			{"pong/number", pongFrame},
		} {
			b.Run(fmt.Sprintf("%s=%d", c.name, n), func(b *testing.B) {
				f := c.make(n)
				bytes := 0
				for b.Loop() {
					bytes = wire.Size(f)
				}
				b.ReportMetric(float64(bytes), "bytes")
			})
		}
	}
}

func loadFrame(n int) *wire.Frame {
	l := &wire.Load{
		Upstream: "upstream-123", Zone: "tx-central-a", Sequence: 100_000, Running: 30, Waiting: 10, Backlog: 40_000,
		Speed: 1500, MemoryFree: 20 << 30, MemoryTotal: 640 << 30, Incarnation: 1,
	}
	for i := range n {
		l.Resident = append(l.Resident, fmt.Sprintf("adapter-%04d", i))
	}
	return &wire.Frame{Body: &wire.Frame_Load{Load: l}}
}

func versionsFrame(n int) *wire.Frame {
	v := &wire.Versions{Confirmed: 1200, Complete: true}
	for i := range n {
		v.Version = append(v.Version, &wire.Version{Team: fmt.Sprintf("team-%04d", i), Revision: 1_000_000})
	}
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: v}}
}

func suspectsFrame(n int) *wire.Frame {
	m := &wire.Suspects{}
	for i := range n {
		m.Suspect = append(m.Suspect, &wire.Suspect{Fingerprint: uint64(i), Crashes: 2, Ttl: 600_000, Crash: []uint64{1, 2}})
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: m}}
}

func configFrame(n int) *wire.Frame {
	c := &wire.Config{Team: "team-0001", Revision: 1_000_000, Base: 999_999, Value: make([]byte, n)}
	return &wire.Frame{Body: &wire.Frame_Config{Config: c}}
}

func pingFrame(n int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: uint64(n)}}}
}

func pongFrame(n int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{Id: uint64(n), Now: 86_400_000}}}
}
