// Command standin plays the scripts of the review: the stand-ins of a small deployment, the
// disruption, and the check of one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(*world, bool) bool{"stop": playStop, "event": playEvent, "twice": playTwice}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	root, err := filepath.Abs(filepath.Join(os.Args[2], "..", ".."))
	check(err)
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	w := newWorld(root, record)
	held := play(w, os.Getenv("TROUBLE") != "0")
	w.close()
	check(record.Close())
	if !held {
		os.Exit(1)
	}
}

// verdict prints a line and adds it to the record.
func (w *world) verdict(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	w.ledger.log(format, args...)
}
