package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is the time after which a case that hangs is ended.
const longest = 110 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand CASE FOLDER")
		os.Exit(failed)
	}
	play, ok := map[string]func(*World, bool) (bool, error){"quota": quota, "cold": cold, "poison": poison, "removed": removed, "lost": lost}[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(failed)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	w, err := NewWorld(root, folder)
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	// Nothing that was started outlives the case, whatever ends it.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(longest):
		}
		w.Close()
		fmt.Println("the case was ended")
		os.Exit(failed)
	}()
	isBroken, err := play(w, os.Getenv("TROUBLE") != "0")
	w.Close()
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(failed)
	case isBroken:
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	fmt.Println("the rule held")
	os.Exit(held)
}

// config is a configuration with one idempotent route to a plain service.
func config(timeoutMs int, tenant map[string]any) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": host, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": timeoutMs, "targetLatencyMs": 300,
			"priority": 1, "service": "registry", "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "registry", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 19.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{tenant},
	}
}
