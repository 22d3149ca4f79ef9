package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/memory"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/coordination/ratelimit"
	"github.com/cassiaramp/cassiaramp/internal/coordination/refusal"
	"github.com/cassiaramp/cassiaramp/internal/coordination/rollout"
	"github.com/cassiaramp/cassiaramp/internal/coordination/targetend"
	"github.com/cassiaramp/cassiaramp/internal/logging"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/admin"
	"github.com/cassiaramp/cassiaramp/internal/transport/gatewayhttp"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/internal/transport/netconn"
	"github.com/cassiaramp/cassiaramp/internal/transport/upstream"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// stopMargin is the part of the grace period that a planned stop leaves for the
	// rest of the shutdown.
	stopMargin = 500 * time.Millisecond
	// minSharers is the least number of entries among which the platform's slack, which
	// is what all entries together may exceed a limit by, is divided. More entries may
	// run than are known.
	minSharers = 8
	// entriesKnownTime is the time after its start within which an entry is known to the
	// others, and they to it.
	entriesKnownTime = 2 * time.Second
	// slackFraction is the fraction of the slack that is used.
	slackFraction = 0.9
	// closeExpiredInterval is the time between checks for idle connections to close.
	closeExpiredInterval = time.Second
)

// gatewayProcess is an entry on the users' platform.
type gatewayProcess struct {
	settings     *platform.Settings
	log          *zap.Logger
	incarnation  state.Incarnation
	startedAt    time.Time
	store        *platform.Store
	scheduler    *dispatch.Scheduler
	quota        *quota.Ledger
	refusals     *refusal.Log
	quarantine   *quarantine.Ledger
	origins      *origin.Log
	gateway      *gateway.Service
	targetClient *upstream.Client
	memory       *memory.Account // of callers' requests and the responses to them
	mesh         *mesh.Mesh
	control      *control
	rollout      *bundle.Rollout
	rollouts     *rollout.Ledger // of software versions; nil if the platform does not ask for them
	// followsBundles says that bundles are read, because there are operators who may
	// sign them.
	followsBundles  bool
	hedgingFlag     float64
	counters        *gateway.Counters
	callers         *gatewayhttp.Server
	stopping        atomic.Bool
	reportToAllNext atomic.Bool // an entry was heard for the first time since its start
	listChanged     atomic.Bool // the list changed while this entry reads it from the store
	// hasExposureSlack says that no roll-out was in progress when this process started, so that
	// it has a part of the slack of later ones.
	hasExposureSlack atomic.Bool
}

// RunGateway runs an entry on the users' platform. When ctx ends, the entry makes a
// planned stop, after which RunGateway returns nil. signers are the operators whose
// bundles are put into effect; without any, the built-in policies stay in effect.
// hedgingShare holds while no bundle states one.
func RunGateway(ctx context.Context, s *platform.Settings, signers state.Signers, hedgingShare float64, log *logging.Loggers) error {
	if !s.Callers.IsValid() || !s.Readiness.IsValid() || !s.StoreAddress.IsValid() {
		return errors.New("settings: an entry needs the addresses for callers, for readiness and of the store")
	}
	p := &gatewayProcess{
		settings: s, log: log.Process, incarnation: state.NewIncarnation(), startedAt: time.Now(), store: platform.NewStore(s.StoreAddress.String()),
		memory: memory.New(requestMemory(s.MemoryMB << 20)), targetClient: upstream.New(), counters: gateway.NewCounters(true), rollout: bundle.NewRollout(signers),
		followsBundles: len(signers.Keys) > 0, hedgingFlag: hedgingShare,
	}
	p.quota = quota.New(quota.Config{
		Tolerance: quota.Tolerance{Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack},
		Restarted: !s.FirstStart, Seed: xxhash.Sum64String(string(s.Instance)) ^ uint64(p.incarnation),
	})
	p.store.OnInvalidEra = func(err error) { p.log.Warn("era of the store ignored", zap.Error(err)) }
	p.refusals = refusal.NewLog()
	// FirstStart is not taken as a sign that there are no streams: an entry that is started again with the same
	// settings states it too. What the store has of a first start is read within milliseconds.
	p.origins = origin.New(p.startedAt, false)
	p.quarantine = quarantine.New(quarantine.Config{
		Self: s.Instance, Others: func(now time.Time) []state.InstanceID { return p.mesh.Heard(now) }, OnChange: p.logQuarantine,
	})
	p.scheduler = dispatch.New(s.Domain, xxhash.Sum64String(string(s.Instance))^uint64(p.incarnation), time.Now, p, ratelimit.New(ratelimit.Config{
		Self: s.Instance, StartedAt: p.startedAt,
		Tolerance: ratelimit.Tolerance{Window: platform.RateLimitWindow, Factor: platform.RateLimitFactor, Slack: platform.RateLimitSlack},
	}))
	if p.rollouts = p.newRollouts(); p.rollouts != nil {
		p.scheduler.SetVersions(p.rollouts)
	}
	p.control = newControl(p)
	var err error
	if p.mesh, err = mesh.New(netip.AddrPortFrom(s.IP, s.FirstPort), p.control.snapshot, p.findOrigin, p.findTargetEnd); err != nil {
		return err
	}
	p.gateway = gateway.New(gateway.Config{
		Scheduler: p.scheduler, TargetClient: p.targetClient, Quota: p.quota, Refusals: p.refusals, Quarantine: p.quarantine, Origins: p.origins, AskOrigin: p.mesh.AskOrigin, TellOrigin: p.tellOrigin, AskTargetEnd: p.mesh.AskTargetEnd, RetryRatio: s.Bounds.RetryRatio, DrainTime: s.Bounds.Drain,
		RetryWindow: s.Bounds.RetryWindow, RetrySlack: p.retrySlack, RetrySlackFrom: p.retrySlackFrom(), HedgingShare: p.hedgingShare, InRollout: p.inRollout, Memory: p.memory,
		Log: log.Requests, Counters: p.counters, Rollouts: p.versionJudge(),
	})
	p.log.Info("process started", zap.String("instance", string(s.Instance)), zap.String("domain", string(s.Domain)),
		zap.Uint64("incarnation", uint64(p.incarnation)), zap.String("store", s.StoreAddress.String()), zap.Float64("hedging_share", hedgingShare))
	err = p.run(ctx)
	p.log.Info("process stopped", zap.Error(err))
	return err
}

