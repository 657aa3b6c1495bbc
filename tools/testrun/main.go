// Command testrun runs the tests of the module in the current directory with the race
// detector. It fails when a test fails that KNOWN-RED.txt does not list, and
// prints the listed tests that failed.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sort"
	"strings"
)

const module = "github.com/magnolialever/magnolialever/"

// event is one line of "go test -json".
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

type testName struct {
	pkg  string
	test string
}

type result struct {
	passed int
	failed []testName
	broken []event
	output map[testName][]string
}

func main() {
	known, err := readKnown("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(2)
	}
	r, runErr := run()
	os.Exit(r.report(known, runErr))
}

// readKnown reads the lines "test: PACKAGE TEST" of the file.
func readKnown(file string) (map[testName]bool, error) {
	known := map[testName]bool{}
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return known, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read known failures: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) == 3 && f[0] == "test:" {
			known[testName{f[1], f[2]}] = true
		}
	}
	return known, nil
}

func run() (*result, error) {
	r := &result{output: map[testName][]string{}}
	// Results must not come from the cache: package system runs a binary whose sources
	// the cache does not know.
	c := exec.Command("go", "test", "-count=1", "-race", "-timeout", "8m", "-json", "./...")
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return r, fmt.Errorf("open output: %w", err)
	}
	if err := c.Start(); err != nil {
		return r, fmt.Errorf("start go test: %w", err)
	}
	if err := r.read(out); err != nil {
		return r, err
	}
	return r, c.Wait()
}

func (r *result) read(out io.Reader) error {
	in := bufio.NewReader(out)
	for {
		line, err := in.ReadString('\n')
		if line != "" {
			r.add(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read output: %w", err)
		}
	}
}

func (r *result) add(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Print(line)
		return
	}
	name := testName{short(e.Package), e.Test}
	switch e.Action {
	case "output", "build-output":
		if e.ImportPath != "" {
			name.pkg = e.ImportPath
		}
		r.output[name] = append(r.output[name], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
	case "fail":
		if e.Test != "" {
			r.failed = append(r.failed, name)
		} else {
			r.broken = append(r.broken, e)
		}
	}
}

// report prints the failures and returns the exit code.
func (r *result) report(known map[testName]bool, runErr error) int {
	code := 0
	explained := map[string]bool{}
	sort.Slice(r.failed, func(i, j int) bool { return r.failed[i].test < r.failed[j].test })
	for _, n := range r.failed {
		explained[n.pkg] = true
		top, _, _ := strings.Cut(n.test, "/")
		if known[testName{n.pkg, top}] {
			fmt.Println("KNOWN-RED", n.pkg, n.test)
			continue
		}
		code = 1
		fmt.Print(strings.Join(r.output[n], ""))
	}
	for _, e := range r.broken {
		if explained[short(e.Package)] {
			continue
		}
		code = 1
		fmt.Print(strings.Join(r.output[testName{e.FailedBuild, ""}], ""))
		fmt.Print(strings.Join(r.output[testName{short(e.Package), ""}], ""))
	}
	if runErr != nil && len(r.failed) == 0 && len(r.broken) == 0 {
		code = 1
		fmt.Println("testrun:", runErr)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	return code
}

func short(pkg string) string { return strings.TrimPrefix(pkg, module) }
