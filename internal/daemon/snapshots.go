package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
)

const (
	// fetchAfter is how long the store is silent before another entry is asked.
	fetchAfter    = 400 * time.Millisecond
	fetchInterval = 500 * time.Millisecond
	// wayTime is taken off the age of what comes from other entries, which lacks the
	// time on the way.
	wayTime = 100 * time.Millisecond
)

// snapshot is what other entries may fetch.
func (c *control) snapshot() mesh.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := mesh.Snapshot{
		Configuration: c.p.gateway.Configuration(), Targets: c.published, ListHash: c.hash, ListNext: c.next,
		Settling: c.settling, Age: time.Since(c.fresh),
	}
	if b := c.p.rollout.Current(); b != nil {
		s.Bundle = &b.AcceptedBundle
	}
	return s
}

// have is what a fetched snapshot need not repeat.
func (c *control) have() mesh.KnownVersions {
	h := mesh.KnownVersions{BundleVersion: c.p.rollout.Version()}
	if config := c.p.gateway.Configuration(); config != nil {
		h.ConfigurationVersion = config.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.ListHash = c.hash
	return h
}

// askFor has the list fetched from an entry.
func (c *control) askFor(from state.InstanceID) {
	select {
	case c.fetchNow <- from:
	default: // a fetch is due already
	}
}

// fetch asks other entries while the store does not answer this one.
func (c *control) fetch(ctx context.Context) error {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		var first state.InstanceID
		select {
		case <-ctx.Done():
			return nil
		case first = <-c.fetchNow:
		case <-tick.C:
			if !c.needsFetch() {
				continue
			}
		}
		s, from, err := c.p.mesh.Fetch(ctx, first, c.have())
		if err != nil {
			c.p.log.Debug("snapshot not fetched", zap.Error(err))
			continue
		}
		c.post(func(now time.Time) { c.adopt(now, s, from) })
	}
}

// needsFetch asks the control goroutine.
func (c *control) needsFetch() bool {
	reply := make(chan bool, 1)
	c.post(func(now time.Time) {
		needs := c.p.gateway.Configuration() == nil || c.targetCount() == 0
		for _, d := range c.stored {
			needs = needs || !d.failedSince.IsZero() && now.Sub(d.failedSince) > fetchAfter
		}
		reply <- needs
	})
	return <-reply
}

// adopt takes over what is newer in another entry's snapshot.
func (c *control) adopt(now time.Time, s *mesh.Snapshot, from netip.AddrPort) {
	if s.Configuration != nil {
		c.setConfiguration(s.Configuration, from.String())
	}
	if s.Bundle != nil {
		accepted, err := c.p.rollout.Offer(*s.Bundle, c.p.putPolicies)
		c.bundleOffered(accepted, from.String(), err)
	}
	at := now.Add(-s.Age - wayTime)
	c.mu.Lock()
	newer := at.After(c.fresh) && s.ListNext >= c.next
	if s.Settling && len(c.published) > 0 {
		newer = false // this entry may know that some of its targets left
	}
	same := s.ListHash == c.hash
	if newer && same {
		c.fresh = at
	}
	c.mu.Unlock()
	if newer && !same && len(s.Targets) > 0 {
		c.takeOver(now, at, s.Targets, s.ListNext)
	}
}
