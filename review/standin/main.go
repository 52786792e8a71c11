// Command review-standin plays one case of the review: it starts the processes of the deploy file
// beside stand-ins of the platform, the workers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to the function that plays it. The function returns whether the
// rule was broken.
var cases = map[string]func(*scene) bool{
	"poison-stream": poisonStream,
	"split-fleet":   splitFleet,
	"recover":       recoverIdentical,
	"mixed-pieces":  mixedPieces,
	"encoded-path":  encodedPath,
}

// caseLimit bounds a case; beyond it the case counts as one that could not run.
const caseLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(2)
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-standin:", err)
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseLimit):
		}
		s.close()
		os.Exit(2)
	}()
	broken, err := s.play(cases[os.Args[1]])
	s.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review-standin: the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
