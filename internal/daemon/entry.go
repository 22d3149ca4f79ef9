package daemon

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/claim"
	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/member"
	"github.com/cassiaramp/cassiaramp/internal/coordination/placement"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/entryhttp"
	"github.com/cassiaramp/cassiaramp/internal/transport/platformclient"
	"github.com/cassiaramp/cassiaramp/internal/transport/quicsession"
)

// runEntry starts an entry. It returns when everything is started.
func (p *process) runEntry() error {
	s := p.settings
	instances, err := platformclient.NewInstanceListClient(s.Platform.Instances)
	if err != nil {
		return fmt.Errorf("instance list: %w", err)
	}
	members := member.NewTracker(instances, p.log.Named("member"))
	placer, client := p.newPlacement(members)
	claims := claim.NewManager(claim.Config{
		Log: p.logService, Partitions: s.Platform.ClaimPartitions,
		Retention: s.Platform.Retention.Std(), Logger: p.log.Named("claim"),
	})
	service := entry.New(entry.Config{
		Peers: client, Claims: claims, Placer: placer,
		Bundle: p.bundles.Current, MaxOpen: s.Limits.OpenRequests, Log: p.log.Named("entry"),
	})
	expvar.Publish("sessions", expvar.Func(func() any { return client.SessionCount() }))
	expvar.Publish("targets", expvar.Func(func() any { return placer.Summaries() }))
	expvar.Publish("open_requests", expvar.Func(func() any { return service.OpenRequests() }))
	p.background(placer.Run)
	p.background(members.Run)
	p.background(claims.Run)
	ln, err := net.Listen("tcp", s.Listen.Callers.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.serveCallers(ln, service, p.newCallerServer(service), stopTimes{limit: stopTimeout, refusal: refusalPeriod, close: closeTimeout})
	return p.serveAdmin(func() error { return p.checkEntryReady(members) })
}

// newPlacement returns a placer and the client for sessions to side processes. It
// connects the placer with the sessions, with the members and with the bundle in
// effect.
func (p *process) newPlacement(members *member.Tracker) (*placement.Placer, *quicsession.Client) {
	s := p.settings
	connector := newConnector(p.running)
	placer := placement.New(placement.Config{
		Entry: s.Instance, Domain: s.FailureDomain, Seed: uint64(p.incarnation),
		Connector: connector, Log: p.log.Named("placement"),
	})
	connector.client = quicsession.NewClient(quicsession.ClientConfig{
		Instance: s.Instance, Incarnation: p.incarnation, LocalIP: localIP(s.Listen.Callers.Addr()),
		Credentials: p.credentials, Bundles: p.bundles,
		Observer: &observer{placer: placer, members: members}, Log: p.log.Named("peer"),
	})
	p.background(func(ctx context.Context) error {
		<-ctx.Done()
		connector.client.Close()
		return nil
	})
	members.OnChange(placer.SetMembers)
	p.followBundles(func(b *state.Bundle) {
		if err := placer.SetBundle(b); err != nil {
			p.log.Error("policies of the bundle cannot be used; the earlier policies stay in effect",
				zap.Uint64("version", b.Version), zap.Error(err))
		}
	})
	return placer, connector.client
}

const (
	// connectionsPerRequest is the number of connections that callers may have for each
	// request that may be open. It is above 1 because callers keep idle connections.
	connectionsPerRequest = 4
	// bodyMemoryDivisor divides the memory limit; the quotient bounds the memory for the
	// bodies of requests in progress.
	bodyMemoryDivisor = 2
	// closeTimeout bounds the time to close callers' connections at the end of the
	// process, and before that the time to end the requests that are open at the limit
	// of a planned stop.
	closeTimeout = 2 * time.Second
	// refusalPeriod is how long a stopping entry, after its last response, still
	// answers requests on open connections with a refusal that says they were not run.
	// In this time callers give up their pooled connections: each refusal closes one,
	// and the remaining ones have been unused for that long. Without this period,
	// requests sent on connections that the entry is closing get no response.
	refusalPeriod = 3 * time.Second
)

var errNoMembers = errors.New("instance list not read yet")

// checkEntryReady returns nil if the entry can serve callers, and otherwise why not.
func (p *process) checkEntryReady(members *member.Tracker) error {
	switch {
	case p.stopping.Err() != nil:
		return errLeaving
	case p.bundles.Accepted() == 0:
		return errNoBundle
	case members.ListReadAt().IsZero():
		return errNoMembers
	}
	return nil
}

// newCallerServer returns the server for callers.
func (p *process) newCallerServer(service *entry.Service) *entryhttp.Server {
	return entryhttp.New(entryhttp.Config{
		Service: service, Bundle: p.bundles.Current,
		MaxConnections: p.maxConnections(),
		MaxBodyBytes:   int64(p.settings.Limits.Memory) / bodyMemoryDivisor,
		Log:            p.log.Named("front"),
	})
}

// maxConnections returns how many connections callers may have: connectionsPerRequest for each
// request that may be open, as far as the descriptors suffice.
func (p *process) maxConnections() int {
	wanted := connectionsPerRequest * p.settings.Limits.OpenRequests
	if possible := maxCallerConnections(0, p.log); possible > 0 {
		return min(wanted, possible)
	}
	return wanted
}

// stopTimes are the durations of an entry's planned stop.
type stopTimes struct {
	limit   time.Duration // see stopTimeout
	refusal time.Duration // see refusalPeriod
	close   time.Duration // see closeTimeout
}

// serveCallers starts the callers' interface. In a planned stop it refuses new requests
// and ends the process times.refusal after the last open request.
func (p *process) serveCallers(ln net.Listener, service *entry.Service, server *entryhttp.Server, times stopTimes) {
	p.group.Go(func() error { return server.Serve(ln) })
	p.background(func(ctx context.Context) error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), times.close)
		defer cancel()
		return server.Shutdown(stop)
	})
	p.group.Go(func() error {
		select {
		case <-p.stopping.Done():
		case <-p.running.Done():
			return nil
		}
		return p.stopCallers(service, server, times)
	})
}

