// Command cassiarampctl is the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/cassiaramp/cassiaramp/internal/ctl/bundlecmd"
)

// commands registers the subcommands, one line each. A subcommand, or each of
// its own subcommands, has a method Run(ctx, out) error.
type commands struct {
	Keys   *bundlecmd.Keys   `arg:"subcommand:keys" help:"create operators' keys and instance certificates"`
	Bundle *bundlecmd.Bundle `arg:"subcommand:bundle" help:"write, sign, publish and inspect bundles"`
}

// runner is a subcommand that can be run.
type runner interface {
	Run(ctx context.Context, out io.Writer) error
}

// Description is the start of the help text.
func (commands) Description() string { return "cassiarampctl is the operators' tool of cassiaramp." }

// Epilogue is the end of the help text.
func (commands) Epilogue() string {
	return `Examples:
  cassiarampctl keys new anna --dir keys
  cassiarampctl keys tls entry-1 side-1 --dir tls
  cassiarampctl bundle new v1.json --anchor --template template.json
  cassiarampctl bundle new v2.json --log http://127.0.0.1:7070 --signers signers.json --note "raise tier 1 reserve"
  cassiarampctl bundle check v2.json
  cassiarampctl bundle sign v2.json --operator anna --key keys/anna.key
  cassiarampctl bundle publish v2.json --signature v2.json.anna.sig --log http://127.0.0.1:7070 --signers signers.json
  cassiarampctl bundle status --json

Add --help to a command for its arguments. --log and --signers may also be set
as CASSIARAMP_LOG and CASSIARAMP_SIGNERS.

` + bundlecmd.ExitHelp
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses args, runs the command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var cmds commands
	parser, err := arg.NewParser(arg.Config{Program: "cassiarampctl"}, &cmds)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return bundlecmd.ExitUsage
	}
	err = parser.Parse(args)
	names := parser.SubcommandNames()
	if errors.Is(err, arg.ErrHelp) {
		parser.WriteHelpForSubcommand(stdout, names...)
		return bundlecmd.ExitOK
	}
	command, ok := parser.Subcommand().(runner)
	if err == nil && !ok {
		err = errors.New("missing subcommand")
	}
	if err != nil {
		parser.WriteUsageForSubcommand(stderr, names...)
		fmt.Fprintln(stderr, "error:", err)
		return bundlecmd.ExitUsage
	}
	if err := command.Run(ctx, stdout); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return bundlecmd.ExitCode(err)
	}
	return bundlecmd.ExitOK
}
