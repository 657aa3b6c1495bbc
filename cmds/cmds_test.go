package cmds

import (
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// probeCommand records whether verbose logging was enabled when it ran.
type probeCommand struct{ verbose bool }

func (p *probeCommand) Execute([]string) error {
	p.verbose = klog.V(2).Enabled()
	return nil
}

// Checks that the flag -v sets the verbosity before the command runs and resets it to 0 by default,
// and that an unknown command is a usage error.
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
