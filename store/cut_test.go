package store_test

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/store"
)

// Guards against an answer without a length that is cut and counts as a shorter one: a list without its last keys, an empty one, or a
// write that was carried out.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		answer string
		call   func(s *store.Client) error
	}{
		"list": {`{"header":{"revision":"9"},"kvs":[{"key":"YQ==","mod_revision":"1"},{"key":"Yg==","mod_revision":"2"}],"more":false}`,
			func(s *store.Client) error {
				_, _, err := s.List(ctx, "")
				return err
			}},
		"write": {`{"header":{"revision":"9"},"succeeded":true}`, func(s *store.Client) error {
			_, err := s.CompareAndSwap(ctx, "a", 1, nil, 0)
			return err
		}},
		"lease": {`{"ID":"5","TTL":"5"}`, func(s *store.Client) error {
			_, err := s.GrantLease(ctx, clock.Second)
			return err
		}},
		"revocation": {`{}`, func(s *store.Client) error { return s.RevokeLease(ctx, 5) }},
	} {
		for cut := range len(c.answer) + 1 {
			server, err := raw.Start(func(r *raw.Request) error {
				_ = r.Write("HTTP/1.1 200 OK\r\n\r\n" + c.answer[:cut]) // the client may have closed the connection
				return io.EOF
			})
			assert.NilError(t, err)
			s := store.New(store.Options{Address: server.Addr()})
			err = c.call(s)
			assert.Check(t, (err == nil) == (cut == len(c.answer)), "%s of %d bytes of %d: %v", name, cut, len(c.answer), err)
			s.Close()
			server.Close()
		}
	}
}
