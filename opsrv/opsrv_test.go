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

const bootstrapSecret = "bootstrap secret"

// secretSource is the secret that a client authenticates with.
type secretSource string

func (k secretSource) Operator(context.Context, opsapi.OperationName) (opsapi.Operator, error) {
	return opsapi.Operator{Token: string(k)}, nil
}

// fixture is an operator API server with its store.
type fixture struct {
	t      *testing.T
	store  *memoryStore
	config *mergedConfig
	url    string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, store: newMemoryStore(), config: &mergedConfig{snapshot: tree.Empty(), reach: syncer.Reach{Using: 1, Gateways: 1}}}
	h, err := opsrv.New(opsrv.Options{Store: f.store, Config: f.config, BootstrapSecret: bootstrapSecret, Now: time.Now})
	assert.NilError(t, err)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

func (f *fixture) client(secret string) *opsapi.Client {
	f.t.Helper()
	c, err := opsapi.NewClient(f.url, secretSource(secret))
	assert.NilError(f.t, err)
	return c
}

// putTeamA stores a configuration of team a with the credential "secret of a".
func (f *fixture) putTeamA() units.Revision {
	return putTeam(f.t, f.store, f.config, "a", &tree.Team{
		Customers:   []tree.Customer{{ID: "court", Rate: 1, Burst: 1}},
		Credentials: []tree.Credential{{ID: "jana", Hash: tree.HashSecret("secret of a")}},
	})
}

func teamParams(team string) opsapi.PutTeamParams { return opsapi.PutTeamParams{Team: team} }

func putRequest(revision units.Revision, attempt, value string) *opsapi.PutTeam {
	return &opsapi.PutTeam{
		Revision: opsapi.Revision(revision), Attempt: opsapi.Attempt(attempt), Value: opsapi.Value(value),
	}
}

// errorCode returns the HTTP status and the code of an error response.
func errorCode(err error) string {
	var e *opsapi.ErrorStatusCode
	if errors.As(err, &e) {
		return fmt.Sprint(e.StatusCode, " ", e.Response.Code)
	}
	return fmt.Sprint(err)
}

// Guards against access to the configuration of another team, or without a credential.
func TestCredentials(t *testing.T) {
	f := newFixture(t)
	f.putTeamA()
	putTeam(t, f.store, f.config, "b", &tree.Team{})
	putTeam(t, f.store, f.config, tree.FleetTeam, &tree.Team{
		Credentials: []tree.Credential{{ID: "admin", Hash: tree.HashSecret("secret of fleet")}},
	})
	for _, c := range []struct {
		secret, team, want string
		teams              int
	}{
		{"secret of a", "a", "<nil>", 1},
		{"secret of a", "b", "403 forbidden", 1},
		{"secret of a", "fleet", "403 forbidden", 1},
		{"secret of fleet", "b", "<nil>", 3},
		{bootstrapSecret, "a", "<nil>", 3},
		{"", "a", "401 invalid_credential", 0},
		{"other", "a", "401 invalid_credential", 0},
	} {
		_, err := f.client(c.secret).GetTeam(t.Context(), opsapi.GetTeamParams{Team: c.team})
		assert.Equal(t, errorCode(err), c.want, "%s on %s", c.secret, c.team)
		_, err = f.client(c.secret).PutTeam(t.Context(), putRequest(0, "x", "{}"), teamParams(c.team))
		assert.Equal(t, errorCode(err), c.want, "%s on %s", c.secret, c.team)
		_, err = f.client(c.secret).IssueKey(t.Context(), &opsapi.IssueKey{Attempt: "y", ID: "k", Customer: "none"},
			opsapi.IssueKeyParams{Team: c.team})
		assert.Equal(t, errorCode(err), c.want, "%s on %s", c.secret, c.team)
		l, err := f.client(c.secret).ListTeams(t.Context())
		if err == nil {
			assert.Equal(t, len(l.Teams), c.teams, c.secret)
		}
	}
}

// Guards against writing a change in a dry run, over another operator's change, or although it is
// invalid, and against a response that doesn't identify the problem or the conflict.
func TestPut(t *testing.T) {
	f := newFixture(t)
	r := f.putTeamA()
	c := f.client("secret of a")
	const value = `{"customers":[{"id":"court","rate":2,"burst":1}],"credentials":[{"id":"jana","hash":"%s"}]}`
	good := fmt.Sprintf(value, tree.HashSecret("secret of a"))

	dryRun := putRequest(r, "1", good)
	dryRun.DryRun = opsapi.NewOptBool(true)
	res, err := c.PutTeam(t.Context(), dryRun, teamParams("a"))
	assert.NilError(t, err)
	assert.Equal(t, len(res.(*opsapi.Accepted).Differences), 1)
	assert.Equal(t, f.store.swapCalls, 0)

	for text, path := range map[string]string{
		`{"customers":[{"id":"court","rate":0,"burst":1}]}`: "customers.0.rate",
		`{"custmers":[]}`:            "custmers",
		`{"customers":{}}`:           "customers",
		`null`:                       "",
		`{"limits":{"customers":9}}`: "limits",
	} {
		res, err = c.PutTeam(t.Context(), putRequest(r, "2", text), teamParams("a"))
		assert.NilError(t, err)
		assert.Equal(t, res.(*opsapi.Refused).Problems[0].Path, path, text)
	}

	res, err = c.PutTeam(t.Context(), putRequest(r, "3", good), teamParams("a"))
	assert.NilError(t, err)
	written := res.(*opsapi.Accepted).Revision
	assert.Equal(t, f.config.Snapshot().Revision("a"), units.Revision(written))

	res, err = c.PutTeam(t.Context(), putRequest(r, "3", good), teamParams("a"))
	assert.NilError(t, err)
	assert.Equal(t, res.(*opsapi.Accepted).Revision, written, "a repeated attempt must not write again")

	res, err = c.PutTeam(t.Context(), putRequest(r, "4", `{}`), teamParams("a"))
	assert.NilError(t, err)
	conflict := res.(*opsapi.Conflict)
	assert.Equal(t, string(conflict.Value), good)
	assert.Equal(t, string(conflict.Submitted), "{}")
	assert.Equal(t, conflict.Revision, written)

	h, err := c.GetHistory(t.Context(), opsapi.GetHistoryParams{Team: "a"})
	assert.NilError(t, err)
	assert.Equal(t, len(h.Changes), 1)
	assert.Equal(t, h.Changes[0].Who, "a/jana")
	assert.Equal(t, h.Changes[0].Summary, "customers changed: court")
}

