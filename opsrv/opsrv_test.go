package opsrv_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/magnolialever/magnolialever/opsapi"
	"github.com/magnolialever/magnolialever/opsrv"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

const bootstrap = "bootstrap secret"

type token string

func (k token) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(k)}, nil
}

type fixture struct {
	t      *testing.T
	store  *memory
	config *inForce
	url    string
}

func serve(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: newMemory(), config: &inForce{s: tree.Empty()}}
	h, err := opsrv.New(opsrv.Options{Store: f.store, Config: f.config, BootstrapSecret: bootstrap, Now: time.Now})
	assert.NilError(t, err)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fixture) client(secret string) *opsapi.Client {
	f.t.Helper()
	c, err := opsapi.NewClient(f.url, token(secret))
	assert.NilError(f.t, err)
	return c
}

func (f *fixture) team() units.Revision {
	return put(f.t, f.store, f.config, "a", &tree.Team{
		Customers:   []tree.Customer{{ID: "court", Rate: 1, Burst: 1}},
		Credentials: []tree.Credential{{ID: "jana", Hash: tree.HashSecret("of a")}},
	})
}

func a(team string) opsapi.PutTeamParams { return opsapi.PutTeamParams{Team: team} }

func request(revision units.Revision, attempt, value string) *opsapi.PutTeam {
	return &opsapi.PutTeam{
		Revision: opsapi.Revision(revision), Attempt: opsapi.Attempt(attempt), Value: opsapi.Value(value),
	}
}

func code(err error) string {
	var e *opsapi.ErrorStatusCode
	if errors.As(err, &e) {
		return fmt.Sprint(e.StatusCode, " ", e.Response.Code)
	}
	return fmt.Sprint(err)
}

// Guards against operators that reach the value of another team, or without a
// credential.
func TestCredentials(t *testing.T) {
	f := serve(t)
	f.team()
	put(t, f.store, f.config, "b", &tree.Team{})
	put(t, f.store, f.config, tree.FleetTeam, &tree.Team{
		Credentials: []tree.Credential{{ID: "admin", Hash: tree.HashSecret("of fleet")}},
	})
	for _, c := range []struct {
		secret, team, want string
		teams              int
	}{
		{"of a", "a", "<nil>", 1},
		{"of a", "b", "403 forbidden", 1},
		{"of a", "fleet", "403 forbidden", 1},
		{"of fleet", "b", "<nil>", 3},
		{bootstrap, "a", "<nil>", 3},
		{"", "a", "401 invalid_credential", 0},
		{"other", "a", "401 invalid_credential", 0},
	} {
		_, err := f.client(c.secret).GetTeam(t.Context(), opsapi.GetTeamParams{Team: c.team})
		assert.Equal(t, code(err), c.want, "%s on %s", c.secret, c.team)
		_, err = f.client(c.secret).PutTeam(t.Context(), request(0, "x", "{}"), a(c.team))
		assert.Equal(t, code(err), c.want, "%s on %s", c.secret, c.team)
		_, err = f.client(c.secret).IssueKey(t.Context(), &opsapi.IssueKey{Attempt: "y", ID: "k", Customer: "none"},
			opsapi.IssueKeyParams{Team: c.team})
		assert.Equal(t, code(err), c.want, "%s on %s", c.secret, c.team)
		l, err := f.client(c.secret).ListTeams(t.Context())
		if err == nil {
			assert.Equal(t, len(l.Teams), c.teams, c.secret)
		}
	}
}

// Guards against a change that is written in a dry run, over another operator's
// change, or although it is wrong, and against one that is not told apart.
func TestPut(t *testing.T) {
	f := serve(t)
	r := f.team()
	c := f.client("of a")
	const value = `{"customers":[{"id":"court","rate":2,"burst":1}],"credentials":[{"id":"jana","hash":"%s"}]}`
	good := fmt.Sprintf(value, tree.HashSecret("of a"))

	dry := request(r, "1", good)
	dry.DryRun = opsapi.NewOptBool(true)
	res, err := c.PutTeam(t.Context(), dry, a("a"))
	assert.NilError(t, err)
	assert.Equal(t, len(res.(*opsapi.Accepted).Differences), 1)
	assert.Equal(t, f.store.swaps, 0)

	for text, path := range map[string]string{
		`{"customers":[{"id":"court","rate":0,"burst":1}]}`: "customers.0.rate",
		`{"custmers":[]}`:            "custmers",
		`{"customers":{}}`:           "customers",
		`null`:                       "",
		`{"limits":{"customers":9}}`: "limits",
	} {
		res, err = c.PutTeam(t.Context(), request(r, "2", text), a("a"))
		assert.NilError(t, err)
		assert.Equal(t, res.(*opsapi.Refused).Problems[0].Path, path, text)
	}

	res, err = c.PutTeam(t.Context(), request(r, "3", good), a("a"))
	assert.NilError(t, err)
	now := res.(*opsapi.Accepted).Revision
	assert.Equal(t, f.config.Snapshot().Revision("a"), units.Revision(now))

	res, err = c.PutTeam(t.Context(), request(r, "3", good), a("a"))
	assert.NilError(t, err)
	assert.Equal(t, res.(*opsapi.Accepted).Revision, now, "sent again")

	res, err = c.PutTeam(t.Context(), request(r, "4", `{}`), a("a"))
	assert.NilError(t, err)
	both := res.(*opsapi.Conflict)
	assert.Equal(t, string(both.Value), good)
	assert.Equal(t, string(both.Submitted), "{}")
	assert.Equal(t, both.Revision, now)

	h, err := c.GetHistory(t.Context(), opsapi.GetHistoryParams{Team: "a"})
	assert.NilError(t, err)
	assert.Equal(t, len(h.Changes), 1)
	assert.Equal(t, h.Changes[0].Who, "a/jana")
	assert.Equal(t, h.Changes[0].Summary, "customers changed: court")
}

