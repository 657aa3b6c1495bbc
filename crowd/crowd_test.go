package crowd

import (
	"bufio"
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Sizes of crowds and machines. Those of CI are the defaults; others are for runs by hand.
var (
	callers   = flag.Int("crowd.callers", 400, "number of callers of a crowd")
	crowdTime = flag.Duration("crowd.time", 3*time.Second, "time for which a crowd lasts")
	megabytes = flag.Int("crowd.megabytes", 0, "memory of the machines of gateways on the platform, with 4,000 descriptors, in place of the tests' own; 0 is theirs")
)

// pieceDelay is the time between the pieces of callers that are slow.
const pieceDelay = 100 * time.Millisecond

// shape is what one caller of a crowd does on a connection, over and over until the crowd ends. It returns when the
// connection fails.
type shape func(ctx context.Context, c net.Conn)

// run runs all callers, each with the next target for each of its connections, and returns when they have ended.
func (p *process) run(next func() target) {
	ctx, cancel := context.WithTimeout(context.Background(), *crowdTime)
	defer cancel()
	var group sync.WaitGroup
	for range *callers {
		group.Go(func() {
			for ctx.Err() == nil {
				to := next()
				c, err := net.DialTimeout("tcp", to.address(p), time.Second)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					to.shape(ctx, c)
					stop()
					c.Close()
				}
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
	for ctx.Err() == nil {
		p.measure()
		sleep(ctx, 100*time.Millisecond)
	}
	group.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// begin returns the request line and the fields of a caller at a path, without the empty line that ends the head.
func begin(method, path string, fields ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + fakes.Host + "\r\nAuthorization: Bearer " + apiKey + "\r\n" + strings.Join(fields, "")
}

// shortFields returns fields of 3 to 5 bytes, with different names.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\n")
	}
	return b.String()
}

// send returns a shape that sends the text and then waits for the other side to close.
func send(text string) shape {
	return func(_ context.Context, c net.Conn) {
		if _, err := io.WriteString(c, text); err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
	}
}

// repeat returns a shape that sends the text once and then a piece without end, and never reads.
func repeat(text, piece string, delay time.Duration) shape {
	return func(ctx context.Context, c net.Conn) {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			if delay > 0 {
				sleep(ctx, delay)
			}
		}
	}
}

// length is the field for a body of n bytes.
func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	expects  = "Expect: 100-continue\r\n"
	headEnd  = "\r\n"
	legal    = 1 << 20
	headSize = 15 << 10
	longHead = 62 << 10
)

// target is what a caller does at an address of a process.
type target struct {
	address func(*process) string
	shape   shape
}

// entryTargets returns what crowds do at a gateway on the platform, by name.
func entryTargets() map[string]target {
	public := func(p *process) string { return p.public }
	ready := func(p *process) string { return p.ready }
	metrics := func(p *process) string { return p.metrics }
	few := shortFields(headSize)
	body := strings.Repeat("a", legal)
	oneByteChunks := strings.Repeat("1\r\na\r\n", 1000)
	return map[string]target{
		"short fields, no body":             {public, send(begin("POST", "/read/a", few, length(100), headEnd))},
		"short fields, head open":           {public, send(begin("POST", "/read/a", few))},
		"short fields, no route":            {public, send(begin("POST", "/nowhere", few, length(100), headEnd))},
		"long heads, no body":               {public, send(begin("POST", "/read/a", shortFields(longHead), length(100), headEnd))},
		"long heads, readiness":             {ready, send(begin("GET", "/readiness", shortFields(longHead)))},
		"long heads, metrics":               {metrics, send(begin("GET", "/debug/vars", shortFields(longHead)))},
		"long request line":                 {public, repeat("GET /", strings.Repeat("a", 4096), 0)},
		"head after a request":              {public, send(begin("GET", "/nowhere", headEnd) + begin("GET", "/nowhere", shortFields(3000)))},
		"sent ahead, readiness":             {ready, repeat("", strings.Repeat(begin("GET", "/readiness", headEnd), 20), 0)},
		"sent ahead, metrics":               {metrics, repeat("", strings.Repeat(begin("GET", "/debug/vars", headEnd), 20), 0)},
		"sent ahead, route":                 {public, repeat("", strings.Repeat(begin("GET", "/read/a", headEnd), 20), 0)},
		"sent ahead, no route":              {public, repeat("", strings.Repeat(begin("GET", "/nowhere", headEnd), 20), 0)},
		"one byte short":                    {public, send(begin("POST", "/read/a", length(legal), headEnd) + body[1:])},
		"one byte short, no key":            {public, send("POST /read/a HTTP/1.1\r\nHost: " + fakes.Host + headEnd + length(legal) + headEnd + body[1:])},
		"pieces":                            {public, repeat(begin("POST", "/read/a", length(legal), headEnd), body[:2000], pieceDelay)},
		"chunks of one byte":                {public, repeat(begin("POST", "/read/a", chunked, headEnd), oneByteChunks, pieceDelay)},
		"chunks without end":                {public, repeat(begin("POST", "/read/a", chunked, headEnd), "10000\r\n"+body[:1<<16]+headEnd, 0)},
		"chunk extension without end":       {public, repeat(begin("POST", "/read/a", chunked, headEnd)+"1;", body[:4096], 0)},
		"trailers without end":              {public, repeat(begin("POST", "/read/a", chunked, headEnd)+"0\r\n", "a:\r\n", 0)},
		"far over the limit":                {public, repeat(begin("POST", "/read/a", length(1<<30), headEnd), body[:1<<16], 0)},
		"far over the limit, no route":      {public, repeat(begin("POST", "/nowhere", length(1<<30), headEnd), body[:1<<16], 0)},
		"body at the readiness port":        {ready, repeat(begin("POST", "/readiness", length(1<<30), headEnd), body[:1<<16], 0)},
		"expects to continue":               {public, send(begin("POST", "/read/a", few, length(legal), expects, headEnd))},
		"head byte by byte":                 {public, repeat(begin("GET", "/read/a"), "a:\n", pieceDelay)},
		"large answers that nobody reads":   {public, repeat("", begin("GET", "/read/large", headEnd), pieceDelay)},
		"connections without a byte":        {public, send("")},
		"connections without a byte, ready": {ready, send("")},
		"other protocol":                    {public, send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + body[:1<<16])},
		"reset": {public, func(_ context.Context, c net.Conn) {
			_, _ = io.WriteString(c, begin("POST", "/read/a", length(legal), headEnd)+body[:1<<16])
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}},
	}
}

