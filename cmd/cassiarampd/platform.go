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

// platformLogLevel is the level of the log on the platform, whose settings name
// none.
const platformLogLevel = "info"

// memoryShare is the part of the process's memory from which on the collector
// works more often. The platform kills a process that exceeds all of it.
const memoryShare = 0.75

// runOnPlatform runs an entry with the settings file that the platform names.
func runOnPlatform(args arguments) int {
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go checkReloads(ctx, path, log.Process)
	if err := daemon.RunGateway(ctx, s, signers, log); err != nil {
		log.Process.Error("process failed", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// readSigners reads the operators who sign bundles. Without a file there are none.
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

// checkReloads reports on settings that changed. Addresses cannot change while a
// process runs; what the platform decides at run time comes from its store.
func checkReloads(ctx context.Context, path string, log *zap.Logger) {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			if _, err := platform.LoadSettings(path); err != nil {
				log.Error("settings reload failed", zap.Error(err))
				continue
			}
			log.Info("settings reloaded", zap.String("path", path))
		}
	}
}
