// Command driver plays the cases of the review that are scripts. It is called by review/N/run.sh in the repository's root.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// play is a case: it reports whether the rule was broken.
type play func(fl *fleet, trouble bool) (bool, error)

// cases holds the cases by name; each registers itself.
var cases = map[string]play{}

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run1()) }

func run1() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		return exitNotRun
	}
	pl, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	fl, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fl.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fl.close()
		rec.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := pl(fl, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