// Guards against a process that ends, hangs, or takes more memory or descriptors than its machine has, because of callers
// that keep to no limits, and against one that serves nobody afterwards.
func TestEntryOutlivesCrowds(t *testing.T) {
	for name, test := range entryTargets() {
		t.Run(name, func(t *testing.T) {
			p := startEntry(t)
			p.run(func() target { return test })
			p.check()
		})
	}
}

// Guards against bounds that hold for one kind of callers only, and not for all kinds together.
func TestEntryOutlivesMixedCrowd(t *testing.T) {
	all := slices.Collect(maps.Values(entryTargets()))
	p := startEntry(t)
	p.run(func() target { return all[rand.IntN(len(all))] })
	p.check()
}

// Guards against limits that refuse a single request within those of the configuration.
func TestEntryServesRequestsWithinLimits(t *testing.T) {
	p := startEntry(t)
	p.await("a request with parts after the start, until which the gateway may not know those that crash upstreams", func() bool {
		r := p.ordinary()
		fakes.SetPromptParts(r.Header, "first", "own")
		return p.answers(r)
	})
	body := strings.Repeat("a", legal)
	for name, text := range map[string]string{
		"short fields":       begin("POST", "/read/a", shortFields(headSize), length(6), headEnd) + "prompt",
		"long field":         begin("POST", "/read/a", "Long: "+body[:headSize]+headEnd, length(6), headEnd) + "prompt",
		"many parts":         begin("POST", "/read/a", fakes.PromptField(items(":1", ",")), length(6), headEnd) + "prompt",
		"many trailers":      begin("POST", "/read/a", chunked, "Trailer: "+differentItems(",")+"\r\n", headEnd) + "6\r\nprompt\r\n0\r\n\r\n",
		"many items":         begin("POST", "/read/a", "List: "+items("", ",")+"\r\n", length(6), headEnd) + "prompt",
		"longest body":       begin("POST", "/read/a", length(legal), headEnd) + body,
		"chunks of one byte": begin("POST", "/read/a", chunked, headEnd) + strings.Repeat("1\r\na\r\n", 10_000) + "0\r\n\r\n",
		"expects":            begin("POST", "/read/a", length(6), expects, headEnd) + "prompt",
		"sent ahead":         strings.Repeat(begin("GET", "/read/a", headEnd), 20),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", p.public)
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(recoveryTime)))
			_, err = io.WriteString(c, text)
			assert.NilError(t, err)
			in := bufio.NewReader(c)
			for status := http.StatusContinue; status != http.StatusOK; {
				res, err := http.ReadResponse(in, nil)
				assert.NilError(t, err)
				res.Body.Close()
				status = res.StatusCode
				assert.Assert(t, status == http.StatusOK || status == http.StatusContinue, "status %d", status)
			}
		})
	}
}

