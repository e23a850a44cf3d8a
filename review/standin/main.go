// Command standin runs the scripts of the review: it starts balancers with the run line of the
// deploy file, among stand-ins of the platform's store, routers, hosts and clients on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scripts are the cases that this command can run. A script returns whether the rule was broken, or
// an error if the case couldn't run.
var scripts = map[string]func(w *world, trouble bool) (broken bool, err error){}

// timeLimit bounds a script.
const timeLimit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCRIPT RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordPath string) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		rec.say("logs in %s", dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(rec, dir, deployments[name])
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := scripts[name](w, trouble)
		done <- outcome{broken, err}
	}()
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	select {
	case result := <-done:
		switch {
		case result.err != nil:
			rec.say("not run: %v", result.err)
			return exitNotRun
		case result.broken:
			rec.say("the rule was broken")
			return exitBroken
		}
		rec.say("the rule held")
		return exitHeld
	case <-stops:
		rec.say("not run: stopped")
	case <-time.After(timeLimit):
		rec.say("not run: took too long")
	}
	return exitNotRun
}
