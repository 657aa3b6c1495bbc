package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Checks that invalid settings end the agent with the exit code of a usage error, and that a failure
// to listen ends it with the code of a failure.
func TestAgentSettings(t *testing.T) {
	const (
		node  = `{"id": "u1", "zone": "a", "peer": "192.0.2.1:1", "admin": "127.0.0.1:0"}`
		fleet = `{"store": "127.0.0.1:1", "vms": "127.0.0.1:2", "secret": "0123456789abcdef"}`
	)
	tests := map[string]struct {
		upstream string
		code     int
	}{
		"no file":         {"", exitUsage},
		"unknown kind":    {`{"kind": "x", "address": "127.0.0.1:1"}`, exitUsage},
		"unknown setting": {`{"kind": "engine", "address": "127.0.0.1:1", "capacity": 1, "other": 1}`, exitUsage},
		"host name":       {`{"kind": "engine", "address": "localhost:1", "capacity": 1}`, exitUsage},
		"no capacity":     {`{"kind": "engine", "address": "127.0.0.1:1"}`, exitUsage},
		"no service":      {`{"kind": "service", "address": "127.0.0.1:1"}`, exitUsage},
		"negative limit":  {`{"kind": "engine", "address": "127.0.0.1:1", "capacity": 1, "limits": {"poll": -1}}`, exitUsage},
		"unavailable address": { // node has a peer address of a documentation range, on which listening fails
			`{"kind": "engine", "address": "127.0.0.1:1", "capacity": 1, "fences": true}`, exitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for file, text := range map[string]string{"node.json": node, "fleet.json": fleet, "upstream.json": tt.upstream} {
				if text != "" {
					assert.NilError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
				}
			}
			assert.Equal(t, Main([]string{"agent", "--settings", dir}), tt.code)
		})
	}
}
