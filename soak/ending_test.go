package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

const (
	// allPieces are the pieces of a whole answer, piecesBefore those that a run writes before it falls silent.
	allPieces, piecesBefore = 40, 10
	// endTimeout is the time limit of requests and routes; no answer lasts so long.
	endTimeout = 20 * time.Second
	// frozenBefore and frozenAfter are how long before and after the answers end a frozen gateway is stopped.
	frozenBefore, frozenAfter = 50 * time.Millisecond, 1500 * time.Millisecond
	// slowStopped and slowRunning are the spells of a gateway that gets 0.3 of the time.
	slowStopped, slowRunning = 70 * time.Millisecond, 30 * time.Millisecond
	// longestSilence is how long an upstream is silent before another goes on with its answer.
	longestSilence = 4 * time.Second
	// longUpload is the size in bytes of long requests, maxUpload that of the longest that a gateway takes.
	longUpload, maxUpload = 3 << 20, 4 << 20
	// endSlots are the requests that an upstream takes at once.
	endSlots = 300
)

// runEnd is what a run does after its silence.
type runEnd func(r *fakes.Request, framing framing, next int)

// resetRun resets the connection between two pieces.
func resetRun(r *fakes.Request, _ framing, _ int) { r.ResetConnection() }

// completeRun writes the rest of the answer and closes the connection.
func completeRun(r *fakes.Request, framing framing, next int) {
	writePieces(r, framing, next, allPieces)
	if framing == chunked {
		r.WriteRaw("0\r\n\r\n")
	}
	r.WaitForAcknowledgement()
	r.CloseConnection()
}

// resetAmidRun writes some more pieces and resets the connection.
func resetAmidRun(r *fakes.Request, framing framing, next int) {
	writePieces(r, framing, next, next+piecesBefore/2)
	r.ResetConnection()
}

// giveWay stays silent until the gateway closes the connection, or completes the answer if it does not.
func giveWay(r *fakes.Request, framing framing, next int) {
	closed := make(chan struct{})
	go func() {
		r.WaitForClose()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(longestSilence):
		completeRun(r, framing, next)
	}
}

// endInOrder writes the rest of the answer and ends it in order. The connection is reset after a time, in which the upstream reads
// on.
func endInOrder(pause time.Duration) runEnd {
	return func(r *fakes.Request, framing framing, next int) {
		writePieces(r, framing, next, allPieces)
		r.CloseWrite()
		r.WaitForAcknowledgement()
		time.Sleep(pause)
		r.ResetConnection()
	}
}

// isPlain reports whether a path is that of a route without streams.
func isPlain(path string) bool {
	return strings.HasPrefix(path, "/read/") || strings.HasPrefix(path, "/once/")
}

// numberedPiece returns a piece of an answer of the route.
func numberedPiece(path string, i int) string {
	if isPlain(path) {
		return fmt.Sprintf("piece %d\n", i)
	}
	return fakes.Event(i)
}

// beginAnswer writes the head of an answer.
func beginAnswer(r *fakes.Request, framing framing) {
	head := fakes.Head(r.RequestID, "200 OK")
	if !isPlain(r.URL.Path) {
		head += "Content-Type: text/event-stream\r\n"
	}
	if framing == chunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	r.WriteRaw(head + "\r\n")
}

// writePieces writes the pieces from first to last.
func writePieces(r *fakes.Request, framing framing, first, last int) {
	for i := first; i <= last; i++ {
		if p := numberedPiece(r.URL.Path, i); framing == chunked {
			r.Chunk(p)
		} else {
			r.WriteRaw(p)
		}
	}
}

// pace is how much time a gateway gets.
type pace uint8

const (
	// frozen means that it is stopped across the ends of answers.
	frozen pace = iota
	// slow means that it gets 0.3 of the time from the silence on.
	slow
	steady
)

