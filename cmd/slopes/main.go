// Command slopes measures the resources that one more target, entry, request, customer
// or record needs, for docs/CAPACITY.md. It is run by scripts/slopes.sh, which starts
// and stops the processes that "prepare" writes settings for and "measure" measures.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Prepare *prepareCommand `arg:"subcommand:prepare" help:"write the settings of one deployment"`
	Measure *measureCommand `arg:"subcommand:measure" help:"measure a running deployment"`
	Local   *localCommand   `arg:"subcommand:local" help:"measure slopes inside this process"`
	Report  *reportCommand  `arg:"subcommand:report" help:"print the slopes of measured deployments"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Measures the slopes that docs/CAPACITY.md is derived from; see scripts/slopes.sh."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := args.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (a *arguments) run(ctx context.Context) error {
	switch {
	case a.Prepare != nil:
		return a.Prepare.run(ctx)
	case a.Measure != nil:
		return a.Measure.run(ctx)
	case a.Local != nil:
		return a.Local.run(ctx, os.Stdout)
	case a.Report != nil:
		return a.Report.run(os.Stdout)
	}
	return errors.New("want a subcommand; see --help")
}
