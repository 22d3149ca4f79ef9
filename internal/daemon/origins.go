package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

const (
	// heardLately is the age of a report up to which its sender counts as heard.
	heardLately = 1500 * time.Millisecond
	// mixedCheckInterval is the time between checks whether the services with several
	// software versions in the store are to be written again.
	mixedCheckInterval = time.Second
)

// findOrigin implements mesh.FindOrigin.
func (p *gatewayProcess) findOrigin(id state.RequestID, service state.Service) (origin.Origin, bool) {
	return p.origins.Find(time.Now(), id, service)
}

// askOrigin asks other entries where the stream of a request began.
func (p *gatewayProcess) askOrigin(ctx context.Context, id state.RequestID, service state.Service) (origin.Origin, bool) {
	o, err := p.mesh.AskOrigin(ctx, id, service)
	if err != nil {
		p.log.Info("origin of a stream not found", zap.String("resumes", string(id)), zap.String("service", string(service)), zap.Error(err))
	}
	return o, err == nil
}

// isConnected reports whether a software version that begins to serve becomes known here:
// the list of targets is current, or most other entries are heard.
func (p *gatewayProcess) isConnected(now time.Time) bool {
	if now.Sub(p.control.listTime()) < maxListAge {
		return true
	}
	heard := p.mesh.HeardCount(now, heardLately)
	return heard > 0 && heard >= p.mesh.PeerCount(now)/2
}

// listTime returns the latest time for which the list of targets is known to be current.
func (c *control) listTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listCurrentAt
}

// listReadTime returns when the list of targets was last read from the store here.
func (c *control) listReadTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listReadAt
}

// adoptMixedServices reads from the store which services had several software versions
// lately, which an entry that has just started cannot know from the list of targets. It
// retries until it succeeds, or until it is needless.
func (c *control) adoptMixedServices(ctx context.Context) error {
	for !c.p.settings.FirstStart && ctx.Err() == nil && time.Since(c.p.startedAt) < origin.MaxTakeUpTime {
		mixed, err := c.p.store.MixedServices(ctx)
		if err == nil {
			c.p.origins.AdoptMixed(time.Now(), mixed)
			c.p.log.Info("services with several software versions known", zap.Any("services", mixed))
			return nil
		}
		c.p.log.Warn("services with several software versions not read", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return nil
}

// shareMixedServices keeps the services with several software versions in the store, for
// entries that start. One entry writes them.
func (c *control) shareMixedServices(ctx context.Context) error {
	tick := time.NewTicker(mixedCheckInterval)
	defer tick.Stop()
	w := mixedServicesWriter{control: c}
	if c.p.settings.FirstStart {
		w.stored = make(map[state.Service][]state.SoftwareVersion)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			w.update(ctx, now)
		}
	}
}

// mixedServicesWriter writes changes of the services with several software versions.
type mixedServicesWriter struct {
	control *control
	// stored is what the store holds; nil if that is unknown.
	stored map[state.Service][]state.SoftwareVersion
}

// update writes what has changed, if this entry is to write: it reads the list of targets
// and has the lowest name of those that do.
func (w *mixedServicesWriter) update(ctx context.Context, now time.Time) {
	p := w.control.p
	if now.Sub(w.control.listReadTime()) > maxListAge || p.mesh.CountReadersBelow(now, p.settings.Instance) > 0 {
		w.stored = nil // another entry may write
		return
	}
	mixed, covered := p.origins.Mixed(now)
	if !covered {
		return
	}
	if w.stored == nil {
		var err error
		if w.stored, err = p.store.MixedServices(ctx); err != nil {
			p.log.Warn("services with several software versions not read", zap.Error(err))
		}
		if w.stored == nil {
			return
		}
	}
	for service, versions := range mixed {
		w.put(ctx, service, versions)
	}
	for service := range w.stored {
		if mixed[service] == nil {
			w.put(ctx, service, nil)
		}
	}
}

// put writes the versions of a service unless the store holds them. Without versions it
// removes the record.
func (w *mixedServicesWriter) put(ctx context.Context, service state.Service, versions []state.SoftwareVersion) {
	if slices.Equal(w.stored[service], versions) {
		return
	}
	p := w.control.p
	if err := p.store.PutMixedService(ctx, service, versions); err != nil {
		p.log.Warn("software versions of a service not written", zap.String("service", string(service)), zap.Error(err))
		return
	}
	p.log.Info("software versions of a service written", zap.String("service", string(service)), zap.Any("versions", versions))
	if w.stored[service] = versions; versions == nil {
		delete(w.stored, service)
	}
}
