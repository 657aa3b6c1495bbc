// Package cmds implements the commands of the magnolialever binary. Each command has its own file
// and registers itself in init.
package cmds

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/jessevdk/go-flags"
	"k8s.io/klog/v2"
)

// Version is the version of the binary. A build may set it with the linker flag -X.
var Version = "0.1.0"

// Exit codes. The change of a command with exitConflict was not written, because the configuration
// had another revision. With exitUnknown, it may have been written.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError is an error that ends the process with the given exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// usageError wraps an error in the arguments, files or settings for exitUsage.
func usageError(err error) error { return &exitError{code: exitUsage, err: err} }

// command is a subcommand of the binary, with its help texts.
type command struct {
	name        string
	summary     string
	description string
	commander   flags.Commander
}

var commands []command

// register adds a command. It is called from init functions only.
func register(name, short, long string, c flags.Commander) {
	commands = append(commands, command{name, short, long, c})
}

type globalOptions struct {
	Version func() `long:"version" description:"Print the version and exit"`
	Verbose int    `short:"v" long:"verbose" description:"Log verbosity; higher levels log more" default:"0"`
}

// Main runs the command that the arguments select and returns the exit code of the process. It
// prints errors to standard error.
func Main(args []string) int {
	defer klog.Flush()
	var o globalOptions
	o.Version = func() {
		fmt.Println("magnolialever", Version)
		os.Exit(exitOK)
	}
	p := flags.NewNamedParser("magnolialever", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Global options", "", &o); err != nil {
		return exitCode(err)
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.summary, c.description, c.commander); err != nil {
			return exitCode(err)
		}
	}
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if err := setVerbosity(o.Verbose); err != nil {
			return err
		}
		return c.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	return exitCode(err)
}

// setVerbosity sets the verbosity level of klog.
func setVerbosity(level int) error {
	s := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(s)
	if err := s.Set("v", strconv.Itoa(level)); err != nil {
		return usageError(fmt.Errorf("set log level: %w", err))
	}
	return nil
}

// exitCode prints the error, if any, and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var fe *flags.Error
	if errors.As(err, &fe) {
		if fe.Type == flags.ErrHelp {
			fmt.Println(fe.Message)
			return exitOK
		}
		fmt.Fprintln(os.Stderr, fe.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "magnolialever:", err)
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return exitFailure
}
