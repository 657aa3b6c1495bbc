package cmds

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnolialever/magnolialever/platform"
	"github.com/magnolialever/magnolialever/platform/fakes"
)

// Checks that SIGHUP reloads the settings without ending the gateway, also if they are invalid, and
// that SIGTERM stops it. Guards against a reload or a second SIGTERM that kills a gateway with its requests while it stops:
// the test process ends with the signal then.
func TestEntryReloadsOnHangup(t *testing.T) {
	store := fakes.NewStore()
	defer store.Close()
	store.Put(fakes.ConfigKey, fakes.Config(1, "secret"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ready := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	settings := fakes.Settings("one", ready, store.Addr(), 28611)
	write(settings)
	t.Setenv(platform.SettingsVariable, file)
	ended := make(chan int, 1)
	go func() { ended <- Main([]string{"entry"}) }()
	isReady := func() bool {
		res, err := http.Get("http://" + ready + "/readiness")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == http.StatusOK
	}
	for !isReady() {
		select {
		case code := <-ended:
			t.Fatalf("gateway exited with code %d before it was ready", code)
		case <-time.After(5 * time.Millisecond):
		}
	}
	for _, text := range []string{settings, "broken"} {
		write(text)
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, isReady())
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(200 * time.Millisecond)
		assert.NilError(t, syscall.Kill(os.Getpid(), signal))
	}
	select {
	case code := <-ended:
		assert.Equal(t, code, exitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("gateway has not stopped 10 s after SIGTERM")
	}
}

// Checks that a gateway without a settings file exits with a usage error.
func TestEntryRequiresSettings(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	assert.Equal(t, Main([]string{"entry"}), exitUsage)
	t.Setenv(platform.SettingsVariable, filepath.Join(t.TempDir(), "missing.toml"))
	assert.Equal(t, Main([]string{"entry"}), exitUsage)
}
