// Command cassiarampd is the daemon. It runs an entry or a side process, depending on
// its settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/daemon"
	"github.com/cassiaramp/cassiaramp/internal/logging"
	"github.com/cassiaramp/cassiaramp/internal/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the process ended with an error
	exitSettings = 2 // the settings are invalid or cannot be read
)

// arguments are the arguments on the command line.
type arguments struct {
	Settings     string  `arg:"--settings,env:CASSIARAMP_SETTINGS" placeholder:"FILE" help:"settings file: JSON with comments"`
	Platform     bool    `arg:"--platform" help:"run an entry on the users' platform, with the settings file that the platform names"`
	Signers      string  `arg:"--signers" placeholder:"FILE" help:"with --platform: operators who sign bundles, JSON with comments; without it no bundle is put into effect"`
	HedgingShare float64 `arg:"--hedging-share" default:"0" placeholder:"FLOAT" help:"with --platform: extra work that hedges may do, as a share (0 to 0.2) of the slot time of served requests, while no bundle states it"`
	Check        bool    `arg:"--check" help:"check the settings and exit"`
}

// Description is the start of the help text.
func (arguments) Description() string {
	return "cassiarampd runs an entry or a side process of cassiaramp, as its settings say."
}

// Epilogue is the end of the help text.
func (arguments) Epilogue() string {
	return `Signals: SIGTERM and SIGINT ask for a planned stop; SIGHUP is ignored, because
configuration comes from the log; with --platform it checks the settings file again.

Exit codes: 0 stopped as planned or settings valid; 1 failed; 2 invalid settings.

Examples:
  cassiarampd --settings /etc/cassiaramp/entry.json
  cassiarampd --settings entry.json --check
  cassiarampd --platform --signers deploy/signers.json`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Platform {
		os.Exit(runOnPlatform(args))
	}
	if args.Settings == "" {
		parser.Fail("--settings is required without --platform")
	}
	os.Exit(run(args))
}

func run(args arguments) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if args.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	log, err := logging.New(os.Stderr, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log = log.With(zap.String("instance", string(s.Instance)))
	defer log.Sync()
	debug.SetMemoryLimit(int64(s.Limits.Memory))
	signal.Ignore(syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM) // until the process has exited
	if err := daemon.Run(ctx, s, log); err != nil {
		log.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}