// endPlay is calls through one gateway, whose upstreams fall silent together and end their answers after a time.
type endPlay struct {
	route   string
	framing framing
	calls   int
	// silence returns how long after the last piece the run of each call ends.
	silence func(random *rand.Rand) []time.Duration
	pace    pace
	// upload is the size in bytes of requests' bodies, of which upstreams read a part before the answers end; 0 for short ones.
	upload int
	// upstreams is the number of upstreams, attempts that of attempts that routes allow.
	upstreams, attempts int
	// ends are those of the runs of a request, one after the other; further runs are refused.
	ends []runEnd
}

// endCounts counts how calls ended for their callers.
type endCounts struct {
	// whole answers look complete and are, short ones look complete and are not, broken ones look incomplete.
	whole, short, broken int
	// refused calls got another status than 200, other answers have bytes that are none of theirs.
	refused, other int
	// ran counts calls that ran at an upstream, continued those that ran at a second one.
	ran, continued int
}

// probeID is the id of the request that finds out whether the gateway serves.
const probeID = "probe"

// endRun is an endPlay under way.
type endRun struct {
	*endPlay
	*fleet
	replicas []*fakes.Replica
	// silences are those of the requests by number.
	silences []time.Duration
	// allSilent is closed once all calls are silent or have ended, at silentAt.
	allSilent chan struct{}
	silentAt  time.Time
	stopped   chan struct{}

	mu sync.Mutex // guards the fields below
	// begun has the calls that are silent or have ended, runs the numbers of runs of those that have reached an upstream.
	begun map[string]bool
	runs  map[string]int
}

// play plays calls and returns how they ended.
func (p *endPlay) play(t *testing.T, seed uint64) endCounts {
	c := &endRun{
		endPlay: p, fleet: &fleet{t: t, store: fakes.NewStore()}, allSilent: make(chan struct{}), stopped: make(chan struct{}), runs: map[string]int{},
		begun: map[string]bool{},
	}
	random := rand.New(rand.NewPCG(seed, 54))
	c.silences = p.silence(random)
	c.start()
	var group sync.WaitGroup
	var mu sync.Mutex
	var counts endCounts
	for i := range p.calls {
		group.Go(func() {
			id := fmt.Sprint("call-", i)
			body, status, err := c.send(id)
			c.begin(id)
			mu.Lock()
			defer mu.Unlock()
			counts.add(p.route, body, status, err)
		})
	}
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	<-c.allSilent
	assert.NilError(t, c.disturb(done))
	<-done
	g := c.gateways[0]
	select {
	case err := <-g.exited:
		g.exited <- err
		t.Errorf("the gateway ended: %v", err)
	default:
	}
	counts.ran, counts.continued = len(c.runs), c.continued()
	// A gateway that has little time refuses calls that it can't place within a second.
	assert.Assert(t, counts.ran > 0, "no call reached an upstream: %+v", counts)
	if counts.ran+counts.refused > p.calls && !isPlain("/"+p.route+"/") {
		c.saveLog(g)
	}
	return counts
}

// begin records that a call is silent, or has ended.
func (c *endRun) begin(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun[id] {
		return
	}
	c.begun[id] = true
	if len(c.begun) == c.calls {
		c.silentAt = time.Now()
		close(c.allSilent)
	}
}

// continued returns how many calls ran at a second upstream.
func (c *endRun) continued() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, runs := range c.runs {
		if runs > 1 && len(c.ends) > 1 {
			n++
		}
	}
	return n
}