func (p *gatewayProcess) run(ctx context.Context) error {
	running, finish := context.WithCancel(context.WithoutCancel(ctx))
	defer finish()
	group, running := errgroup.WithContext(running)
	p.callers = &gatewayhttp.Server{
		Gateway: p.gateway, Log: p.log, Memory: p.memory,
		MaxConnections: boundByMemory(maxCallerConnections(p.settings.MaxSockets, p.log), p.settings.MemoryMB<<20, p.log),
	}
	group.Go(func() error { return p.callers.Serve(running, p.settings.Callers.String()) })
	group.Go(func() error { return p.serveReadiness(running) })
	group.Go(func() error { return p.serveEntries(running) })
	group.Go(func() error { return p.serveMetrics(running) })
	group.Go(func() error { return p.control.run(running) })
	group.Go(func() error { return p.exchangeReports(running) })
	group.Go(func() error { return p.runPeriodicTasks(running) })
	select {
	case <-running.Done():
		return group.Wait()
	case <-ctx.Done():
	}
	p.stop(running)
	finish()
	return group.Wait()
}

// stop makes a planned stop. It waits for the requests in progress until stopMargin
// before the end of the grace period, or for up to 1 s if that is later, and then tells
// the other entries and the store that this entry leaves. Requests that are still in
// progress after that are cut off.
func (p *gatewayProcess) stop(running context.Context) {
	p.stopping.Store(true)
	p.log.Info("planned stop began", zap.Int64("open", p.callers.OpenRequests()))
	stopCtx, cancel := context.WithTimeout(running, max(time.Second, p.settings.Bounds.Grace-stopMargin))
	defer cancel()
	p.callers.Stop(stopCtx)
	if open := p.callers.OpenRequests(); open > 0 {
		p.log.Warn("planned stop cuts requests", zap.Int64("open", open))
	}
	p.control.leave()
}

// retrySlack returns this entry's share of the repeated sends that all entries
// together may make beyond the retry ratio. The slack is divided evenly because
// entries do not report how many repeated sends they made. Entries that are not heard
// have a share too: they may be cut off from this one and not from the targets.
func (p *gatewayProcess) retrySlack() float64 {
	sharers := max(minSharers, 1+p.mesh.ExpectedPeerCount(time.Now()))
	return slackFraction * p.settings.Bounds.RetrySlack / float64(sharers)
}

// retrySlackFrom returns the time from which this entry may use its share of the slack. A
// process that was started before may have used it just before it ended.
func (p *gatewayProcess) retrySlackFrom() time.Time {
	if p.settings.FirstStart {
		return p.startedAt
	}
	return p.startedAt.Add(p.settings.Bounds.RetryWindow + entriesKnownTime)
}

// checkReady returns nil if the entry can serve new connections, and otherwise why not.
// The error text is the body of the readiness response.
func (p *gatewayProcess) checkReady() error {
	switch {
	case p.stopping.Load():
		return errors.New("stopping")
	case p.gateway.Configuration() == nil:
		return errors.New("no configuration")
	case p.control.targetCount() == 0:
		return errors.New("no targets")
	default:
		return nil
	}
}

// findTargetEnd implements mesh.FindTargetEnd.
func (p *gatewayProcess) findTargetEnd(id state.TargetID, address string) targetend.Seen {
	return p.gateway.TargetSeen(id, address)
}

