// Command standin plays the cases of the review: it starts the programs of the deploy
// file as separate processes on loopback addresses, with stand-ins for the platform, its
// servers, clients and operator, and checks one rule.
//
//	standin CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

var (
	errInterrupted = errors.New("interrupted")
	errTooLong     = errors.New("the case took too long")
)

// outcome is the end of a case: what broke the rule, or why the case could not run.
type outcome struct {
	broken string
	err    error
}

// cases are the cases by name. Each returns a description of the broken rule, or "".
var cases = map[string]func(s *site, trouble bool) (string, error){
	"founding":   playFounding,
	"headers":    playHeaders,
	"interim":    playInterim,
	"retired":    playRetired,
	"unreadable": playUnreadable,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitCannotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, disruption %t", os.Args[1], trouble)
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](s, trouble)
		ended <- outcome{broken: broken, err: err}
	}()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	select {
	case o := <-ended:
		return s.report(o)
	case <-interrupts:
		return s.report(outcome{err: errInterrupted})
	case <-time.After(maxDuration):
		return s.report(outcome{err: errTooLong})
	}
}

// report writes the outcome of a case and returns the exit code.
func (s *site) report(o outcome) int {
	switch {
	case o.err != nil:
		s.log("the case could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitCannotRun
	case o.broken != "":
		s.log("BROKEN: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return exitBroken
	default:
		s.log("HELD")
		fmt.Println("held")
		return exitHeld
	}
}
