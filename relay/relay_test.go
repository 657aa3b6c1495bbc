package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fleet"
	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
	"github.com/magnolialever/magnolialever/relay"
	"github.com/magnolialever/magnolialever/retry"
	"github.com/magnolialever/magnolialever/sched"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/view"
)

const key = "secret"

type unlimited struct{}

func (unlimited) Take(clock.Time, *fleet.Customer, float64) (bool, clock.Span) { return true, 0 }

// rig is a gateway in front of replicas that follow scripts.
type rig struct {
	t      testing.TB
	server *relay.Server
	web    *httptest.Server
	keysOK bool
}

func newRig(t testing.TB, replicas ...*fakes.Replica) *rig {
	t.Helper()
	return newRoomyRig(t, 0, replicas...)
}

// newRoomyRig returns a rig with a bound on the bytes of bodies under way.
func newRoomyRig(t testing.TB, held int64, replicas ...*fakes.Replica) *rig {
	t.Helper()
	r := &rig{t: t, keysOK: true}
	r.server = relay.New(relay.Options{
		BodyBudget: held,
		Clock:      clock.System{}, Scheduler: sched.New("zone-a", sched.ColdTolerance{Factor: 1.5, Slack: 5}), Limiter: unlimited{},
		Retries:        retry.WindowLimit{Ratio: 0.2, Slack: 50, Span: 10 * clock.Second},
		KeysUsable:     func(clock.Time) bool { return r.keysOK },
		OnModelMissing: func(units.ServiceID, units.ModelID, string) {},
		OnModelUse:     func(units.ServiceID, units.ModelID, string, float64) {},
	})
	data, err := json.Marshal(fakes.Config(3, key))
	assert.NilError(t, err)
	c, err := platform.DecodeConfig(data)
	assert.NilError(t, err)
	s := &view.Snapshot{Config: c, Upstreams: map[units.UpstreamID]*view.Entry{}}
	for _, p := range replicas {
		for _, service := range []string{fakes.App, fakes.Engine} {
			id := units.UpstreamID(p.Instance)
			data, err := json.Marshal(p.Describe(service, "zone-a", "ready"))
			assert.NilError(t, err)
			u, err := platform.DecodeUpstream(id, data)
			assert.NilError(t, err)
			// One replica serves both services under one instance.
			s.Upstreams[units.UpstreamID(service)+"/"+id] = &view.Entry{Upstream: u}
		}
	}
	r.server.SetView(s)
	r.web = httptest.NewServer(r.server)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				r.server.Tick()
			}
		}
	}()
	t.Cleanup(func() {
		r.web.Close()
		close(stop)
		<-ended
	})
	return r
}

func replica(t *testing.T, name string, script func(r *fakes.Request)) *fakes.Replica {
	t.Helper()
	p, err := fakes.NewReplica(name, script)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	p.Hold("small", "a1")
	return p
}

type result struct {
	status int
	body   string
	err    error
	header http.Header
}

func (r *rig) send(ctx context.Context, method, path, model, body string) result {
	r.t.Helper()
	q, err := http.NewRequestWithContext(ctx, method, r.web.URL+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	q.Header = fakes.Ask("id-"+path, key, model, 4000)
	q.Host = fakes.Host
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return result{res.StatusCode, string(data), err, res.Header}
}

func (r *rig) get(path string) result {
	return r.send(context.Background(), http.MethodGet, path, "", "")
}

func (r *rig) post(path, body string) result {
	return r.send(context.Background(), http.MethodPost, path, "", body)
}

func (r *rig) talk(path string) result {
	return r.send(context.Background(), http.MethodPost, path, "small", "prompt")
}

func total(replicas ...*fakes.Replica) int {
	n := 0
	for _, p := range replicas {
		n += len(p.Got())
	}
	return n
}

func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(fakes.Event(i))
	}
	return b.String()
}

// Guards against requests that run for another customer, or whose key an upstream sees.
func TestUpstreamSeesCustomerNotKey(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) { r.Answer("200 OK", "done") })
	got := newRig(t, p).post("/once/a?x=1", "book")
	assert.Equal(t, got.status, http.StatusOK)
	q := p.Got()[0]
	assert.Equal(t, q.Customer, "court")
	assert.Equal(t, q.Body, "book")
	assert.Equal(t, q.RequestURI, "/once/a?x=1")
	assert.Equal(t, q.Header.Get("Authorization"), "")
	assert.Equal(t, q.Header.Get("Hold"), "")
}

