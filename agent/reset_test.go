package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/agent"
	"github.com/magnolialever/magnolialever/wire"
)

// longBody is the size of a request that is still sent when its answer begins.
const longBody = 3 << 20

// Guards against an answer without a length that looks complete, to its caller or among the results of calls that must not be
// repeated, although its connection was reset while a long request was still sent.
func TestResetAmidLongRequestIsNoEnd(t *testing.T) {
	const requests = 100
	for name, answer := range map[string]string{
		"body":   textHead + strings.Repeat("piece\n", 3),
		"stream": streamHead + strings.Repeat(token, 3),
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				upstream, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				served := make(chan struct{})
				go func() {
					defer close(served)
					answerAndReset(upstream, answer)
				}()
				defer func() {
					upstream.Close()
					<-served
				}()
				ta := startAgent(t, http.NotFoundHandler(), func(o *agent.Options) { o.Upstream.Address = upstream.Addr().String() })
				body := []byte(strings.Repeat("x", longBody))
				begun, whole, stored := 0, 0, 0
				for n := 0; n < requests; {
					id := fmt.Sprint("a", n)
					res := readResponse(t, ta.call(&wire.Call{Attempt: id, Kind: "service", Idempotent: idempotent, Body: body}))
					if res.refuse.GetCode() == "cold_limit" {
						// The agent may still count the call before.
						continue
					}
					n++
					if len(res.parts) > 0 {
						begun++
					}
					if res.done != nil {
						whole++
					} else {
						// The agent can't tell a lost connection of a service from its crash.
						assert.Check(t, res.refuse.Ran && res.refuse.Crashed, "%v", res.refuse)
					}
					if !idempotent && queryOutcome(t, ta.openControl(), id, 0).State == "done" {
						stored++
					}
				}
				assert.Check(t, begun > 0, "no answer began before the reset")
				assert.Check(t, whole == 0 && stored == 0, "%d of %d answers look complete, %d are stored", whole, requests, stored)
			})
		}
	}
}

// answerAndReset answers each request on a connection of its own at once, reads on and resets the connection amid the body of the
// request. It returns when the listener is closed.
func answerAndReset(l net.Listener, answer string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, answer) // the agent may have closed the connection
			_, _ = io.CopyN(io.Discard, in, longBody/8)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