// serveEntries serves snapshots, origins of streams and the ends of targets to the other entries.
func (p *gatewayProcess) serveEntries(ctx context.Context) error {
	ln, err := netconn.Listen(ctx, netip.AddrPortFrom(p.settings.IP, p.settings.FirstPort).String(), p.log.With(zap.String("listener", "entries")))
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	return p.mesh.ServeEntries(ctx, ln)
}

// serveMetrics serves the metrics. If it cannot listen, the entry serves callers
// without them.
func (p *gatewayProcess) serveMetrics(ctx context.Context) error {
	publishProcessVars(p.settings.Instance, "entry", p.settings.Domain, p.incarnation, p.rollout.Version)
	expvar.Publish("targets", expvar.Func(func() any { return p.scheduler.Summaries() }))
	expvar.Publish("predictions", expvar.Func(func() any { return p.scheduler.Calibration() }))
	expvar.Publish("queue", expvar.Func(func() any { return p.scheduler.WaitingByRank() }))
	expvar.Publish("configuration_version", expvar.Func(func() any {
		if c := p.gateway.Configuration(); c != nil {
			return c.Version
		}
		return 0
	}))
	expvar.Publish("connections_opened", expvar.Func(func() any { return p.targetClient.ConnectionsOpened() }))
	expvar.Publish("caller_connections", expvar.Func(func() any { return p.callers.Connections() }))
	expvar.Publish("request_memory", expvar.Func(func() any { return p.memory.Counts() }))
	expvar.Publish("requests_open", expvar.Func(func() any { return p.callers.OpenRequests() }))
	expvar.Publish("targets_listed", expvar.Func(func() any { return p.control.targetCount() }))
	expvar.Publish("prompt_parts", expvar.Func(func() any { return p.quarantine.Summary(time.Now()) }))
	expvar.Publish("store_topics", expvar.Func(func() any { return p.control.topicReadings() }))
	expvar.Publish("rollouts", expvar.Func(func() any { return p.rolloutVars() }))
	expvar.Publish("entries_heard", expvar.Func(func() any { return p.mesh.PeerCount(time.Now()) }))
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(p.settings.IP, platform.MetricsPort).String())
	if err != nil {
		p.log.Error("metrics are not served: cannot listen", zap.Error(err))
		return nil
	}
	server := &admin.Server{Ready: p.checkReady}
	return server.Serve(ctx, netconn.RetryAccept(ln, p.log.With(zap.String("listener", "metrics"))))
}

// runPeriodicTasks grants free slots and closes idle connections to targets at
// intervals.
func (p *gatewayProcess) runPeriodicTasks(ctx context.Context) error {
	grant := time.NewTicker(2 * dispatch.GrantInterval)
	defer grant.Stop()
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-grant.C:
			p.scheduler.ReportOpen()
			p.scheduler.GrantFreeSlots()
		case now := <-closeExpired.C:
			p.targetClient.CloseExpired(now)
		}
	}
}

// TargetEjected implements dispatch.Observer.
func (p *gatewayProcess) TargetEjected(id state.TargetID, service state.Service, cause dispatch.Outcome, backoff time.Duration) {
	p.counters.Add("target_ejected")
	p.log.Warn("target ejected", zap.String("target", string(id)), zap.String("service", string(service)),
		zap.String("cause", cause.String()), zap.Duration("probe_after", backoff))
}

// TargetReturned implements dispatch.Observer.
func (p *gatewayProcess) TargetReturned(id state.TargetID, service state.Service) {
	p.log.Info("target returned", zap.String("target", string(id)), zap.String("service", string(service)))
}

// TargetLeaving implements dispatch.Observer.
func (p *gatewayProcess) TargetLeaving(id state.TargetID, service state.Service) {
	p.counters.Add("target_leaving")
	p.log.Info("target says that it leaves", zap.String("target", string(id)), zap.String("service", string(service)))
}

// TargetPaused implements dispatch.Observer.
func (p *gatewayProcess) TargetPaused(id state.TargetID, service state.Service, pause time.Duration) {
	p.counters.Add("target_paused")
	p.log.Info("target asks for a pause", zap.String("target", string(id)), zap.String("service", string(service)), zap.Duration("pause", pause))
}

// RateLimitChanged implements dispatch.Observer.
func (p *gatewayProcess) RateLimitChanged(c *ratelimit.Change) {
	p.counters.Add("rate_limit_changed")
	fields := []zap.Field{zap.String("target", string(c.Target)), zap.Duration("age", c.Age), zap.String("source", string(c.Source))}
	if c.From.Stated {
		fields = append(fields, zap.Float64("from", c.From.PerSecond))
	}
	if !c.To.Stated {
		p.log.Info("rate limit of target ended", fields...)
		return
	}
	p.log.Info("rate limit of target", append(fields, zap.Float64("per_second", c.To.PerSecond))...)
}
