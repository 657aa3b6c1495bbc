package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// maxAttempts is the number of attempts that the routes allow.
const maxAttempts = 2

// uploadShare is the share of long requests, one in so many.
const uploadShare = 8

// uploadPadding makes the body of a request long.
var uploadPadding = strings.Repeat("x", uploadBytes)

// fewCallers and manyCallers are the numbers of callers that send requests one after the other. With many, as many requests are
// served although upstreams are silent for a part of the time.
const fewCallers, manyCallers = 16, 40

// record is what callers and upstreams saw, with the promises that were broken.
type record struct {
	mu sync.Mutex // guards the fields below
	// runs counts how often upstreams ran a request, refused holds those of which callers were told that
	// they have not run, once those that must run at most once.
	runs    map[string]int
	refused map[string]int
	once    map[string]bool
	// ranBehind has the links behind which upstreams ran a request, spoiled the requests with a fault in an answer.
	ranBehind map[string][]*link
	spoiled   map[string]bool
	// barred has the requests that may not run, and what it means if one does.
	barred     map[string]string
	deadlyEnds int
	served     map[string]int
	broken     []string
}

func newRecord() *record {
	return &record{
		runs: map[string]int{}, refused: map[string]int{}, barred: map[string]string{}, once: map[string]bool{}, served: map[string]int{},
		ranBehind: map[string][]*link{}, spoiled: map[string]bool{},
	}
}

// addRun counts a run of a request behind a link, and returns its number.
func (r *record) addRun(id string, l *link) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.ranBehind[id] = append(r.ranBehind[id], l)
	return r.runs[id]
}

func (r *record) addDeadlyEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadlyEnds++
}

// addAnswer records how a request ended for its caller. A status of 0 is a broken connection.
func (r *record) addAnswer(kind, id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case http.StatusOK:
		r.served[kind]++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.refused[id] = status
	}
	if kind == "once" {
		r.once[id] = true
	}
}

// bar records that a request, which is not sent yet, may not run.
func (r *record) bar(id, meaning string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.barred[id] = meaning
}

// breach records a broken promise.
func (r *record) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// check adds the promises that can be checked once all requests have ended, and returns all broken ones.
func (r *record) check() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.once {
		if r.runs[id] > 1 {
			r.broken = append(r.broken, fmt.Sprintf("request %s, which must not be repeated, ran %d times", id, r.runs[id]))
		}
		if status := r.refused[id]; status != 0 && r.runs[id] > 0 {
			r.broken = append(r.broken, fmt.Sprintf("request %s was answered %d and ran", id, status))
		}
	}
	for id, meaning := range r.barred {
		if r.runs[id] > 0 {
			r.broken = append(r.broken, fmt.Sprintf("request %s ran: %s", id, meaning))
		}
	}
	for id, n := range r.runs {
		if n > maxAttempts {
			r.broken = append(r.broken, fmt.Sprintf("request %s ran %d times, %d are allowed", id, n, maxAttempts))
		}
	}
	return r.broken
}

// caller sends requests on connections that it keeps.
type caller struct {
	fleet  *fleet
	number int
	client http.Client
	random *rand.Rand
}

func newCaller(f *fleet, number int, seed uint64) *caller {
	return &caller{
		fleet: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))),
		client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// run sends requests until the context is done; a request under way is completed.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		g := c.fleet.gateways[c.random.IntN(gatewayCount)]
		switch kind := []string{"once", "read", "stream", "talk", "talk", "deadly", "route", "key"}[c.random.IntN(8)]; kind {
		case "route":
			c.sendOnRoute(g, i)
		case "key":
			c.sendWithKey(g, i)
		default:
			q := newCall(kind, fmt.Sprintf("%s-%d-%d", kind, c.number, i))
			q.upload = c.fleet.endings && kind != "deadly" && c.random.IntN(uploadShare) == 0
			c.send(g, q)
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// call is a request to send.
type call struct {
	kind, id, path, model, key string
	// upload is set if its body is long, so that upstreams answer before they have read it.
	upload bool
}

// newCall returns a call of a kind.
func newCall(kind, id string) call {
	q := call{kind: kind, id: id, path: kind, key: apiKey}
	switch kind {
	case "talk", "deadly":
		q.path, q.model = "talk", "small"
	case "stream":
		q.model = "small"
	}
	return q
}

// send sends a request and checks its answer. It returns the status; 0 if the connection broke.
func (c *caller) send(g *gateway, q call) int {
	id := q.id
	sent := id
	if q.upload {
		sent += uploadPadding
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.public+"/"+q.path+"/a", strings.NewReader(sent))
	if err != nil {
		c.fleet.record.breach("request %s: %v", id, err)
		return 0
	}
	req.Header, req.Host = fakes.RequestHeader(id, q.key, q.model, 4000), fakes.Host
	switch q.kind {
	case "talk", "stream":
		fakes.SetPromptParts(req.Header, "shared", fmt.Sprint("session", c.random.IntN(20)), "own-"+id)
	case "deadly":
		fakes.SetPromptParts(req.Header, "shared", deadlyPart, "own-"+id)
	}
	stops := watchStops(g)
	res, err := c.client.Do(req)
	if err != nil {
		stops.check(c.fleet.record, id, 0, false)
		c.fleet.record.addAnswer(q.kind, id, 0)
		return 0
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	stops.check(c.fleet.record, id, res.StatusCode, err == nil)
	c.fleet.record.addAnswer(q.kind, id, res.StatusCode)
	if !fakes.IsAnswerTo(res.Header, id) {
		c.fleet.record.breach("request %s: answer with the head of another one: %v", id, res.Header)
	}
	if res.StatusCode == http.StatusOK {
		c.checkBody(q.kind, id, string(body), err == nil)
	}
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// checkBody checks the body of a success.
func (c *caller) checkBody(kind, id, body string, complete bool) {
	if kind == "deadly" {
		c.fleet.record.breach("request %s with a deadly part was served: %q", id, body)
		return
	}
	if fault := bodyFault(kind, id, body, complete); fault != "" {
		c.fleet.record.breach("request %s: %s: %q", id, fault, body)
	}
}
