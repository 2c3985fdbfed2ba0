// Command rig plays the cases of review/REPORT-3.md: a store, targets and callers as stand-ins, and the
// processes of the project, which it starts with the command of the deploy file.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	record   *os.File
	recordMu sync.Mutex
	began    = time.Now()
)

// note writes a line to the record.
func note(format string, arguments ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(record, "%8.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
}

// notRunnable ends a case that could not run.
type notRunnable struct{ why string }

func fail(format string, arguments ...any) { panic(notRunnable{fmt.Sprintf(format, arguments...)}) }

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// cases are the cases by name; each returns whether the rule held. hasTrouble is false in a run without the
// disruption.
var cases = map[string]func(dir string, hasTrouble bool) bool{}

func main() { os.Exit(run()) }

func run() (status int) {
	name, folder := os.Args[1], os.Args[2]
	var err error
	if record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	defer endAll()
	defer func() {
		if cause := recover(); cause != nil {
			note("could not run: %v", cause)
			fmt.Println("could not run:", cause)
			status = 2
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-time.After(110 * time.Second):
		case <-stopped:
		}
		note("could not run: out of time, or stopped")
		endAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	held := cases[name](dir, os.Getenv("TROUBLE") != "0")
	if held {
		note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	note("the rule is broken")
	fmt.Println("the rule is broken")
	return 1
}
