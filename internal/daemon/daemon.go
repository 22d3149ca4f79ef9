// Package daemon builds one process, an entry or a side process, from its
// settings and runs it until it is stopped.
package daemon

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/settings"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/admin"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

// stopTimeout bounds a planned stop. Requests that run longer are ended, which is a
// violation of the invariant state.GracefulStop.
const stopTimeout = 10 * time.Minute

// process is a running process. It holds what entries and side processes share.
type process struct {
	settings    *settings.Settings
	log         *zap.Logger
	incarnation state.Incarnation
	credentials *quicsession.Credentials
	logService  *platformclient.LogClient
	bundles     *bundle.Store
	group       *errgroup.Group
	// stopping is done when a planned stop is requested, and running when the stop is
	// complete or a part of the process has failed.
	stopping      context.Context
	running       context.Context
	cancelRunning context.CancelFunc
}

// Run runs the process that the settings describe. When ctx ends, the process makes a
// planned stop, after which Run returns nil.
func Run(ctx context.Context, s *settings.Settings, log *zap.Logger) error {
	p, err := newProcess(ctx, s, log)
	if err != nil {
		return err
	}
	defer p.cancelRunning()
	state.SetViolationHandler(func(inv state.Invariant, detail string) {
		log.Error("invariant violated", zap.String("invariant", string(inv)), zap.String("detail", detail))
	})
	log.Info("process started", zap.String("role", string(s.Role)), zap.String("domain", string(s.FailureDomain)),
		zap.Uint64("incarnation", uint64(p.incarnation)))
	if s.Role == state.EntryRole {
		err = p.runEntry()
	} else {
		err = p.runSide()
	}
	if err != nil {
		return err
	}
	if err := p.group.Wait(); err != nil {
		return err
	}
	log.Info("process stopped")
	return nil
}

func newProcess(ctx context.Context, s *settings.Settings, log *zap.Logger) (*process, error) {
	credentials, err := quicsession.LoadCredentials(s.TLS.Certificate, s.TLS.Key, s.TLS.Authority)
	if err != nil {
		return nil, err
	}
	logService, err := platformclient.NewLogClient(s.Platform.Log)
	if err != nil {
		return nil, fmt.Errorf("log service: %w", err)
	}
	p := &process{
		settings: s, log: log, incarnation: state.NewIncarnation(),
		credentials: credentials, logService: logService, stopping: ctx,
	}
	p.bundles = bundle.NewStore(bundle.Config{
		Log: logService, InitialSigners: state.Signers(s.BootstrapSigners), Retention: s.Platform.Retention.Std(), Logger: log.Named("bundle"),
	})
	var running context.Context
	running, p.cancelRunning = context.WithCancel(context.WithoutCancel(ctx))
	p.group, p.running = errgroup.WithContext(running)
	p.background(p.bundles.Run)
	publishProcessVars(s.Instance, string(s.Role), s.FailureDomain, p.incarnation, p.bundles.Accepted)
	return p, nil
}

// publishProcessVars publishes the expvar variables that every process has: the
// version of the bundle in effect and the identity of the process.
func publishProcessVars(instance state.InstanceID, role string, domain state.FailureDomain, incarnation state.Incarnation, bundleVersion func() uint64) {
	expvar.Publish("bundle_version", expvar.Func(func() any { return bundleVersion() }))
	expvar.Publish("process", expvar.Func(func() any {
		return map[string]any{
			"instance": instance, "role": role, "failure_domain": domain,
			"incarnation": fmt.Sprintf("%x", uint64(incarnation)),
		}
	}))
}

// serveAdmin serves the operators' endpoint until the process ends.
func (p *process) serveAdmin(ready func() error) error {
	ln, err := net.Listen("tcp", p.settings.Listen.Admin.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	server := &admin.Server{Ready: ready}
	p.group.Go(func() error {
		return server.Serve(p.running, netconn.RetryAccept(ln, p.log.With(zap.String("listener", "operators"))))
	})
	return nil
}

// followBundles calls apply with the bundle in effect and with each later one.
func (p *process) followBundles(apply func(*state.Bundle)) {
	updates, cancel := p.bundles.Subscribe()
	p.group.Go(func() error {
		defer cancel()
		for {
			select {
			case <-p.running.Done():
				return nil
			case b := <-updates:
				apply(b)
			}
		}
	})
}

// background runs f in a goroutine until the process ends. An error that f returns
// after that end is ignored; an earlier one ends the process.
func (p *process) background(f func(context.Context) error) {
	p.group.Go(func() error {
		err := f(p.running)
		if p.running.Err() != nil {
			return nil
		}
		return err
	})
}

// finishWhenDrained completes a planned stop: it ends the process when drained is
// closed or, with an error, after limit.
func (p *process) finishWhenDrained(drained <-chan struct{}, limit time.Duration) error {
	defer p.cancelRunning()
	return p.awaitDrained(drained, limit)
}

// awaitDrained waits until drained is closed or the process ends. It returns an error
// after limit.
func (p *process) awaitDrained(drained <-chan struct{}, limit time.Duration) error {
	select {
	case <-drained:
		return nil
	case <-p.running.Done():
		return nil
	case <-time.After(limit):
		state.ReportViolation(state.GracefulStop, "requests still run after the stop timeout")
		return fmt.Errorf("planned stop: requests still run after %s", limit)
	}
}