// start starts the upstreams and the gateway, and waits until it serves.
func (c *endRun) start() {
	c.t.Cleanup(func() {
		close(c.stopped)
		c.close()
		for _, r := range c.replicas {
			r.Close()
		}
	})
	config := fakes.Config(1, apiKey)
	if limits, ok := config["limits"].(map[string]any); ok {
		limits["maxBodyBytes"] = maxUpload
	}
	fakes.SetTimeouts(config, int(endTimeout.Milliseconds()))
	fakes.SetCapacity(config, endSlots)
	fakes.SetAttempts(config, c.attempts)
	c.store.Put(fakes.ConfigKey, config)
	service := fakes.EngineService
	if isPlain("/" + c.route + "/") {
		service = fakes.AppService
	}
	for i := range c.upstreams {
		r, err := fakes.NewReplica(fmt.Sprint("upstream-", i), c.serve)
		assert.NilError(c.t, err)
		if c.upload > 0 {
			r.LeaveUnread(int64(c.upload))
		}
		r.AddModel("small")
		description := r.Description(service, "zone-a", "ready")
		description["slots"] = endSlots
		c.store.Put(fakes.UpstreamKeyPrefix+r.Instance, description)
		c.replicas = append(c.replicas, r)
	}
	g := newGateway(c.t, "gate-0", c.store.Addr(), 1)
	assert.NilError(c.t, g.start())
	c.gateways = append(c.gateways, g)
	c.waitReady()
	for end := time.Now().Add(recoveryTime); ; time.Sleep(20 * time.Millisecond) {
		if _, status, err := c.send(probeID); err == nil && status == http.StatusOK {
			return
		}
		assert.Assert(c.t, time.Now().Before(end), "the gateway serves nothing")
	}
}

// serve runs a request.
func (c *endRun) serve(r *fakes.Request) {
	var number int
	if _, err := fmt.Sscanf(r.RequestID, "call-%d", &number); err != nil {
		beginAnswer(r, chunked)
		completeRun(r, chunked, 1)
		return
	}
	c.mu.Lock()
	run := c.runs[r.RequestID]
	c.runs[r.RequestID]++
	c.mu.Unlock()
	if run >= len(c.ends) {
		r.RejectFull()
		return
	}
	first := 1
	if r.LastEventID != "" {
		_, err := fmt.Sscan(r.LastEventID, &first)
		assert.Check(c.t, err)
		first++
	}
	if c.upload > 0 {
		go readSlowly(r.Request.Body)
	}
	beginAnswer(r, c.framing)
	writePieces(r, c.framing, first, first+piecesBefore-1)
	c.begin(r.RequestID)
	c.await(number)
	c.ends[run](r, c.framing, first+piecesBefore)
}

// readSlowly reads a body so that it takes some seconds to be sent, until its connection ends.
func readSlowly(body io.Reader) {
	buf := make([]byte, 64<<10)
	for {
		if _, err := io.ReadFull(body, buf); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// await waits for the end of the silence of a request.
func (c *endRun) await(number int) {
	select {
	case <-c.allSilent:
	case <-c.stopped:
		return
	}
	select {
	case <-time.After(time.Until(c.silentAt.Add(c.silences[number]))):
	case <-c.stopped:
	}
}

// send sends a request and returns its answer.
func (c *endRun) send(id string) (body string, status int, err error) {
	data := id
	if id != probeID {
		data += strings.Repeat("x", c.upload)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.gateways[0].public+"/"+c.route+"/a", strings.NewReader(data))
	if err != nil {
		return "", 0, err
	}
	model := "small"
	if isPlain("/" + c.route + "/") {
		model = ""
	}
	req.Header, req.Host = fakes.RequestHeader(id, apiKey, model, int(endTimeout.Milliseconds())), fakes.Host
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: endTimeout + time.Second}
	res, err := client.Do(req)
	if err != nil {
		return "", 0, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), res.StatusCode, err
}

// disturb stops the gateway, or makes it slow, until the answers have ended.
func (c *endRun) disturb(done <-chan struct{}) error {
	g := c.gateways[0]
	spell := func(stopped time.Duration) error {
		if err := g.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(stopped)
		return g.signal(syscall.SIGCONT)
	}
	switch c.pace {
	case steady:
		return nil
	case frozen:
		time.Sleep(time.Until(c.silentAt.Add(c.silences[0] - frozenBefore)))
		return spell(frozenBefore + frozenAfter)
	case slow:
	}
	for {
		if err := spell(slowStopped); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		case <-time.After(slowRunning):
		}
	}
}

