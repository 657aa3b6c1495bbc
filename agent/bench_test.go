package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/config"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/wire"
)

// pushDuration is how long one run sends requests.
const pushDuration = 4 * time.Second

// BenchmarkLoadPush measures how many load reports an agent pushes on the control streams
// of its gateways while one gateway sends requests at a steady rate.
func BenchmarkLoadPush(b *testing.B) {
	for _, gateways := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint("gateways=", gateways), func(b *testing.B) {
			for b.Loop() {
				benchLoadPush(b, gateways)
			}
		})
	}
}

func benchLoadPush(b *testing.B, gateways int) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	s, err := agent.New(agent.Options{
		Node:      config.Node{ID: "u1", Zone: "a", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0"},
		Secret:    []byte(secret),
		Upstream:  agent.Upstream{Kind: agent.Service, Address: strings.TrimPrefix(server.URL, "http://"), Services: []units.ServiceID{"svc"}},
		AllowFree: true,
	})
	assert.NilError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() { runResult <- s.Run(ctx) }()
	var loads, bytes atomic.Int64
	sessions := make([]*wire.Session, gateways)
	readers := make(chan struct{}, gateways)
	for i := range sessions {
		sessions[i], err = wire.Dial(ctx, s.Addr().String(), wire.Options{
			Self: wire.Identity{ID: fmt.Sprint("g", i), Role: wire.Gateway, Zone: "a"}, Secret: []byte(secret),
		})
		assert.NilError(b, err)
		st, err := sessions[i].Open()
		assert.NilError(b, err)
		assert.NilError(b, st.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Id: 1}}}))
		go func() {
			defer func() { readers <- struct{}{} }()
			for {
				f, err := st.Recv()
				if err != nil {
					return
				}
				if f.GetLoad() != nil {
					loads.Add(1)
					bytes.Add(int64(wire.FrameSize(f)))
				}
			}
		}()
	}
	calls := 0
	loadsBefore, bytesBefore := loads.Load(), bytes.Load()
	start := time.Now()
	for time.Since(start) < pushDuration {
		sendCall(b, sessions[0], calls)
		calls++
		time.Sleep(50 * time.Millisecond)
	}
	seconds := time.Since(start).Seconds()
	b.ReportMetric(float64(loads.Load()-loadsBefore)/seconds, "loads/s-agent")
	b.ReportMetric(float64(loads.Load()-loadsBefore)/seconds/float64(gateways), "loads/s-link")
	b.ReportMetric(float64(bytes.Load()-bytesBefore)/seconds, "load-bytes/s-agent")
	b.ReportMetric(float64(calls)/seconds, "requests/s")
	stop()
	for _, session := range sessions {
		_ = session.Close()
		<-readers
	}
	assert.NilError(b, <-runResult)
}

// sendCall sends one call and reads its response to the end.
func sendCall(b *testing.B, s *wire.Session, i int) {
	st, err := s.Open()
	assert.NilError(b, err)
	defer st.Close()
	assert.NilError(b, st.Send(&wire.Frame{Body: &wire.Frame_Call{Call: &wire.Call{
		Attempt: fmt.Sprint("attempt-", i), Customer: "c", Target: "svc", Kind: "service", Timeout: 5000,
		Method: http.MethodGet, Path: "/", Idempotent: true,
	}}}))
	for {
		f, err := st.Recv()
		assert.NilError(b, err)
		assert.Assert(b, f.GetRefuse() == nil, "%v", f)
		if f.GetDone() != nil {
			return
		}
	}
}
