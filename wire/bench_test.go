package wire_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/wire"
)

// BenchmarkFrameBytes reports the size of control messages by the quantity that it depends on:
// resident targets, teams, crash suspects, bytes of a configuration, or a ping ID.
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

func loadFrame(targets int) *wire.Frame {
	load := &wire.Load{
		Upstream: "upstream-123", Zone: "tx-central-a", Sequence: 100_000, Running: 30, Waiting: 10, Backlog: 40_000,
		Speed: 1500, MemoryFree: 20 << 30, MemoryTotal: 640 << 30, Incarnation: 1,
	}
	for i := range targets {
		load.Resident = append(load.Resident, fmt.Sprintf("adapter-%04d", i))
	}
	return &wire.Frame{Body: &wire.Frame_Load{Load: load}}
}

func versionsFrame(teams int) *wire.Frame {
	versions := &wire.Versions{Confirmed: 1200, Complete: true}
	for i := range teams {
		versions.Version = append(versions.Version, &wire.Version{Team: fmt.Sprintf("team-%04d", i),
			Revision: 1_000_000})
	}
	return &wire.Frame{Body: &wire.Frame_Versions{Versions: versions}}
}

func suspectsFrame(entries int) *wire.Frame {
	suspects := &wire.Suspects{}
	for i := range entries {
		suspects.Suspect = append(suspects.Suspect, &wire.Suspect{Fingerprint: uint64(i),
			Crashes: 2, Ttl: 600_000, Crash: []uint64{1, 2}})
	}
	return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: suspects}}
}

func configFrame(valueBytes int) *wire.Frame {
	config := &wire.Config{Team: "team-0001", Revision: 1_000_000, Base: 999_999,
		Value: make([]byte, valueBytes)}
	return &wire.Frame{Body: &wire.Frame_Config{Config: config}}
}

func pingFrame(id int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: uint64(id)}}}
}

func pongFrame(id int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{Id: uint64(id), Now: 86_400_000}}}
}

// BenchmarkSession reports the heap and stack memory of one end of a session with an open
// control stream, over loopback connections.
func BenchmarkSession(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint("sessions=", n), func(b *testing.B) {
			var memory uint64
			for b.Loop() {
				memory = sessionMemory(b, n)
			}
			b.ReportMetric(float64(memory)/1024/float64(2*n), "KB/end")
		})
	}
}

// sessionMemory returns the bytes of heap and stacks that the given number of sessions take,
// with both ends in this process and one open stream each.
func sessionMemory(b *testing.B, count int) uint64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer l.Close()
	before := memoryInUse()
	ends := make([]*wire.Session, 0, 2*count)
	streams := make([]*wire.Stream, 0, 2*count)
	for range count {
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
		dialer, err := wire.Dial(b.Context(), l.Addr().String(), options("g", wire.Gateway, "s"))
		assert.NilError(b, err)
		acceptor := <-accepted
		assert.Assert(b, acceptor != nil)
		dialerStream, err := dialer.Open()
		assert.NilError(b, err)
		assert.NilError(b, dialerStream.Send(pingFrame(1)))
		acceptorStream, err := acceptor.Accept()
		assert.NilError(b, err)
		_, err = acceptorStream.Recv()
		assert.NilError(b, err)
		assert.NilError(b, acceptorStream.Send(pongFrame(1)))
		_, err = dialerStream.Recv()
		assert.NilError(b, err)
		ends, streams = append(ends, dialer, acceptor), append(streams, dialerStream, acceptorStream)
	}
	memory := memoryInUse() - before
	runtime.KeepAlive(streams)
	for _, s := range ends {
		_ = s.Close()
	}
	return memory
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
