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
	"github.com/cassiaramp/cassiaramp/internal/ctl/comparecmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/loadcmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/predictionscmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/slotscmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/statuscmd"
	"github.com/cassiaramp/cassiaramp/internal/ctl/watchcmd"
)

// commands registers the subcommands, one line each. Each subcommand, or each of its
// own subcommands, implements runner.
type commands struct {
	Keys    *bundlecmd.Keys     `arg:"subcommand:keys" help:"create operators' keys and instance certificates"`
	Bundle  *bundlecmd.Bundle   `arg:"subcommand:bundle" help:"write, sign, publish and inspect bundles"`
	Load    *loadcmd.Command    `arg:"subcommand:load" help:"send a generated load and check the responses"`
	Status  *statuscmd.Command  `arg:"subcommand:status" help:"show instances, targets, queues and the bundle in effect"`
	Watch   *watchcmd.Command   `arg:"subcommand:watch" help:"show goodput by tier and wasted prefill by policy"`
	Compare *comparecmd.Command `arg:"subcommand:compare" help:"compare two policies from one run"`
	Slots   *slotscmd.Command   `arg:"subcommand:slots" help:"show from entries' logs what the slots of targets were used for"`

	Predictions *predictionscmd.Command `arg:"subcommand:predictions" help:"compare predicted with actual times of requests"`
}

// runner is implemented by the subcommands that can be run.
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
  cassiarampctl load --entry http://127.0.0.1:8080 --model plan-7b --customer-key KEY --rate 20
  cassiarampctl status --admin http://127.0.0.1:9001 --admin http://127.0.0.1:9101
  cassiarampctl watch --admin http://127.0.0.1:9001
  cassiarampctl compare --admin http://127.0.0.1:9001 cost round-robin
  cassiarampctl slots entry-1.log entry-2.log
  cassiarampctl predictions --store IP:PORT

Add --help to a command for its arguments. --log and --signers may also be set
as CASSIARAMP_LOG and CASSIARAMP_SIGNERS.

` + bundlecmd.ExitHelp + `
  7  load: a guarantee was broken
  8  status: not everything is in order
  9  compare: no traffic to compare; slots: no request in the logs; predictions: none published
`
}

// Exit codes in addition to those of bundlecmd. Scripts may rely on them.
const (
	exitGuaranteeBroken = 7
	exitUnhealthy       = 8
	exitNoTraffic       = 9
)

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	switch {
	case errors.Is(err, loadcmd.ErrGuaranteeBroken):
		return exitGuaranteeBroken
	case errors.Is(err, statuscmd.ErrUnhealthy):
		return exitUnhealthy
	case errors.Is(err, comparecmd.ErrNoTraffic), errors.Is(err, slotscmd.ErrNoRequests), errors.Is(err, predictionscmd.ErrNoPredictions):
		return exitNoTraffic
	}
	return bundlecmd.ExitCode(err)
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
		return exitCode(err)
	}
	return bundlecmd.ExitOK
}
