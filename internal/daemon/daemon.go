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
	"github.com/cassiaramp/cassiaramp/internal/transport/peer"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
)

// stopTimeout bounds a planned stop. Requests that run longer are cut off, which
// counts as a violation of the graceful shutdown.
const stopTimeout = 10 * time.Minute

// process holds what both roles share.
type process struct {
	settings    *settings.Settings
	log         *zap.Logger
	incarnation state.Incarnation
	credentials *peer.Credentials
	logService  *platform.LogClient
	bundles     *bundle.Store
	group       *errgroup.Group
	// stopping ends when a planned stop is asked for, running when it is over.
	stopping context.Context
	running  context.Context
	finish   context.CancelFunc
}

// Run runs the process that the settings describe. It returns nil after a
// planned stop, which the end of ctx asks for.
func Run(ctx context.Context, s *settings.Settings, log *zap.Logger) error {
	p, err := newProcess(ctx, s, log)
	if err != nil {
		return err
	}
	defer p.finish()
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
	credentials, err := peer.LoadCredentials(s.TLS.Certificate, s.TLS.Key, s.TLS.Authority)
	if err != nil {
		return nil, err
	}
	logService, err := platform.NewLogClient(s.Platform.Log)
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
	running, p.finish = context.WithCancel(context.WithoutCancel(ctx))
	p.group, p.running = errgroup.WithContext(running)
	p.background(p.bundles.Run)
	publishProcess(s.Instance, string(s.Role), s.FailureDomain, p.incarnation, p.bundles.Accepted)
	return p, nil
}

// publishProcess publishes what operators ask of every process.
func publishProcess(instance state.InstanceID, role string, domain state.FailureDomain, incarnation state.Incarnation, bundleVersion func() uint64) {
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
	p.group.Go(func() error { return server.Serve(p.running, ln) })
	return nil
}

// followBundles calls apply with the bundle in effect and each later one.
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

// background runs f until the process ends. What f returns because of that end
// is not an error.
func (p *process) background(f func(context.Context) error) {
	p.group.Go(func() error {
		err := f(p.running)
		if p.running.Err() != nil {
			return nil
		}
		return err
	})
}

// stop waits for drained after a planned stop was begun and then ends the
// process.
func (p *process) stop(drained <-chan struct{}) error {
	defer p.finish()
	select {
	case <-drained:
		return nil
	case <-p.running.Done():
		return nil
	case <-time.After(stopTimeout):
		state.ReportViolation(state.GracefulStop, "requests still run after the stop timeout")
		return fmt.Errorf("planned stop: requests still run after %s", stopTimeout)
	}
}