// Guards against a success that no upstream has given: net/http itself answers a request for all of the server, past the limits
// of the handlers.
func TestRequestForWholeServerIsNoSuccess(t *testing.T) {
	const text = "OPTIONS * HTTP/1.1\r\nHost: " + fakes.Host + "\r\nConnection: close\r\n\r\n"
	entry, gate, agent := startEntry(t), startGate(t), startAgent(t)
	for _, address := range []string{entry.public, entry.ready, entry.metrics, gate.public, gate.operators, gate.ready, agent.ready} {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(recoveryTime)))
		_, err = io.WriteString(c, text)
		assert.NilError(t, err)
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		res.Body.Close()
		assert.Check(t, res.StatusCode >= http.StatusBadRequest, "%s: %d", address, res.StatusCode)
	}
}

// streams returns what opens streams of a session between processes and sends so many bytes on each, without a handshake.
func streams(count, size int) string {
	var b []byte
	frame := func(kind byte, flags uint16, id, length int) {
		b = append(b, 0, kind)
		b = binary.BigEndian.AppendUint16(b, flags)
		b = binary.BigEndian.AppendUint32(b, uint32(id))
		b = binary.BigEndian.AppendUint32(b, uint32(length))
	}
	const (
		data, windowUpdate = 0, 1
		syn                = 1
	)
	for i := range count {
		frame(windowUpdate, syn, 2*i+1, 0)
		frame(data, 0, 2*i+1, size)
		b = append(b, make([]byte, size)...)
	}
	return string(b)
}

// Guards against the same at a gateway with agents, at its listeners for callers, operators, administration and peers.
func TestGateOutlivesCrowds(t *testing.T) {
	public := func(p *process) string { return p.public }
	operators := func(p *process) string { return p.operators }
	admin := func(p *process) string { return p.ready }
	peers := func(p *process) string { return p.peers }
	head := shortFields(longHead)
	body := strings.Repeat("a", legal)
	for name, test := range map[string]target{
		"short fields, head open":    {public, send(begin("POST", "/v1/completions", head))},
		"short fields, no body":      {public, send(begin("POST", "/v1/completions", head, "Content-Type: application/json\r\n", length(100), headEnd))},
		"short fields, no route":     {public, send(begin("POST", "/nowhere", head, length(100), headEnd))},
		"short fields, operators":    {operators, send(begin("GET", "/ops/v1/nodes", head))},
		"short fields, admin":        {admin, send(begin("GET", "/readyz", head))},
		"sent ahead":                 {public, repeat("", strings.Repeat(begin("GET", "/v1/models", headEnd), 20), 0)},
		"sent ahead, admin":          {admin, repeat("", strings.Repeat(begin("GET", "/debug/vars", headEnd), 20), 0)},
		"one byte short":             {public, send(begin("POST", "/v1/completions", "Content-Type: application/json\r\n", length(legal), headEnd) + body[1:])},
		"bodies, operators":          {operators, send(begin("PUT", "/ops/v1/teams/court", "Content-Type: application/json\r\n", length(legal), headEnd) + body[1:])},
		"connections without a byte": {public, send("")},
		"without a byte, operators":  {operators, send("")},
		"without a byte, admin":      {admin, send("")},
		"without a byte, peers":      {peers, send("")},
		"streams, peers":             {peers, send(streams(8, 128<<10))},
		"many streams, peers":        {peers, send(streams(600, 1))},
	} {
		t.Run(name, func(t *testing.T) {
			p := startGate(t)
			p.run(func() target { return test })
			p.check()
		})
	}
}