// Guards against a booking that is made twice: after a lost or broken answer it is not
// sent again, and the refusal does not say that it has not run.
func TestAtMostOnceIsNotRepeated(t *testing.T) {
	for name, script := range map[string]func(r *fakes.Request){
		"lost":      func(r *fakes.Request) { r.Cut() },
		"truncated": func(r *fakes.Request) { r.Truncated("hal") },
		"forged":    func(r *fakes.Request) { r.Forged("done") },
	} {
		one, two := replica(t, "one", script), replica(t, "two", script)
		got := newRig(t, one, two).post("/once/a", "book")
		assert.Equal(t, got.status, http.StatusBadGateway, name)
		assert.Equal(t, total(one, two), 1, name)
	}
}

// Guards against bookings that are lost although the upstream said that it did not run
// them.
func TestRefusalThatHasNotRunIsRepeated(t *testing.T) {
	script := func(r *fakes.Request) {
		if r.Number == 1 {
			r.Full()
			return
		}
		r.Answer("200 OK", "done")
	}
	one, two := replica(t, "one", script), replica(t, "two", script)
	got := newRig(t, one, two).post("/once/a", "book")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "done")
}

// Guards against idempotent requests that fail where another upstream would answer, and
// against more runs than the route allows.
func TestIdempotentRequestGoesElsewhere(t *testing.T) {
	bad := func(r *fakes.Request) { r.Answer("500 Internal Server Error", "broken") }
	one, two := replica(t, "one", bad), replica(t, "two", bad)
	got := newRig(t, one, two).get("/read/a")
	assert.Equal(t, got.status, http.StatusInternalServerError, "the upstream's own answer is returned")
	assert.Equal(t, got.body, "broken")
	assert.Equal(t, len(one.Got()), 1)
	assert.Equal(t, len(two.Got()), 1)
	half := replica(t, "three", func(r *fakes.Request) {
		if r.Number == 1 {
			r.Truncated("hal")
			return
		}
		r.Answer("200 OK", "whole")
	})
	other := replica(t, "four", func(r *fakes.Request) { r.Answer("200 OK", "whole") })
	assert.Equal(t, newRig(t, half, other).get("/read/a").body, "whole")
}

// Guards against answers that reach the wrong caller: a late second answer comes where
// the next is expected.
func TestStrayAnswerIsSkipped(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) {
		r.Stray("another", "wrong")
		r.Answer("200 OK", "right "+r.URL.Path)
	})
	r := newRig(t, p)
	for i := range 3 {
		path := fmt.Sprintf("/read/%d", i)
		got := r.get(path)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, "right "+path)
	}
}

// Guards against bytes after a complete answer that are taken for the next one.
func TestBytesAfterAnswer(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) {
		r.Answer("200 OK", "right "+r.URL.Path)
		r.Answer("200 OK", "again")
	})
	r := newRig(t, p)
	for i := range 4 {
		path := fmt.Sprintf("/read/%d", i)
		assert.Equal(t, r.get(path).body, "right "+path)
	}
}

// Guards against answers without a length that are lost or taken as broken.
func TestUnframedAnswer(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) { r.Unframed("until the end") })
	got := newRig(t, p).post("/once/a", "x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "until the end")
}

// Guards against streams with a gap, a repetition or a piece of an event after their
// upstream broke off in the middle of one.
func TestStreamGoesOnElsewhere(t *testing.T) {
	script := func(r *fakes.Request) {
		if r.After == "" {
			r.Stream(1, 3, false)
			r.Chunk("id: 4\ndata: pie")
			r.Cut()
			return
		}
		assert.Equal(t, r.After, "3")
		// Sends one event again, as an upstream may.
		r.Stream(3, 6, true)
	}
	one, two := replica(t, "one", script), replica(t, "two", script)
	got := newRig(t, one, two).talk("/talk/a")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 6))
	assert.Equal(t, total(one, two), 2)
}

