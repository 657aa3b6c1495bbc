//go:build review2

// Command review-2 plays the scripted cases of the second review, one a call.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

// current is the world that a case has started.
var current atomic.Pointer[world]

// endLate ends all processes, and this one, when the time is over or a signal asks for it.
func endLate() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	if w := current.Load(); w != nil {
		w.record.logf("the case could not run: ended early")
		w.killAll()
	}
	os.Exit(2)
}

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(trouble bool, program string, r *record) bool{
	"memory":   memoryCase,
	"refused":  refusedCase,
	"popular":  popularCase,
	"blind":    blindCase,
	"drain":    drainCase,
	"returned": returnedCase,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) (code int) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	defer func() {
		if e := recover(); e != nil {
			r.logf("the case could not run: %v", e)
			fmt.Println("could not run:", e)
			code = 2
		}
	}()
	play, ok := cases[name]
	if !ok {
		panic(cantRun("no such case: " + name))
	}
	go endLate()
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, with the disruption: %v", name, trouble)
	if play(trouble, program, r) {
		r.logf("result: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	r.logf("result: the rule held")
	fmt.Println("held")
	return 0
}
