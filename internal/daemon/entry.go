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
	"github.com/cassiaramp/cassiaramp/internal/transport/front"
	"github.com/cassiaramp/cassiaramp/internal/transport/peer"
	"github.com/cassiaramp/cassiaramp/internal/transport/platform"
)

// runEntry starts an entry. It returns when everything is started.
func (p *process) runEntry() error {
	s := p.settings
	instances, err := platform.NewInstanceListClient(s.Platform.Instances)
	if err != nil {
		return fmt.Errorf("instance list: %w", err)
	}
	members := member.NewTracker(instances, p.log.Named("member"))
	placing, client := p.newPlacement(members)
	claims := claim.NewManager(claim.Config{
		Log: p.logService, Partitions: s.Platform.ClaimPartitions,
		Retention: s.Platform.Retention.Std(), Logger: p.log.Named("claim"),
	})
	service := entry.New(entry.Config{
		Peers: client, Claims: claims, Placer: placing,
		Bundle: p.bundles.Current, MaxOpen: s.Limits.OpenRequests, Log: p.log.Named("entry"),
	})
	expvar.Publish("sessions", expvar.Func(func() any { return client.SessionCount() }))
	expvar.Publish("targets", expvar.Func(func() any { return placing.Summaries() }))
	expvar.Publish("open_requests", expvar.Func(func() any { return service.OpenRequests() }))
	p.background(placing.Run)
	p.background(members.Run)
	p.background(claims.Run)
	if err := p.serveCallers(service); err != nil {
		return err
	}
	return p.serveAdmin(func() error { return p.entryReady(members) })
}

// newPlacement connects placement with the sessions to side processes, the
// members and the bundle.
func (p *process) newPlacement(members *member.Tracker) (*placement.Placer, *peer.Client) {
	s := p.settings
	connect := newConnector(p.running)
	placing := placement.New(placement.Config{
		Entry: s.Instance, Domain: s.FailureDomain, Seed: uint64(p.incarnation),
		Connector: connect, Log: p.log.Named("placement"),
	})
	connect.client = peer.NewClient(peer.ClientConfig{
		Instance: s.Instance, Incarnation: p.incarnation, LocalIP: localIP(s.Listen.Callers.Addr()),
		Credentials: p.credentials, Bundles: p.bundles,
		Observer: &observer{placer: placing, members: members}, Log: p.log.Named("peer"),
	})
	p.background(func(ctx context.Context) error {
		<-ctx.Done()
		connect.client.Close()
		return nil
	})
	members.OnChange(placing.SetMembers)
	p.followBundles(func(b *state.Bundle) {
		if err := placing.SetBundle(b); err != nil {
			p.log.Error("policies of the bundle not used; the earlier ones stay in effect",
				zap.Uint64("version", b.Version), zap.Error(err))
		}
	})
	return placing, connect.client
}

const (
	// callerConnections is the number of connections allowed for each open
	// request; callers keep idle connections.
	callerConnections = 4
	// bodyShare is the part of the memory limit, one in bodyShare, that the
	// bodies of requests in progress may take.
	bodyShare = 2
	// flushTimeout bounds the time to close callers' connections once no request
	// is open.
	flushTimeout = 2 * time.Second
	// refusalPeriod is how long a stopping entry still refuses requests on open
	// connections as not run after its last response. In this time callers give up
	// their pooled connections: each refusal closes one, and those left have been
	// unused for as long. Without it, requests sent on connections that the entry
	// was closing broke off without a response.
	refusalPeriod = 3 * time.Second
)

var errNoMembers = errors.New("instance list not read yet")

func (p *process) entryReady(members *member.Tracker) error {
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

// serveCallers serves the callers' interface until the process is drained.
func (p *process) serveCallers(service *entry.Service) error {
	ln, err := net.Listen("tcp", p.settings.Listen.Callers.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := front.New(front.Config{
		Service: service, Bundle: p.bundles.Current,
		MaxConnections: callerConnections * p.settings.Limits.OpenRequests,
		MaxBodyBytes:   int64(p.settings.Limits.Memory) / bodyShare,
		Log:            p.log.Named("front"),
	})
	p.group.Go(func() error { return server.Serve(ln) })
	p.background(func(ctx context.Context) error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		return server.Shutdown(stop)
	})
	p.group.Go(func() error {
		select {
		case <-p.stopping.Done():
		case <-p.running.Done():
			return nil
		}
		service.StopAccepting()
		server.StopAccepting()
		return p.stop(p.later(service.Drained(), refusalPeriod))
	})
	return nil
}

// later returns a channel that is closed d after done, if the process still
// runs then.
func (p *process) later(done <-chan struct{}, d time.Duration) <-chan struct{} {
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
