package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/opsrv"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
	"github.com/magnolialever/magnolialever/units"
)

// standins is a store in memory with the configuration in force.
type standins struct {
	mu       sync.Mutex
	snapshot *tree.Snapshot
	revision units.Revision
	lost     int // answers of changes that are still to be lost
}

func (p *standins) Get(_ context.Context, team units.TeamID) (syncer.Entry, error) {
	s := p.Snapshot()
	if s.Team(team) == nil {
		return syncer.Entry{}, opsrv.ErrMissing
	}
	return syncer.Entry{Team: team, Revision: s.Revision(team), Value: s.Data(team)}, nil
}

func (*standins) List(context.Context) ([]syncer.Entry, error) { return nil, nil }

func (p *standins) Swap(_ context.Context, team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot.Revision(team) != old {
		return 0, opsrv.ErrConflict
	}
	p.revision++
	var err error
	p.snapshot, _, err = p.snapshot.Merge(team, p.revision, v)
	return p.revision, err
}

func (p *standins) Snapshot() *tree.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot
}

func (*standins) MergeWritten(syncer.Entry) {}

func (p *standins) Nodes(context.Context) ([]syncer.Node, error) {
	v := syncer.NodeVersion{Version: tree.Version{Team: "a", Revision: 1}}
	old := syncer.NodeVersion{Version: tree.Version{Team: "a"}}
	return []syncer.Node{
		{ID: "n0", Gateway: true, Versions: []syncer.NodeVersion{v}},
		{ID: "n1", Versions: []syncer.NodeVersion{old}},
	}, nil
}

func (p *standins) serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		lose := r.Method == http.MethodPut && p.lost > 0
		if lose {
			p.lost--
		}
		p.mu.Unlock()
		if lose {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return s.URL
}

func start(t *testing.T) *standins {
	t.Helper()
	p := &standins{snapshot: tree.Empty()}
	h, err := opsrv.New(opsrv.Options{Store: p, Config: p, Bootstrap: "secret", Now: time.Now})
	assert.NilError(t, err)
	t.Setenv("MAGNOLIALEVER_ADDRESS", p.serve(t, h))
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "secret")
	return p
}

// execute runs a command, as in a new process, and returns its exit code and output.
func execute(t *testing.T, args ...string) (int, string) {
	t.Helper()
	for _, c := range commands {
		reflect.ValueOf(c.command).Elem().SetZero()
	}
	var b bytes.Buffer
	stdout = &b
	defer func() { stdout = os.Stdout }()
	code := Main(args)
	return code, b.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "a.json")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const example = `{
  // The courts of the capital.
  "team": "a",
  "value": {
    "customers": [
      {"id": "court", "rate": 10, "burst": 20},
    ],
  },
}`

// Guards against exit codes and outputs that differ from the design page.
func TestCommands(t *testing.T) {
	p := start(t)
	name := file(t, example)
	code, out := execute(t, "apply", "--dry-run", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "dry run, revision 0"), out)
	assert.Assert(t, p.Snapshot().Team("a") == nil)

	code, out = execute(t, "diff", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "added   customers  court"), out)
	code, out = execute(t, "apply", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "accepted, revision 1"), out)

	code, out = execute(t, "get", "a", "-o", "json")
	assert.Equal(t, code, exitOK)
	old := file(t, out)
	code, out = execute(t, "keys", "issue", "--team", "a", "--customer", "court", "k")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "mlk_"), out)
	code, out = execute(t, "apply", old, "-o", "json")
	assert.Equal(t, code, exitConflict)
	var o outcome
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.Result, "conflict")

	code, _ = execute(t, "keys", "withdraw", "--team", "a", "k")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, p.Snapshot().Team("a").Keys[0].Withdrawn)
	code, _ = execute(t, "zone", "out", "z1")
	assert.Equal(t, code, exitOK)
	code, _ = execute(t, "upstream", "out", "u1")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, p.Snapshot().ZoneExcluded("z1") && p.Snapshot().UpstreamExcluded("u1"))
	code, _ = execute(t, "zone", "back", "z1")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, !p.Snapshot().ZoneExcluded("z1"))

	code, out = execute(t, "status")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "behind"), out)
	code, out = execute(t, "history", "--team", "a")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, strings.Count(out, "fleet/bootstrap"), 3)
	code, out = execute(t, "get")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "fleet"), out)
}

// Guards against a mistake that is reported without its place, or as a failure of
// the system.
func TestMistakes(t *testing.T) {
	start(t)
	code, _ := execute(t, "zone", "away", "z1")
	assert.Equal(t, code, exitUsage)
	code, _ = execute(t, "apply", file(t, strings.Replace(example, "10", `"x"`, 1)))
	assert.Equal(t, code, exitUsage)
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "wrong")
	code, _ = execute(t, "apply", file(t, example))
	assert.Equal(t, code, exitFailure)
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "")
	code, _ = execute(t, "status")
	assert.Equal(t, code, exitUsage)

	// Only the gateway knows whether a base model exists.
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "secret")
	name := file(t, "{\"team\": \"a\", \"value\": {\"adapters\": [\n{\"id\": \"x\",\n\"base\": \"none\", \"bytes\": 1}]}}")
	var a applyCommand
	a.Client = clientOptions{Address: os.Getenv("MAGNOLIALEVER_ADDRESS"), Credential: "secret"}
	a.Args.File = name
	err := a.Execute(nil)
	assert.ErrorContains(t, err, name+":3: value.adapters.0.base: ")
}

// Guards against a lost answer that is taken for a failure or for success.
func TestLostAnswers(t *testing.T) {
	p := start(t)
	name := file(t, example)
	code, _ := execute(t, "apply", name)
	assert.Equal(t, code, exitOK)
	p.lost = 1
	code, _ = execute(t, "zone", "out", "z1")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, p.revision, units.Revision(2), "sent twice, made once")
	p.lost = sendTries
	code, _ = execute(t, "zone", "back", "z1")
	assert.Equal(t, code, exitUnknown)
	t.Setenv("MAGNOLIALEVER_ADDRESS", "http://127.0.0.1:1")
	code, _ = execute(t, "zone", "back", "z1")
	assert.Equal(t, code, exitFailure)
}
