package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Checks that invalid settings end the gateway with the exit code of a usage error, and that a failure
// to listen ends it with the code of a failure.
func TestGatewaySettings(t *testing.T) {
	const (
		node  = `{"id": "g1", "zone": "a", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0"}`
		fleet = `{"store": "127.0.0.1:1", "vms": "127.0.0.1:2", "secret": "0123456789abcdef"}`
	)
	tests := map[string]struct {
		gate string
		code int
	}{
		"no file":         {"", exitUsage},
		"unknown setting": {`{"public": "127.0.0.1:0", "other": 1}`, exitUsage},
		"host name":       {`{"public": "localhost:80"}`, exitUsage},
		"negative limit":  {`{"public": "127.0.0.1:0", "limits": {"body": -1}}`, exitUsage},
		"unavailable address": { // an address of a documentation range, on which listening fails
			`{"public": "192.0.2.1:1"}`, exitFailure},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for file, text := range map[string]string{"node.json": node, "fleet.json": fleet, "gate.json": tt.gate, "ops.json": `{"address": "127.0.0.1:0"}`} {
				if text != "" {
					assert.NilError(t, os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600))
				}
			}
			assert.Equal(t, Main([]string{"gateway", "--settings", dir}), tt.code)
		})
	}
}