// Guards against a secret that is stored, a key that does not work, and a withdrawal
// that is undone or lost.
func TestKeys(t *testing.T) {
	f := serve(t)
	f.team()
	c := f.client("of a")
	q := &opsapi.IssueKey{Attempt: "1", ID: "k", Customer: "court"}
	res, err := c.IssueKey(t.Context(), q, opsapi.IssueKeyParams{Team: "a"})
	assert.NilError(t, err)
	secret := res.(*opsapi.IssuedKey).Secret
	got, ok := f.config.Snapshot().Caller(tree.HashSecret(secret))
	assert.Assert(t, ok)
	assert.Equal(t, got.Customer, units.CustomerID("court"))
	assert.Assert(t, !strings.Contains(string(f.store.entries["a"].Value), secret))

	res, err = c.IssueKey(t.Context(), q, opsapi.IssueKeyParams{Team: "a"})
	assert.NilError(t, err)
	assert.Equal(t, res.(*opsapi.Refused).Problems[0].Path, "id", "the attempt was made before")

	for _, attempt := range []opsapi.Attempt{"2", "2", "3"} {
		w, err := c.WithdrawKey(t.Context(), &opsapi.WithdrawKey{Attempt: attempt},
			opsapi.WithdrawKeyParams{Team: "a", Key: "k"})
		assert.NilError(t, err)
		_, ok := w.(*opsapi.Accepted)
		assert.Assert(t, ok)
	}
	got, _ = f.config.Snapshot().Caller(tree.HashSecret(secret))
	assert.Assert(t, got.Withdrawn)
	w, err := c.WithdrawKey(t.Context(), &opsapi.WithdrawKey{Attempt: "4"}, opsapi.WithdrawKeyParams{Team: "a", Key: "x"})
	assert.NilError(t, err)
	assert.Equal(t, w.(*opsapi.Refused).Problems[0].Path, "key")
}

// Guards against reads that fail while the store is out, and a status that shows
// other teams.
func TestStoreOut(t *testing.T) {
	f := serve(t)
	r := f.team()
	put(t, f.store, f.config, "b", &tree.Team{})
	c := f.client("of a")
	f.store.script = []fault{down, down}
	v, err := c.GetTeam(t.Context(), opsapi.GetTeamParams{Team: "a"})
	assert.NilError(t, err)
	assert.Equal(t, v.Source, opsapi.TeamValueSourceSnapshot)
	assert.Equal(t, v.Revision, opsapi.Revision(r))
	_, err = c.PutTeam(t.Context(), request(r, "1", "{}"), a("a"))
	assert.Equal(t, code(err), "503 store_unavailable")
	st, err := c.GetStatus(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(st.Nodes[0].Versions), 1)
}

// Guards against a result that is not true: accepted without effect, refused or in
// conflict with effect, or an effect twice, whatever answers were lost.
func TestResultsAreTrue(t *testing.T) {
	f := serve(t)
	c := f.client(bootstrap)
	rapid.Check(t, func(t *rapid.T) {
		f.store.mu.Lock()
		f.store.entries = map[units.TeamID]syncer.Entry{}
		f.store.revision = 0
		f.store.mu.Unlock()
		for i := range rapid.IntRange(1, 3).Draw(t, "changes") {
			kinds := rapid.SampledFrom([]fault{none, none, down, lostAnswer, lostCall, late})
			script := rapid.SliceOfN(kinds, 0, 8).Draw(t, "faults")
			f.store.mu.Lock()
			f.store.script = script
			f.store.mu.Unlock()
			attempt := fmt.Sprint("attempt ", i)
			value := fmt.Sprintf(`{"models":[{"id":"m%d","bytes":1}]}`, i)
			res, err := c.PutTeam(context.Background(), request(f.store.entries["z"].Revision, attempt, value), a("z"))
			n := f.store.attempts("z")[units.AttemptID(attempt)]
			switch res.(type) {
			case *opsapi.Accepted:
				assert.Equal(t, n, 1, "accepted")
			case *opsapi.Unknown:
				assert.Assert(t, n <= 1, "unknown")
			default:
				assert.Equal(t, n, 0, "%T %v", res, err)
			}
		}
	})
}
