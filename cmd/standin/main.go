// Command standin serves stand-ins for the platform and for targets on
// loopback addresses, for the demo, the trial and tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/logging"
	"github.com/cassiaramp/cassiaramp/internal/standin"
)

type arguments struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file, JSON with comments"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

func (arguments) Description() string {
	return "Serves stand-ins for the log service, the instance list, the weight store, engines and plain services until SIGTERM."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(&args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	config, err := standin.LoadConfig(args.Settings)
	if err != nil || args.Check {
		return err
	}
	// SIGINT is not handled here. A Ctrl-C in the trial reaches all processes, and the
	// targets must not stop before the daemons.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	platform, err := standin.Start(config)
	if err != nil {
		return err
	}
	defer platform.Close()
	log, err := logging.New(os.Stderr, "info")
	if err != nil {
		return err
	}
	log.Info("stand-ins started", zap.Int("engines", len(config.Engines)), zap.Int("services", len(config.Services)), zap.String("admin", platform.URL(standin.AdminName)))
	<-ctx.Done()
	log.Info("stand-ins stopping")
	return nil
}
