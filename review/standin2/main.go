// Command standin2 plays the cases of the second review that are scripts: it starts entries of the
// project before stand-ins of the platform, of engines and of clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"time"
)

// A play plays a case and returns the violations of the rule that it saw.
type play func(w *world) (violations []string, err error)

// plays has the plays by name. Each file of a play adds its own.
var plays = make(map[string]play)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "engine" {
		return runEngine(args[1:])
	}
	if len(args) != 3 || args[0] != "case" || plays[args[1]] == nil {
		return errUsage
	}
	w, err := newWorld(args[2])
	if err != nil {
		return err
	}
	time.AfterFunc(longest, func() {
		w.note("the case has taken too long")
		w.close()
		os.Exit(cannot)
	})
	violations, err := plays[args[1]](w)
	for _, v := range violations {
		w.note("BROKEN: %s", v)
		fmt.Println("broken:", v)
	}
	w.note("violations: %d, error: %v", len(violations), err)
	w.close()
	switch {
	case err != nil:
		return err
	case len(violations) > 0:
		os.Exit(broken)
	}
	fmt.Println("held")
	return nil
}
