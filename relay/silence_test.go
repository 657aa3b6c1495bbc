package relay_test

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/socket"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

// silentFor is longer than a replica may be silent before another one is looked for, and shorter than callers wait.
const silentFor = 1700 * time.Millisecond

// newPatientGateway returns a gateway with one service, whose routes have a time limit of 4 s.
func newPatientGateway(t *testing.T, service units.ServiceID, replicas ...*fakes.Replica) *testGateway {
	t.Helper()
	return useService(newTestGateway(t, replicas...), service)
}

// useService leaves only the replicas of one service in the view, under their own IDs, and sets the time limit of all
// routes to 4 s.
func useService(g *testGateway, service units.ServiceID) *testGateway {
	g.t.Helper()
	config := fakes.Config(4, key)
	fakes.SetTimeouts(config, 4000)
	data, err := json.Marshal(config)
	assert.NilError(g.t, err)
	next := &view.Snapshot{Upstreams: map[units.UpstreamID]*view.Entry{}}
	next.Config, err = platform.DecodeConfig(data)
	assert.NilError(g.t, err)
	for _, e := range g.snapshot.Upstreams {
		if e.Service == service {
			next.Upstreams[e.ID] = e
		}
	}
	g.snapshot = next
	g.server.SetView(next)
	return g
}

// pauseMidway sends six events with a silence after the second one.
func pauseMidway(r *fakes.Request) {
	r.Stream(1, 2, false)
	time.Sleep(silentFor)
	r.Chunk(eventRange(3, 6))
	r.WriteRaw("0\r\n\r\n")
}

// Guards against resumable streams that are cut because their replica is silent, though no other can go on with them.
func TestSilentStreamIsNotCutWithoutAnotherReplica(t *testing.T) {
	replica := startReplica(t, "one", pauseMidway)
	got := newPatientGateway(t, fakes.EngineService, replica).postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	assert.Equal(t, totalRequests(replica), 1)
}

// Guards against streams that are cut beside a planned stop, as their replica is silent and the stop leaves no time for another run.
func TestSilentStreamIsNotCutBesideStop(t *testing.T) {
	one, two := startReplica(t, "one", pauseMidway), startReplica(t, "two", pauseMidway)
	g := newPatientGateway(t, fakes.EngineService, one, two)
	time.AfterFunc(time.Second, func() {
		now := g.server.Clock.Now()
		g.server.Drain(now, now.Add(2500))
	})
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	assert.Equal(t, totalRequests(one, two), 1)
}

// Guards against idempotent requests that fail because their replica takes long to answer, though no other can take them.
func TestSlowAnswerIsAwaitedWithoutAnotherReplica(t *testing.T) {
	replica := startReplica(t, "one", func(r *fakes.Request) {
		time.Sleep(silentFor)
		r.Respond("200 OK", "late")
	})
	got := newPatientGateway(t, fakes.AppService, replica).get("/read/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "late")
	assert.Equal(t, totalRequests(replica), 1)
}

// Guards against streams that are cut because their replica is silent and the other one doesn't go on with them, in whatever way:
// the silent one is only left once another answers.
func TestSilentStreamIsKeptUntilAnotherReplicaAnswers(t *testing.T) {
	for name, follow := range map[string]func(r *fakes.Request){
		"full":      func(r *fakes.Request) { r.RejectFull() },
		"failing":   func(r *fakes.Request) { r.Respond("500 Internal Server Error", "broken") },
		"forged":    func(r *fakes.Request) { r.RespondWithoutReceipt("done") },
		"no stream": func(r *fakes.Request) { r.Respond("200 OK", "done") },
		"closing":   func(r *fakes.Request) { r.CloseConnection() },
		"hanging":   func(r *fakes.Request) { r.WaitForClose() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(r *fakes.Request) {
				if r.LastEventID != "" {
					follow(r)
					return
				}
				pauseMidway(r)
			}
			one, two := startReplica(t, "one", script), startReplica(t, "two", script)
			got := newPatientGateway(t, fakes.EngineService, one, two).postStream("/talk/a")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventRange(1, 6))
		})
	}
}

// Guards against streams that are cut because the upstream that is to go on with them refuses at first: the caller waits for the
// next event, whenever the request arrived.
func TestMovedStreamWaitsForRoom(t *testing.T) {
	for name, begin := range map[string]func(r *fakes.Request){
		"silent": pauseMidway,
		"broken": func(r *fakes.Request) {
			r.Stream(1, 2, false)
			time.Sleep(1150 * time.Millisecond)
			r.CloseConnection()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(r *fakes.Request) {
				switch {
				case r.LastEventID == "":
					begin(r)
				case r.Number == 1:
					r.RejectFull()
				default:
					r.Stream(3, 6, true)
				}
			}
			one, two := startReplica(t, "one", script), startReplica(t, "two", script)
			got := newPatientGateway(t, fakes.EngineService, one, two).postStream("/talk/a")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventRange(1, 6))
		})
	}
}

