package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/daemon"
	"github.com/cassiaramp/cassiaramp/internal/jsonfile"
	"github.com/cassiaramp/cassiaramp/internal/logging"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// platformLogLevel is the log level on the platform, whose settings contain no level.
const platformLogLevel = "info"

// memoryShare is the soft memory limit of the Go runtime, as a fraction of the memory
// that the platform grants the process. Near it, the garbage collector runs more often.
// The platform kills a process that exceeds the whole.
const memoryShare = 0.75

// runOnPlatform runs an entry with the settings file that the platform names.
func runOnPlatform(args arguments) int {
	// The signals stay caught until the process has exited: their default action would end it
	// in the middle of a planned stop.
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := platform.SettingsPath()
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	signers, err := readSigners(args.Signers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if err := state.CheckHedgingShare(args.HedgingShare); err != nil {
		fmt.Fprintf(os.Stderr, "--hedging-share: %v\n", err)
		return exitSettings
	}
	if args.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	log, err := logging.NewLoggers(os.Stdout, platformLogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer log.Close()
	go checkSettingsOnHangup(hangups, path, log.Process)
	if err := daemon.RunGateway(ctx, s, signers, args.HedgingShare, log); err != nil {
		log.Process.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// readSigners reads the operators who may sign bundles. An empty path means none.
func readSigners(path string) (state.Signers, error) {
	var s state.Signers
	if path == "" {
		return s, nil
	}
	if err := jsonfile.Read(path, &s); err != nil {
		return s, err
	}
	if err := bundle.CheckSigners(s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// checkSettingsOnHangup checks the settings file and logs the result at each SIGHUP. It
// applies nothing: addresses cannot change while a process runs, and what the platform
// decides at run time comes from its store.
func checkSettingsOnHangup(hangups <-chan os.Signal, path string, log *zap.Logger) {
	for range hangups {
		if _, err := platform.LoadSettings(path); err != nil {
			log.Error("settings reload failed", zap.Error(err))
			continue
		}
		log.Info("settings reloaded", zap.String("path", path))
	}
}
