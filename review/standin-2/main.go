// Command review2 holds the stand-ins and the cases of the second review.
//
// It starts hoist-edge processes on loopback addresses beside a stand-in of the platform's store and
// stand-ins of workers, which are processes of their own, sends requests, and checks one rule. It uses
// the standard library alone.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotReady = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

var cases = map[string]func(*scene) (broken bool, err error){
	"parts": runParts, "memory": runMemory, "unframed": runUnframed, "readers": runReaders,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		if err := serveWorker(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(exitNotReady)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitNotReady)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code. All processes that it started have ended then.
func play(name, record string) int {
	s, err := newScene(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotReady
	}
	defer s.close()
	defer time.AfterFunc(maxDuration, func() {
		s.note("could not run: the case has not ended in %s", maxDuration)
		s.close()
		os.Exit(exitNotReady)
	}).Stop()
	broken, err := cases[name](s)
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return exitNotReady
	case broken:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
