// Command slopes measures what one more target, entry, request, customer or
// record costs, for docs/CAPACITY.md. It is run by scripts/slopes.sh, which
// starts and stops the processes that "prepare" describes and "measure" reads.
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
	Prepare *prepare `arg:"subcommand:prepare" help:"write the settings of one deployment"`
	Measure *measure `arg:"subcommand:measure" help:"measure a running deployment"`
	Local   *local   `arg:"subcommand:local" help:"measure slopes inside this process"`
	Report  *report  `arg:"subcommand:report" help:"print the slopes of measured deployments"`
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
