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

// Guards against a gateway that ends at SIGHUP, which tells of changed settings, or at
// settings that can't be read, and against one that does not stop at SIGTERM.
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
			t.Fatalf("ended with code %d", code)
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
	select {
	case code := <-ended:
		assert.Equal(t, code, exitOK)
	case <-time.After(10 * time.Second):
		t.Fatal("it does not stop")
	}
}

// Guards against a start with settings that are missing or wrong.
func TestEntryRequiresSettings(t *testing.T) {
	t.Setenv(platform.SettingsVariable, "")
	assert.Equal(t, Main([]string{"entry"}), exitUsage)
	t.Setenv(platform.SettingsVariable, filepath.Join(t.TempDir(), "missing.toml"))
	assert.Equal(t, Main([]string{"entry"}), exitUsage)
}
