// Package build builds the program for tests that run it as processes of their own.
package build

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
)

// Run builds the program of the module whose root is the parent of the tests' folder, sets binary to its path, runs the
// tests and returns the exit code. It removes the program afterwards.
func Run(m *testing.M, binary *string) int {
	dir, err := os.MkdirTemp("", "magnolialever")
	if err != nil {
		fmt.Printf("build: %v\n", err)
		return 1
	}
	*binary = filepath.Join(dir, "magnolialever")
	code := buildAndRun(m, dir)
	if err := os.RemoveAll(dir); err != nil {
		fmt.Printf("build: %v\n", err)
	}
	return code
}

// buildAndRun installs the program into the folder and runs the tests.
func buildAndRun(m *testing.M, dir string) int {
	install := exec.CommandContext(context.Background(), "go", "install", "..")
	install.Env = append(os.Environ(), "GOBIN="+dir)
	if out, err := install.CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

var (
	// starts are the starts of processes, startThread begins the thread that makes them.
	starts      = make(chan func())
	startThread sync.Once
)

// Start starts a command that is killed when the test process ends: a test process that is killed can't end its own
// processes. A child gets the signal when the thread ends that started it, so that one thread starts all.
func Start(cmd *exec.Cmd) error {
	startThread.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range starts {
				start()
			}
		}()
	})
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	return <-started
}