// Guards against streams that look complete though their upstream broke off, and
// against a second run of one that can't be resumed.
func TestBrokenStreamIsCut(t *testing.T) {
	script := func(r *fakes.Request) {
		r.Stream(1, 2, false)
		r.Cut()
	}
	one, two := replica(t, "one", script), replica(t, "two", script)
	got := newRig(t, one, two).talk("/stream/a")
	assert.Assert(t, errors.Is(got.err, io.ErrUnexpectedEOF), "%v", got.err)
	assert.Equal(t, got.body, events(1, 2))
	assert.Equal(t, total(one, two), 1)
}

// Guards against a stream that ends as if complete, or with the text of an error, when the
// upstream that is to go on with it answers with a failure (hunt-1fc8-7 of lsatcc-magnolia).
func TestFailureDoesNotEndStream(t *testing.T) {
	for _, status := range []string{"500 Internal Server Error", "404 Not Found", "201 Created"} {
		script := func(r *fakes.Request) {
			if r.After != "" {
				r.Answer(status, "error")
				return
			}
			r.Stream(1, 3, false)
			r.Cut()
		}
		one, two := replica(t, "one", script), replica(t, "two", script)
		got := newRig(t, one, two).talk("/talk/a")
		assert.Check(t, errors.Is(got.err, io.ErrUnexpectedEOF), "%s: ended as complete, %v", status, got.err)
		assert.Check(t, got.body == events(1, 3), "%s: %q", status, got.body)
		assert.Check(t, total(one, two) == 2, status)
	}
}

// Guards against work for callers that have left.
func TestLeavingCallerCancels(t *testing.T) {
	ended := make(chan time.Time, 1)
	p := replica(t, "one", func(r *fakes.Request) {
		r.Wait()
		ended <- time.Now()
	})
	r := newRig(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.send(ctx, http.MethodGet, "/read/a", "", ""); close(done) }()
	for len(p.Got()) == 0 {
		time.Sleep(time.Millisecond)
	}
	left := time.Now()
	cancel()
	<-done
	assert.Assert(t, (<-ended).Sub(left) < 500*time.Millisecond, "the platform's bound")
}

// Guards against requests that are held beyond the route's time limit.
func TestTimeLimitOfRoute(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) { r.Wait() })
	begin := time.Now()
	got := newRig(t, p).post("/once/a", "x")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	took := time.Since(begin)
	assert.Assert(t, took > 1400*time.Millisecond && took < 1750*time.Millisecond, took)
}

// Guards against refusals with a wrong reason, and against use of keys that can't be
// trusted.
func TestRefusals(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) { r.Answer("200 OK", "done") })
	r := newRig(t, p)
	assert.Equal(t, r.get("/nothing/a").status, http.StatusNotFound)
	q, err := http.NewRequest(http.MethodGet, r.web.URL+"/read/a", nil)
	assert.NilError(t, err)
	q.Header, q.Host = fakes.Ask("id", "unknown", "", 1000), fakes.Host
	res, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
	res.Body.Close()
	r.keysOK = false
	got := r.get("/read/a")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	r.server.SetView(&view.Snapshot{})
	assert.Equal(t, r.get("/read/a").status, http.StatusServiceUnavailable, "no configuration is known")
	assert.Equal(t, total(p), 0)
}

// Guards against requests that wait in vain: nothing holds the model and it takes longer
// to load than the caller stays.
func TestNoUpstreamIsRefusedAtOnce(t *testing.T) {
	begin := time.Now()
	got := newRig(t).post("/once/a", "x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < 200*time.Millisecond)
}

// Guards against a long request that an upstream answers early and whose rest is taken
// for the next one.
func TestLongBody(t *testing.T) {
	p := replica(t, "one", func(r *fakes.Request) { r.Answer("200 OK", fmt.Sprint(len(r.Body))) })
	r := newRig(t, p)
	body := string(bytes.Repeat([]byte("x"), 300_000))
	assert.Equal(t, r.post("/once/a", body).body, "300000")
	assert.Equal(t, r.post("/once/b", "x").body, "1")
	assert.Equal(t, r.post("/once/c", strings.Repeat("x", 2<<20)).status, http.StatusRequestEntityTooLarge)
}