// add counts an answer.
func (n *endCounts) add(route, body string, status int, err error) {
	if status != http.StatusOK && err == nil {
		n.refused++
		return
	}
	pieces := 0
	for ; pieces < allPieces; pieces++ {
		rest, found := strings.CutPrefix(body, numberedPiece("/"+route+"/", pieces+1))
		if !found {
			break
		}
		body = rest
	}
	switch {
	case body != "" && (err == nil || !errors.Is(err, io.ErrUnexpectedEOF)):
		n.other++
	case err != nil:
		n.broken++
	case pieces < allPieces:
		n.short++
	default:
		n.whole++
	}
}

// silenceBetween lets the answers of a play end after times between least and most: at once before a gateway that is frozen,
// one by one before others.
func (p *endPlay) silenceBetween(least, most time.Duration) {
	p.silence = func(random *rand.Rand) (out []time.Duration) {
		if p.pace == frozen {
			return slices.Repeat([]time.Duration{between(random, least, most)}, p.calls)
		}
		for range p.calls {
			out = append(out, between(random, least, most))
		}
		return out
	}
}

// slowCalls are the calls of a play before a slow gateway, uploadCalls those with long bodies, defaultCalls those of others.
const defaultCalls, slowCalls, uploadCalls = 20, 100, 10

// setCalls sets the number of calls.
func (p *endPlay) setCalls() {
	switch {
	case p.upload > 0:
		p.calls = uploadCalls
	case p.pace == slow:
		p.calls = slowCalls
	default:
		p.calls = defaultCalls
	}
}

// Guards against answers that look complete to callers although their connections were reset, at a gateway that is stopped for a while or
// gets little time.
func TestResetAnswersLookIncomplete(t *testing.T) {
	for name, p := range map[string]endPlay{
		"frozen, resumable":          {route: "talk", framing: closing},
		"frozen, resumable, chunked": {route: "talk", framing: chunked},
		"frozen, runs once":          {route: "stream", framing: closing},
		"frozen, plain":              {route: "read", framing: closing},
		"slow, resumable":            {route: "talk", framing: closing, pace: slow},
		"slow, resumable, chunked":   {route: "talk", framing: chunked, pace: slow},
		"slow, runs once":            {route: "stream", framing: closing, pace: slow},
		"slow, plain":                {route: "read", framing: closing, pace: slow},
	} {
		p.upstreams, p.attempts, p.ends = 1, 2, []runEnd{resetRun}
		p.setCalls()
		p.silenceBetween(300*time.Millisecond, 1800*time.Millisecond)
		if p.pace == slow {
			p.silenceBetween(1150*time.Millisecond, 2650*time.Millisecond)
		}
		for i := range *runCount {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				n := p.play(t, seed)
				t.Logf("%+v", n)
				assert.Check(t, n.short == 0, "%d of %d cut answers look complete", n.short, p.calls)
				assert.Check(t, n.broken+n.refused+n.short == p.calls, "not all answers were cut: %+v", n)
			})
		}
	}
}

// Guards against streams that look complete although the answer of the upstream that goes on with them after a silence was reset, and against
// those that are cut although it was whole.
func TestStreamsOfSuccessors(t *testing.T) {
	var continued atomic.Int64
	t.Cleanup(func() { assert.Check(t, continued.Load() > 0, "no other upstream was asked") })
	for name, p := range map[string]endPlay{
		"frozen, reset":             {ends: []runEnd{giveWay, resetRun}},
		"frozen, reset amid answer": {ends: []runEnd{giveWay, resetAmidRun}},
		"frozen, both reset":        {ends: []runEnd{resetRun, resetRun}},
		"frozen, first reset":       {ends: []runEnd{resetRun, completeRun}},
		"frozen, whole":             {ends: []runEnd{giveWay, completeRun}},
		"slow, reset":               {ends: []runEnd{giveWay, resetRun}, pace: slow},
		"slow, reset amid answer":   {ends: []runEnd{giveWay, resetAmidRun}, pace: slow},
		"slow, first reset":         {ends: []runEnd{resetRun, completeRun}, pace: slow},
		"slow, whole":               {ends: []runEnd{giveWay, completeRun}, pace: slow},
	} {
		for i := range *runCount {
			seed := *firstSeed + uint64(i)
			p.playSuccessors(t, name, seed, &continued)
		}
	}
}

