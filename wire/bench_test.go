package wire_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

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
					bytes = wire.FrameSize(f)
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

// BenchmarkSession shows the heap and stacks of one end of a session with an open
// control stream, on connections through loopback.
func BenchmarkSession(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint("sessions=", n), func(b *testing.B) {
			var held uint64
			for b.Loop() {
				held = heldBySessions(b, n)
			}
			b.ReportMetric(float64(held)/1024/float64(2*n), "KB/end")
		})
	}
}

func heldBySessions(b *testing.B, n int) uint64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	before := inUse()
	ends := make([]*wire.Session, 0, 2*n)
	streams := make([]*wire.Stream, 0, 2*n)
	for range n {
		accepted := make(chan *wire.Session, 1)
		go func() {
			defer close(accepted)
			c, err := l.Accept()
			if err != nil {
				return
			}
			if s, err := wire.Accept(c, options("a", wire.Agent, "s")); err == nil {
				accepted <- s
			}
		}()
		s, err := wire.Dial(b.Context(), l.Addr().String(), options("g", wire.Gateway, "s"))
		assert.NilError(b, err)
		t := <-accepted
		assert.Assert(b, t != nil)
		out, err := s.Open()
		assert.NilError(b, err)
		assert.NilError(b, out.Send(pingFrame(1)))
		in, err := t.Accept()
		assert.NilError(b, err)
		_, err = in.Recv()
		assert.NilError(b, err)
		assert.NilError(b, in.Send(pongFrame(1)))
		_, err = out.Recv()
		assert.NilError(b, err)
		ends, streams = append(ends, s, t), append(streams, out, in)
	}
	held := inUse() - before
	runtime.KeepAlive(streams)
	for _, s := range ends {
		_ = s.Close()
	}
	return held
}

// inUse returns the bytes of heap and stacks in use after a collection.
func inUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
