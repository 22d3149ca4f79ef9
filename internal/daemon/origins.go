package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// mixedCheckInterval is the time between checks whether the services with several software
// versions are to be read from the store or written there.
const mixedCheckInterval = time.Second

// findOrigin implements mesh.FindOrigin.
func (p *gatewayProcess) findOrigin(q origin.Question) (origin.Origin, bool) {
	return p.origins.Answer(time.Now(), q)
}

// tellOrigin implements the gateway's TellOrigin.
func (p *gatewayProcess) tellOrigin(o origin.Origin, ids ...state.RequestID) {
	if err := p.mesh.TellOrigins(time.Now(), p.settings.Instance, p.incarnation, origin.NewNotes(o, ids...)); err != nil {
		p.counters.Add("origin_not_told") // the next reports contain it
		p.log.Debug("origin of a stream not told", zap.Error(err))
	}
}

// isConnected reports whether a software version that begins to serve, or a configuration, becomes known here:
// the list of targets is current, or most other entries are heard.
func (p *gatewayProcess) isConnected(now time.Time) bool {
	if listCurrentAt, _ := p.control.listTimes(); now.Sub(listCurrentAt) < maxListAge {
		return true
	}
	heard := len(p.mesh.Heard(now))
	return heard > 0 && heard >= p.mesh.PeerCount(now)/2
}

const (
	// silenceTime is the time without a report after which an entry is cut off, or suspended, or all
	// others have ended: entries report to near ones at least every idleReportInterval.
	silenceTime = idleReportInterval + 200*time.Millisecond
	// catchUpTime is the time after a silence in which a report may be an old one that was received late,
	// or one of an entry that does not read the list of targets. Each entry reports within it.
	catchUpTime = idleReportInterval + 100*time.Millisecond
)

// originRecency decides how recent the versions and routes are that an entry knows.
type originRecency struct {
	checkedAt time.Time // when completeAt was called last
	silentAt  time.Time // when there had been a silence last
}

// completeAt returns the latest time at which other entries could not know of more versions and routes than
// this one. heardAt is when one of them has reported last, zero for none; listAt is when the list of targets
// was current.
func (r *originRecency) completeAt(now, heardAt, listAt time.Time) time.Time {
	// The time of day tells of times in which the instance was suspended.
	paused := max(now.Sub(r.checkedAt), now.Round(0).Sub(r.checkedAt.Round(0))) > silenceTime
	if paused && !r.checkedAt.IsZero() || !heardAt.IsZero() && now.Sub(heardAt) > silenceTime {
		r.silentAt = now
	}
	r.checkedAt = now
	switch {
	case now.Sub(listAt) < maxListAge && (heardAt.IsZero() || listAt.Sub(heardAt) >= silenceTime):
		return now // there is no other entry, or all had ended when the list was read
	case heardAt.IsZero() || now.Sub(r.silentAt) < catchUpTime:
		return time.Time{}
	default:
		return heardAt
	}
}

// listTimes returns the latest time for which the list of targets is known to be current,
// and when it was last read from the store here.
func (c *control) listTimes() (currentAt, readAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listCurrentAt, c.listReadAt
}

// shareMixedServices keeps the services of origin.Log.Mixed in the store. One
// entry writes them; entries that have just started or were cut off read them, because
// the list of targets does not say which versions served before.
func (c *control) shareMixedServices(ctx context.Context) error {
	tick := time.NewTicker(mixedCheckInterval)
	defer tick.Stop()
	m := mixedServices{control: c}
	for {
		now := time.Now()
		if era := c.era(); era != m.era {
			m.stored, m.era = nil, era // what was written may be gone
		}
		if !c.p.origins.Covered(now) {
			m.adopt(ctx)
		}
		m.update(ctx, now)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-c.mixedDue:
		}
	}
}

// checkMixedServices lets shareMixedServices write what has changed at once: an entry that starts before it is
// written takes the only origin of the new list or configuration for that of a stream that began before.
func (c *control) checkMixedServices() {
	select {
	case c.mixedDue <- struct{}{}:
	default: // a check is due already
	}
}

// mixedServices reads and writes the services of origin.Log.Mixed.
type mixedServices struct {
	control *control
	// stored is what the store holds; nil if that is unknown.
	stored map[state.Service][]state.SoftwareVersion
	era    uint64 // of the store
}

// read reads the services from the store. It reports whether that succeeded.
func (m *mixedServices) read(ctx context.Context) bool {
	var err error
	if m.stored, err = m.control.p.store.MixedServices(ctx); err != nil {
		m.control.p.log.Warn("services with several origins not read", zap.Error(err))
	}
	return err == nil
}

// adopt reads the services and passes them to the log of origins.
func (m *mixedServices) adopt(ctx context.Context) {
	began := time.Now()
	if !m.read(ctx) {
		return
	}
	m.control.p.origins.AdoptMixed(began, m.stored)
	m.control.p.log.Info("services with several origins known", zap.Any("services", m.stored))
}

// update writes what has changed, if this entry is to write: it reads the list of targets,
// has the lowest name of those that do, and knows all versions.
func (m *mixedServices) update(ctx context.Context, now time.Time) {
	p := m.control.p
	if !m.control.readsListFirst(now) {
		m.stored = nil // another entry may write
		return
	}
	if !p.origins.Covered(now) || m.stored == nil && !m.read(ctx) {
		return
	}
	mixed := p.origins.Mixed(now)
	written := true
	for service, versions := range mixed {
		if !slices.Equal(m.stored[service], versions) {
			written = m.put(ctx, service, versions) && written
		}
	}
	for service := range m.stored {
		if mixed[service] == nil {
			written = m.put(ctx, service, nil) && written
		}
	}
	m.stored = mixed
	if !written {
		m.stored = nil // a write that failed may have taken effect, or may do so later
	}
}

// put writes the versions of a service, or removes its record if there are none. It
// reports whether that succeeded.
func (m *mixedServices) put(ctx context.Context, service state.Service, versions []state.SoftwareVersion) bool {
	p := m.control.p
	if err := p.store.PutMixedService(ctx, service, versions); err != nil {
		p.log.Warn("origins of a service not written", zap.String("service", string(service)), zap.Error(err))
		return false
	}
	p.log.Info("origins of a service written", zap.String("service", string(service)), zap.Any("versions", versions))
	return true
}