// Guards against streams that leave a silent replica, which goes on a moment later, for another one that never begins.
func TestSilentStreamIsNotLostWhenOtherReplicaDoesNotBegin(t *testing.T) {
	closed := make(chan struct{})
	one := startReplica(t, "one", pauseMidway)
	two := startReplica(t, "two", func(r *fakes.Request) {
		r.WaitForClose()
		close(closed)
	})
	got := newGatewayStartingAt(t, one, two).postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the other replica still has the request")
	}
}

// newGatewayStartingAt returns a gateway whose first request goes to replica one; both hold the model from a second later on.
func newGatewayStartingAt(t *testing.T, one, two *fakes.Replica) *testGateway {
	t.Helper()
	g := newPatientGateway(t, fakes.EngineService, one)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	time.AfterFunc(time.Second, func() { g.server.SetView(both) })
	return g
}

// Guards against streams that wait for a silent replica although another one can go on since a moment ago.
func TestSilentStreamMovesOnceAnotherReplicaHasRoom(t *testing.T) {
	one := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		r.WaitForClose()
	})
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(3, 6, true) })
	g := newPatientGateway(t, fakes.EngineService, one)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	time.AfterFunc(silentFor, func() { g.server.SetView(both) })
	got := g.postStream("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventRange(1, 6))
}

// Guards against streams that are held for a replica that can't be reached, as its VM is gone.
func TestStreamOfUnreachableReplicaIsNotHeld(t *testing.T) {
	done := make(chan struct{})
	replica := startReplica(t, "one", func(r *fakes.Request) {
		r.Stream(1, 2, false)
		<-done
	})
	t.Cleanup(func() { close(done) })
	g := newPatientGateway(t, fakes.EngineService, replica)
	time.AfterFunc(300*time.Millisecond, replica.StopListening)
	begun := time.Now()
	got := g.postStream("/talk/a")
	assert.ErrorContains(t, got.err, "EOF")
	assert.Equal(t, got.body, eventRange(1, 2))
	assert.Assert(t, time.Since(begun) < 3*time.Second, "the stream ended after %v", time.Since(begun))
}

// Guards against repeats that exceed the budget because streams move together when their replicas are silent.
func TestSilentStreamsMoveWithinRetryBudget(t *testing.T) {
	const streams = 6
	one := startReplica(t, "one", pauseMidway)
	two := startReplica(t, "two", func(r *fakes.Request) { r.Stream(3, 6, true) })
	g := useService(newTestGatewayWith(t, func(o *relay.Options) {
		o.Retries = retry.WindowLimit{Slack: 2.5, Span: 10 * clock.Second}
	}, one), fakes.EngineService)
	both := newPatientGateway(t, fakes.EngineService, one, two).snapshot
	results := make(chan result, streams)
	for range streams {
		go func() { results <- g.postStream("/talk/a") }()
	}
	time.Sleep(500 * time.Millisecond)
	g.server.SetView(both)
	for range streams {
		got := <-results
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventRange(1, 6))
	}
	assert.Assert(t, totalRequests(two) <= 2, "%d repeats", totalRequests(two))
}

// Guards against a gateway that takes its own pause for the silence of its upstreams: all their streams would move at once, or be
// cut, although their next events have arrived meanwhile.
func TestPauseOfTheGatewayIsNoSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	upstream, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer upstream.Close()
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(upstream, fakes.Event(1))
	assert.NilError(t, err)
	for socket.Peek(c) != socket.Unread {
		time.Sleep(time.Millisecond)
	}
	silences := 0
	r, err := relay.NewReader(c, func() (time.Time, bool) { silences++; return time.Time{}, false })
	assert.NilError(t, err)
	got := make([]byte, len(fakes.Event(1)))
	_, err = io.ReadFull(r, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), fakes.Event(1))
	assert.Equal(t, silences, 0)
}

// Guards against a gateway that takes its own pause for the silence of an upstream whose answer has ended meanwhile: the request would
// run again elsewhere.
func TestEndDuringAPauseOfTheGatewayIsNoSilence(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, c net.Conn){
		"in order": func(t *testing.T, c net.Conn) { assert.NilError(t, c.Close()) },
		"reset":    resetConn,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		upstream, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		c, err := l.Accept()
		assert.NilError(t, err)
		defer c.Close()
		end(t, upstream)
		for socket.Peek(c) != socket.Closed {
			time.Sleep(time.Millisecond)
		}
		silences := 0
		r, err := relay.NewReader(c, func() (time.Time, bool) { silences++; return time.Time{}, false })
		assert.NilError(t, err)
		_, err = io.ReadAll(r)
		assert.Check(t, !errors.Is(err, os.ErrDeadlineExceeded), "%s: %v", name, err)
		assert.Equal(t, silences, 0, name)
	}
}