// Guards against a stored secret, an issued key that is not accepted, and a withdrawal that is
// undone or lost.
func TestKeys(t *testing.T) {
	f := newFixture(t)
	f.putTeamA()
	c := f.client("secret of a")
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
	assert.Equal(t, res.(*opsapi.Refused).Problems[0].Path, "id", "a repeated attempt must not return a secret")

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

// Guards against a withdrawal that is confirmed to the operator while most gateways may go on with the key.
func TestWithdrawalThatReachesFewGatewaysIsWarnedOf(t *testing.T) {
	f := newFixture(t)
	f.putTeamA()
	c := f.client("secret of a")
	_, err := c.IssueKey(t.Context(), &opsapi.IssueKey{Attempt: "1", ID: "k", Customer: "court"}, opsapi.IssueKeyParams{Team: "a"})
	assert.NilError(t, err)
	f.config.reach = syncer.Reach{Using: 1, Gateways: 3}
	w, err := c.WithdrawKey(t.Context(), &opsapi.WithdrawKey{Attempt: "2"}, opsapi.WithdrawKeyParams{Team: "a", Key: "k"})
	assert.NilError(t, err)
	warnings := w.(*opsapi.Accepted).Warnings
	assert.Equal(t, len(warnings), 1)
	assert.Assert(t, strings.Contains(warnings[0].Text, "1 of 3 gateways"), warnings[0].Text)
	f.config.reach = syncer.Reach{Using: 2, Gateways: 3}
	w, err = c.WithdrawKey(t.Context(), &opsapi.WithdrawKey{Attempt: "3"}, opsapi.WithdrawKeyParams{Team: "a", Key: "k"})
	assert.NilError(t, err)
	assert.Equal(t, len(w.(*opsapi.Accepted).Warnings), 0)
}

// Guards against reads that fail while the store is unavailable, and a status that shows other
// teams.
func TestStoreUnavailable(t *testing.T) {
	f := newFixture(t)
	r := f.putTeamA()
	putTeam(t, f.store, f.config, "b", &tree.Team{})
	c := f.client("secret of a")
	f.store.faults = []fault{faultUnavailable, faultUnavailable}
	v, err := c.GetTeam(t.Context(), opsapi.GetTeamParams{Team: "a"})
	assert.NilError(t, err)
	assert.Equal(t, v.Source, opsapi.TeamValueSourceSnapshot)
	assert.Equal(t, v.Revision, opsapi.Revision(r))
	_, err = c.PutTeam(t.Context(), putRequest(r, "1", "{}"), teamParams("a"))
	assert.Equal(t, errorCode(err), "503 store_unavailable")
	st, err := c.GetStatus(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(st.Nodes[0].Versions), 1)
}

// Guards against a wrong result when requests or responses to the store are lost or delayed: a
// change that was accepted but not written, refused or in conflict but written, or written twice.
func TestReportedResults(t *testing.T) {
	f := newFixture(t)
	c := f.client(bootstrapSecret)
	rapid.Check(t, func(t *rapid.T) {
		f.store.mu.Lock()
		f.store.entries = map[units.TeamID]syncer.Entry{}
		f.store.revision = 0
		f.store.mu.Unlock()
		for i := range rapid.IntRange(1, 3).Draw(t, "changes") {
			kinds := rapid.SampledFrom([]fault{faultNone, faultNone, faultUnavailable, faultResponseLost, faultRequestLost, faultDelayedWrite})
			script := rapid.SliceOfN(kinds, 0, 8).Draw(t, "faults")
			f.store.mu.Lock()
			f.store.faults = script
			f.store.mu.Unlock()
			attempt := fmt.Sprint("attempt ", i)
			value := fmt.Sprintf(`{"models":[{"id":"m%d","bytes":1}]}`, i)
			res, err := c.PutTeam(context.Background(), putRequest(f.store.entries["z"].Revision, attempt, value), teamParams("z"))
			n := f.store.attemptCounts("z")[units.AttemptID(attempt)]
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