// playSuccessors plays streams with which other upstreams go on, whose answers end while the gateway changes to them with odd seeds, later with
// even ones. Routes allow two or three attempts: with three, the gateway also looks at the connections of the successors. continued counts the
// streams that ran at a second upstream.
func (p endPlay) playSuccessors(t *testing.T, name string, seed uint64, continued *atomic.Int64) {
	p.route, p.framing, p.upstreams, p.attempts = "talk", closing, 2, 2+int(seed/2%2)
	p.setCalls()
	when := "after the change"
	p.silenceBetween(2300*time.Millisecond, 3*time.Second)
	if seed%2 == 1 {
		when = "at the change"
		p.silenceBetween(1150*time.Millisecond, 1600*time.Millisecond)
	}
	t.Run(fmt.Sprintf("%s %s, %d attempts, seed %d", name, when, p.attempts, seed), func(t *testing.T) {
		t.Parallel()
		n := p.play(t, seed)
		t.Logf("%+v", n)
		assert.Check(t, n.short == 0, "%d of %d cut streams look complete", n.short, p.calls)
		continued.Add(int64(n.continued))
		if strings.Contains(name, "whole") {
			assert.Check(t, n.whole == n.ran, "whole streams were cut: %+v", n)
		}
	})
}

// Guards against whole answers that count as lost, so that callers get none or a cut one: answers without a length that end in order while the
// gateway is stopped or gets little time, or amid a long request, and whose connections are reset afterwards; and answers in chunks that are reset
// after the last one, as upstreams do that close with bytes of the request unread. Without a length, such a reset is the only end of an answer,
// which may look complete to nobody.
func TestWholeAnswersAreNotLost(t *testing.T) {
	for name, p := range map[string]endPlay{
		"frozen":         {pace: frozen},
		"slow":           {pace: slow},
		"frozen, upload": {pace: frozen, upload: longUpload},
		"upload":         {pace: steady, upload: longUpload},
	} {
		for i, e := range []struct {
			name    string
			end     runEnd
			framing framing
		}{
			{"closed", completeRun, closing},
			{"reset at once", endInOrder(0), closing},
			{"reset later", endInOrder(300 * time.Millisecond), closing},
			{"chunked, closed", completeRun, chunked},
		} {
			for n := range *runCount {
				seed := *firstSeed + uint64(n)
				p.route = []string{"talk", "stream", "read", "once"}[(int(seed%4)+i)%4]
				p.ends, p.framing, p.upstreams, p.attempts = []runEnd{e.end}, e.framing, 1, 2
				p.playWhole(t, fmt.Sprintf("%s, %s, %s", name, p.route, e.name), seed, p.upload > 0 && e.name == "closed")
			}
		}
	}
}

// playWhole plays calls whose answers are written to their end. resetOnly is set if that end is nothing but a reset.
func (p endPlay) playWhole(t *testing.T, name string, seed uint64, resetOnly bool) {
	p.setCalls()
	p.silenceBetween(300*time.Millisecond, 2500*time.Millisecond)
	t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
		t.Parallel()
		n := p.play(t, seed)
		t.Logf("%+v", n)
		assert.Check(t, n.short+n.other == 0, "%+v", n)
		if !resetOnly {
			assert.Check(t, n.whole == n.ran, "%+v", n)
		}
	})
}
