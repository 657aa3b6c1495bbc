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

// fakeStoreWithConfig implements the store and the configuration source of opsrv in memory.
type fakeStoreWithConfig struct {
	mu              sync.Mutex
	snapshot        *tree.Snapshot
	revision        units.Revision
	responsesToLose int // number of next responses to changes that are dropped
}

func (p *fakeStoreWithConfig) Get(_ context.Context, team units.TeamID) (syncer.Entry, error) {
	s := p.Snapshot()
	if s.Team(team) == nil {
		return syncer.Entry{}, opsrv.ErrNotFound
	}
	return syncer.Entry{Team: team, Revision: s.Revision(team), Value: s.Data(team)}, nil
}

func (*fakeStoreWithConfig) List(context.Context) ([]syncer.Entry, error) { return nil, nil }

func (p *fakeStoreWithConfig) CompareAndSwap(_ context.Context, team units.TeamID, old units.Revision, v []byte) (units.Revision, error) {
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

func (p *fakeStoreWithConfig) Snapshot() *tree.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot
}

func (*fakeStoreWithConfig) MergeWritten(syncer.Entry) {}

func (*fakeStoreWithConfig) AwaitMajority(context.Context, units.TeamID, units.Revision) syncer.Reach {
	return syncer.Reach{Using: 1, Gateways: 1}
}

func (p *fakeStoreWithConfig) Nodes(context.Context) ([]syncer.Node, error) {
	v := syncer.NodeVersion{Version: tree.Version{Team: "a", Revision: 1}}
	old := syncer.NodeVersion{Version: tree.Version{Team: "a"}}
	return []syncer.Node{
		{ID: "n0", Gateway: true, Versions: []syncer.NodeVersion{v}},
		{ID: "n1", Versions: []syncer.NodeVersion{old}},
	}, nil
}

// serve serves h and drops responses of changes after h has handled them. It returns the URL.
func (p *fakeStoreWithConfig) serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		lose := r.Method == http.MethodPut && p.responsesToLose > 0
		if lose {
			p.responsesToLose--
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

// startGateway serves the operator interface and sets its address and credential in the environment.
func startGateway(t *testing.T) *fakeStoreWithConfig {
	t.Helper()
	p := &fakeStoreWithConfig{snapshot: tree.Empty()}
	h, err := opsrv.New(opsrv.Options{Store: p, Config: p, BootstrapSecret: "secret", Now: time.Now})
	assert.NilError(t, err)
	t.Setenv("MAGNOLIALEVER_ADDRESS", p.serve(t, h))
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "secret")
	return p
}

// runCommand runs a command with flags reset as in a new process. It returns the exit code and the
// output.
func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	for _, c := range commands {
		reflect.ValueOf(c.commander).Elem().SetZero()
	}
	var b bytes.Buffer
	stdout = &b
	defer func() { stdout = os.Stdout }()
	code := Main(args)
	return code, b.String()
}

// writeFile writes the text to a new temporary file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "a.json")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const exampleFile = `{
  // One customer without keys.
  "team": "a",
  "value": {
    "customers": [
      {"id": "court", "rate": 10, "burst": 20},
    ],
  },
}`

// Checks the exit codes and outputs of the operator commands. The numbers and columns are part of
// the interface for scripts.
func TestCommands(t *testing.T) {
	gateway := startGateway(t)
	name := writeFile(t, exampleFile)
	code, out := runCommand(t, "apply", "--dry-run", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "dry run, revision 0"), out)
	assert.Assert(t, gateway.Snapshot().Team("a") == nil)

	code, out = runCommand(t, "diff", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "added   customers  court"), out)
	code, out = runCommand(t, "apply", name)
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "accepted, revision 1"), out)

	code, out = runCommand(t, "get", "a", "-o", "json")
	assert.Equal(t, code, exitOK)
	old := writeFile(t, out)
	code, out = runCommand(t, "keys", "issue", "--team", "a", "--customer", "court", "k")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "mlk_"), out)
	code, out = runCommand(t, "apply", old, "-o", "json")
	assert.Equal(t, code, exitConflict)
	var o changeResult
	assert.NilError(t, json.Unmarshal([]byte(out), &o))
	assert.Equal(t, o.Result, "conflict")

	code, _ = runCommand(t, "keys", "withdraw", "--team", "a", "k")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, gateway.Snapshot().Team("a").Keys[0].Withdrawn)
	code, _ = runCommand(t, "zone", "out", "z1")
	assert.Equal(t, code, exitOK)
	code, _ = runCommand(t, "upstream", "out", "u1")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, gateway.Snapshot().ZoneExcluded("z1") && gateway.Snapshot().UpstreamExcluded("u1"))
	code, _ = runCommand(t, "zone", "back", "z1")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, !gateway.Snapshot().ZoneExcluded("z1"))

	code, out = runCommand(t, "status")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "behind"), out)
	code, out = runCommand(t, "history", "--team", "a")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, strings.Count(out, "fleet/bootstrap"), 3)
	code, out = runCommand(t, "get")
	assert.Equal(t, code, exitOK)
	assert.Assert(t, strings.Contains(out, "fleet"), out)
}

// Checks that invalid arguments and files are usage errors, that a refused credential is a failure,
// and that problems found by the gateway are reported with their line in the file.
func TestInvalidInput(t *testing.T) {
	startGateway(t)
	code, _ := runCommand(t, "zone", "away", "z1")
	assert.Equal(t, code, exitUsage)
	code, _ = runCommand(t, "apply", writeFile(t, strings.Replace(exampleFile, "10", `"x"`, 1)))
	assert.Equal(t, code, exitUsage)
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "wrong")
	code, _ = runCommand(t, "apply", writeFile(t, exampleFile))
	assert.Equal(t, code, exitFailure)
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "")
	code, _ = runCommand(t, "status")
	assert.Equal(t, code, exitUsage)

	// The existence of a base model is validated by the gateway only.
	t.Setenv("MAGNOLIALEVER_CREDENTIAL", "secret")
	name := writeFile(t, "{\"team\": \"a\", \"value\": {\"adapters\": [\n{\"id\": \"x\",\n\"base\": \"none\", \"bytes\": 1}]}}")
	var apply applyCommand
	apply.Client = clientOptions{Address: os.Getenv("MAGNOLIALEVER_ADDRESS"), Credential: "secret"}
	apply.Args.File = name
	err := apply.Execute(nil)
	assert.ErrorContains(t, err, name+":3: value.adapters.0.base: ")
}

// Checks that a change is applied once if its first response is lost, that its outcome is reported as
// unknown if all responses are lost, and as a failure if no gateway could be reached.
func TestLostResponses(t *testing.T) {
	p := startGateway(t)
	name := writeFile(t, exampleFile)
	code, _ := runCommand(t, "apply", name)
	assert.Equal(t, code, exitOK)
	p.responsesToLose = 1
	code, _ = runCommand(t, "zone", "out", "z1")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, p.revision, units.Revision(2), "change was not applied exactly once")
	p.responsesToLose = maxSendAttempts
	code, _ = runCommand(t, "zone", "back", "z1")
	assert.Equal(t, code, exitUnknown)
	t.Setenv("MAGNOLIALEVER_ADDRESS", "http://127.0.0.1:1")
	code, _ = runCommand(t, "zone", "back", "z1")
	assert.Equal(t, code, exitFailure)
}