// stopCallers makes the planned stop of the callers' interface and ends the process. A
// request is no longer open while its response is being sent, so it waits for the
// responses too. At times.limit it ends the open requests while the sessions to their
// targets are still open: only a target can confirm that a request was not run.
func (p *process) stopCallers(service *entry.Service, server *entryhttp.Server, times stopTimes) error {
	defer p.cancelRunning()
	stop, cancel := context.WithTimeout(p.running, times.limit)
	defer cancel()
	service.StopAccepting()
	server.StopAccepting()
	err := p.awaitDrained(p.closedAfter(service.Drained(), times.refusal), times.limit)
	if err == nil {
		return p.sendResponses(stop, server)
	}
	p.log.Warn("planned stop ends the open requests", zap.Int("open", service.OpenRequests()))
	service.EndRequests()
	select {
	case <-service.Drained():
	case <-p.running.Done():
	case <-time.After(times.close):
		p.log.Warn("planned stop cuts requests", zap.Int("open", service.OpenRequests()))
	}
	return err
}

// sendResponses waits until the responses in progress are sent. It returns an error when
// ctx ends before.
func (p *process) sendResponses(ctx context.Context, server *entryhttp.Server) error {
	err := server.Shutdown(ctx)
	if err == nil || p.running.Err() != nil {
		return nil
	}
	state.ReportViolation(state.GracefulStop, "responses are still being sent after the stop timeout")
	return fmt.Errorf("planned stop: send responses: %w", err)
}

// closedAfter returns a channel that is closed when d has passed since done was closed,
// unless the process ends before.
func (p *process) closedAfter(done <-chan struct{}, d time.Duration) <-chan struct{} {
	out := make(chan struct{})
	p.background(func(ctx context.Context) error {
		select {
		case <-done:
		case <-ctx.Done():
			return nil
		}
		select {
		case <-time.After(d):
			close(out)
		case <-ctx.Done():
		}
		return nil
	})
	return out
}
