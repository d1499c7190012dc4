// Command rig plays the cases of the review as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// cases are the cases by name; each returns whether the rule held.
var cases = map[string]func(rec *record, root string, trouble bool) (bool, error){
	"returned": playReturned,
	"split":    playSplit,
	"gone":     playGone,
	"stale":    playStale,
	"replaced": playReplaced,
}

func main() {
	root := flag.String("root", ".", "the repository, built as the deploy file says")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(unknown)
	}
	path, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	}
	ok, err = play(rec, path, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unknown)
	case !ok:
		os.Exit(broken)
	}
	os.Exit(held)
}
