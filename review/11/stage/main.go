// Command stage starts a small deployment of the project's programs on loopback addresses, with
// stand-ins of the platform around it, and plays one case of the review:
//
//	stage CASE RECORD
//
// It runs in the repository's root. It writes what was sent, answered and run to the file RECORD.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*site) (broken bool, err error){
	"ids":     playIDs,
	"drill":   playDrill,
	"silence": playSilence,
	"crowd":   playCrowd,
	"parts":   playParts,
}

// longest is the time after which a case that has not ended could not run.
const longest = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return 2
	}
	s, err := newSite(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](s)
		done <- result{broken, err}
	}()
	select {
	case <-stop:
		s.note("stopped by a signal")
		return 2
	case <-time.After(longest):
		s.note("the case took too long")
		return 2
	case r := <-done:
		switch {
		case r.err != nil:
			s.note("could not run: %v", r.err)
			return 2
		case r.broken:
			s.note("RESULT: the rule is broken")
			return 1
		}
		s.note("RESULT: the rule holds")
		return 0
	}
}
