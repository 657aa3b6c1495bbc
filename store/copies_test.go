package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/clock"
	"github.com/magnolialever/magnolialever/fakes/raw"
	"github.com/magnolialever/magnolialever/store"
)

// Guards against a copy of an earlier answer of the store that counts as that to the next call: a rejected write that is held
// for done, an ended lease for renewed, a lease that is granted twice, and a value of an earlier moment.
func TestCopyIsNotAnswerOfNextCall(t *testing.T) {
	answers := map[string]string{
		"/v3/kv/txn":          `{"header":{"revision":"%[1]d"},"succeeded":%[2]v}`,
		"/v3/lease/keepalive": `{"result":{"ID":"5","TTL":"%[3]d"}}`,
		"/v3/lease/grant":     `{"ID":"%[1]d","TTL":"5"}`,
		"/v3/kv/range":        `{"kvs":[{"key":"YQ==","mod_revision":"%[1]d"}]}`,
	}
	ctx := context.Background()
	for name, c := range map[string]struct {
		call  func(s *store.Client) (int64, error)
		sound func(first, second int64, err error) bool
	}{
		"write": {func(s *store.Client) (int64, error) {
			r, err := s.CompareAndSwap(ctx, "a", 1, nil, 0)
			return int64(r), err
		}, func(_, _ int64, err error) bool { return errors.Is(err, store.ErrConflict) }},
		"renewal": {func(s *store.Client) (int64, error) {
			_, err := s.RenewLease(ctx, 5)
			return 0, err
		}, func(_, _ int64, err error) bool { return errors.Is(err, store.ErrNotFound) }},
		"lease": {func(s *store.Client) (int64, error) {
			id, err := s.GrantLease(ctx, clock.Second)
			return int64(id), err
		}, func(first, second int64, err error) bool { return err == nil && first != second }},
		"read": {func(s *store.Client) (int64, error) {
			e, err := s.Get(ctx, "a")
			return int64(e.Revision), err
		}, func(first, second int64, err error) bool { return err == nil && second > first }},
	} {
		server, err := raw.StartCopying(func(r *raw.Request) string {
			return raw.Answer(http.StatusOK, fmt.Sprintf(answers[r.URL.Path], r.Number, r.Number == 1, max(2-r.Number, 0)))
		})
		assert.NilError(t, err)
		s := store.New(store.Options{Address: server.Addr()})
		first, err := c.call(s)
		assert.NilError(t, err, name)
		second, err := c.call(s)
		assert.Check(t, c.sound(first, second, err), "%s: %d after %d, %v", name, second, first, err)
		s.Close()
		server.Close()
	}
}
