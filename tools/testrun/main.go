// Command testrun runs all tests of the module in the current directory with the race detector.
// It prints the failures and exits with status 1 if a build or a test that KNOWN-RED.txt does not
// list fails. A listed test that fails is printed as KNOWN-RED and does not change the status.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sort"
	"strings"
)

// modulePath is the prefix that KNOWN-RED.txt omits from package names.
const modulePath = "github.com/magnolialever/magnolialever/"

// event is one line of "go test -json".
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// testName identifies a test, or a package if test is empty.
type testName struct {
	pkg  string
	test string
}

// result collects the events of a run. failedPackages holds the failure events of packages,
// including those whose build failed.
type result struct {
	passed         int
	failed         []testName
	failedPackages []event
	output         map[testName][]string
}

func main() {
	known, err := readKnownFailures("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", err)
		os.Exit(2)
	}
	r, testErr := runTests()
	os.Exit(r.report(known, testErr))
}

// readKnownFailures reads the lines "test: PACKAGE TEST" of the file. A missing file lists no tests.
func readKnownFailures(file string) (map[testName]bool, error) {
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

// alonePackages are the packages whose tests load the machine as a whole. They run after all others, one after the other.
var alonePackages = []string{modulePath + "crowd"}

// The time limits of a run of "go test". The tests of alonePackages run one at a time, and each takes seconds by itself.
const (
	timeLimit      = "8m"
	aloneTimeLimit = "20m"
)

// runTests runs the tests of all packages. Its error is not nil if a test failed or the output is incomplete.
func runTests() (*result, error) {
	r := &result{output: map[testName][]string{}}
	out, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return r, fmt.Errorf("list packages: %w", err)
	}
	packages := slices.DeleteFunc(strings.Fields(string(out)), func(p string) bool { return slices.Contains(alonePackages, p) })
	err = r.runGoTest(timeLimit, packages...)
	for _, p := range alonePackages {
		err = errors.Join(err, r.runGoTest(aloneTimeLimit, p))
	}
	return r, err
}

// runGoTest runs "go test" for packages within a time limit and adds the events to the result.
func (r *result) runGoTest(limit string, packages ...string) error {
	// Disables the test cache: package system runs a binary that it builds itself, and the cache
	// does not track the sources of that binary.
	c := exec.Command("go", append([]string{"test", "-count=1", "-race", "-timeout", limit, "-json"}, packages...)...)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open output: %w", err)
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start go test: %w", err)
	}
	if err := r.readEvents(out); err != nil {
		return err
	}
	return c.Wait()
}

// readEvents adds the events in the output until its end.
func (r *result) readEvents(out io.Reader) error {
	in := bufio.NewReader(out)
	for {
		line, err := in.ReadString('\n')
		if line != "" {
			r.addEvent(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read output: %w", err)
		}
	}
}

// addEvent adds one line of output, and prints it if it is not JSON.
func (r *result) addEvent(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Print(line)
		return
	}
	name := testName{trimModule(e.Package), e.Test}
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
			r.failedPackages = append(r.failedPackages, e)
		}
	}
}

// report prints the failures and a summary, and returns the exit code. It reports testErr only if no
// test or package failure explains it.
func (r *result) report(known map[testName]bool, testErr error) int {
	code := 0
	hasFailedTest := map[string]bool{}
	sort.Slice(r.failed, func(i, j int) bool { return r.failed[i].test < r.failed[j].test })
	for _, n := range r.failed {
		hasFailedTest[n.pkg] = true
		top, _, _ := strings.Cut(n.test, "/")
		if known[testName{n.pkg, top}] {
			fmt.Println("KNOWN-RED", n.pkg, n.test)
			continue
		}
		code = 1
		fmt.Print(strings.Join(r.output[n], ""))
	}
	for _, e := range r.failedPackages {
		if hasFailedTest[trimModule(e.Package)] {
			continue
		}
		code = 1
		fmt.Print(strings.Join(r.output[testName{e.FailedBuild, ""}], ""))
		fmt.Print(strings.Join(r.output[testName{trimModule(e.Package), ""}], ""))
	}
	if testErr != nil && len(r.failed) == 0 && len(r.failedPackages) == 0 {
		code = 1
		fmt.Println("testrun:", testErr)
	}
	fmt.Printf("%d passed, %d failed\n", r.passed, len(r.failed))
	return code
}

// trimModule returns the package name relative to the module.
func trimModule(pkg string) string { return strings.TrimPrefix(pkg, modulePath) }
