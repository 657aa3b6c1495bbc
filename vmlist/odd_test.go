package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/units"
	"github.com/magnolialever/magnolialever/vmlist"
)

const (
	soundVM = `{"id":"u1","role":"upstream","address":"10.0.0.1:80","zone":"a","state":"live"}`
	nested  = `{"id":"odd","role":"upstream","address":"10.0.0.2:80","state":"live","more":`
)

// pollOnce returns the list after the first poll of a service that answers with the body, nil if the poll fails.
func pollOnce(t *testing.T, body string) (*vmlist.List, vmlist.Counters) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	c := vmlist.New(vmlist.Options{Address: s.Listener.Addr().String(), Interval: 5 * clock.Millisecond})
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	eventually(t, "three polls", func() bool { return c.Counters().Polls > 3 })
	cancel()
	assert.NilError(t, <-ended)
	return c.List(), c.Counters()
}

// Guards against one odd entry that costs all others, or that is taken for a VM.
func TestOddEntryLeavesOthers(t *testing.T) {
	for name, odd := range map[string]string{
		"number as id": `{"id":7}`, "null": `null`, "list": `[]`, "number": `1e999`, "number of a thousand digits": strings.Repeat("9", 1000),
		"deep":        strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"deep member": nested + strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000) + "}",
		"port":        `{"id":"odd","role":"upstream","address":"10.0.0.2:99999","state":"live"}`,
		"port 0":      `{"id":"odd","role":"upstream","address":"10.0.0.2:0","state":"live"}`,
		"no port":     `{"id":"odd","role":"upstream","address":"10.0.0.2","state":"live"}`,
		"no id":       `{"role":"upstream","address":"10.0.0.2:80","state":"live"}`,
		"state":       `{"id":"odd","role":"upstream","address":"10.0.0.2:80","state":"asleep"}`,
	} {
		for _, body := range []string{"[" + odd + "," + soundVM + "]", "[" + soundVM + "," + odd + "]"} {
			l, counters := pollOnce(t, body)
			assert.Assert(t, l != nil, "%s: no list", name)
			assert.Equal(t, len(l.VMs), 1, name)
			assert.Equal(t, string(l.VMs[0].ID), "u1", name)
			assert.Equal(t, counters.Errors, int64(0), name)
		}
	}
}

// Guards against an answer that lists no VM that can be read, or is none or a part of one, that ends the use of
// all VMs: the last list stays in use.
func TestAnswerWithoutListIsFailedPoll(t *testing.T) {
	for _, body := range []string{`null`, `{}`, ``, `[null]`, "[" + soundVM, "[" + soundVM + "]]"} {
		l, counters := pollOnce(t, body)
		assert.Assert(t, l == nil, "%q was taken for a list", body)
		assert.Assert(t, counters.Errors > 0)
	}
	l, _ := pollOnce(t, " [] \n")
	assert.Equal(t, len(l.VMs), 0)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("[" + soundVM + `,null,{"id":[]},{"id":"a","role":"entry","address":"a:0","state":"live"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, _ := vmlist.Decode(data)
		for _, v := range list {
			if v.ID == "" || !units.IsAddress(v.Address) || v.Role != vmlist.Entry && v.Role != vmlist.Upstream {
				t.Errorf("took %+v for a VM", v)
			}
		}
	})
}
