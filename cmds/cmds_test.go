package cmds

import (
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

type probeCommand struct{ verbose bool }

func (p *probeCommand) Execute([]string) error {
	p.verbose = klog.V(2).Enabled()
	return nil
}

// Guards against a log level that is accepted and has no effect, and against exit codes
// that don't tell a wrong command from success.
func TestMainOptions(t *testing.T) {
	p := &probeCommand{}
	before := commands
	defer func() {
		commands = before
		assert.NilError(t, setVerbosity(0))
	}()
	register("probe", "Probe", "Probe", p)
	assert.Equal(t, Main([]string{"-v", "2", "probe"}), exitOK)
	assert.Assert(t, p.verbose)
	assert.Equal(t, Main([]string{"probe"}), exitOK)
	assert.Assert(t, !p.verbose)
	assert.Equal(t, Main([]string{"nonsense"}), exitUsage)
	assert.Equal(t, Main([]string{"--help"}), exitOK)
}
