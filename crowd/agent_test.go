package crowd

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/fakes/keyval"
	"github.com/magnolialever/magnolialever/fakes/plain"
	"github.com/magnolialever/magnolialever/fakes/vms"
	"github.com/magnolialever/magnolialever/store"
	"github.com/magnolialever/magnolialever/syncer"
	"github.com/magnolialever/magnolialever/tree"
)

const (
	// agentMegabytes and agentDescriptors are the bounds of an agent: what a node may take for control.
	agentMegabytes   = 128
	agentDescriptors = 1000
	fleetSecret      = "0123456789abcdef"
)

// platformOf runs the stand-ins of the platform of gateways with agents, and returns them.
func platformOf(t *testing.T) (*keyval.Server, *vms.Server) {
	t.Helper()
	kv, err := keyval.New(keyval.Options{})
	assert.NilError(t, err)
	list, err := vms.New(vms.Options{})
	assert.NilError(t, err)
	serve(t, kv)
	serve(t, list)
	return kv, list
}

// serve runs a stand-in until the end of the test.
func serve(t *testing.T, s interface{ Run(context.Context) error }) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-end })
}

// putTeam writes the team of the ordinary caller.
func putTeam(t *testing.T, kv *keyval.Server, team *tree.Team) {
	t.Helper()
	c := store.New(store.Options{Address: kv.Addr()})
	t.Cleanup(c.Close)
	data, err := tree.Encode(team)
	assert.NilError(t, err)
	_, err = c.CompareAndSwap(context.Background(), syncer.TeamKey("court"), 0, data, 0)
	assert.NilError(t, err)
}

// writeSettings writes sections of settings to a new folder, by file.
func writeSettings(t *testing.T, sections map[string]any) string {
	t.Helper()
	dir := t.TempDir()
	for name, section := range sections {
		data, err := json.Marshal(section)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
	}
	return dir
}

// startAgent starts the agent of a plain service. Its ordinary request is for the list of its metrics.
func startAgent(t *testing.T) *process {
	t.Helper()
	kv, list := platformOf(t)
	service, err := plain.New(plain.Options{})
	assert.NilError(t, err)
	serve(t, service)
	p := &process{t: t, readyPath: "/readyz", megabytes: agentMegabytes, descriptors: agentDescriptors}
	p.peers, _ = freeAddress(t)
	p.ready, _ = freeAddress(t)
	p.metrics = p.ready
	p.ordinary = func() *http.Request {
		r, _ := http.NewRequest(http.MethodGet, "http://"+p.ready+"/debug/vars", http.NoBody)
		return r
	}
	dir := writeSettings(t, map[string]any{
		"node.json":     map[string]any{"id": "agent", "zone": "a", "peer": p.peers, "admin": p.ready},
		"fleet.json":    map[string]any{"store": kv.Addr(), "vms": list.Addr(), "secret": fleetSecret},
		"upstream.json": map[string]any{"kind": "service", "address": service.Addr(), "services": []string{"app"}},
	})
	list.Set(vms.VM{ID: "agent", Role: vms.RoleUpstream, Address: p.peers, Zone: "a", State: vms.StateLive})
	p.start(nil, "agent", "--settings", dir)
	return p
}

// Guards against an agent that ends, hangs or takes too much memory because of callers at its ports that are no gateways.
func TestAgentOutlivesCrowds(t *testing.T) {
	admin := func(p *process) string { return p.ready }
	peers := func(p *process) string { return p.peers }
	body := strings.Repeat("a", legal)
	for name, test := range map[string]target{
		"connections without a byte":   {peers, send("")},
		"streams":                      {peers, send(streams(8, 128<<10))},
		"many streams":                 {peers, send(streams(600, 1))},
		"bytes without end":            {peers, repeat("", body[:1<<16], 0)},
		"requests of another protocol": {peers, repeat("", begin("GET", "/readyz", headEnd), pieceDelay)},
		"without a byte, admin":        {admin, send("")},
		"short fields, admin":          {admin, send(begin("GET", "/readyz", shortFields(7<<10)))},
		"trailer items, admin":         {admin, send(begin("POST", "/readyz", chunked, "Trailer: "+differentItems(",")[:7<<10], headEnd))},
		"bodies, admin":                {admin, repeat(begin("POST", "/readyz", length(1<<30), headEnd), body[:1<<16], 0)},
		"sent ahead, admin":            {admin, repeat("", strings.Repeat(begin("GET", "/debug/vars", headEnd), 20), 0)},
	} {
		t.Run(name, func(t *testing.T) {
			p := startAgent(t)
			p.run(func() target { return test })
			p.check()
		})
	}
}
