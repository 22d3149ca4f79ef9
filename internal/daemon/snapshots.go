package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
)

const (
	// outageFetchDelay is how long reads of a topic must fail before another entry is
	// asked.
	outageFetchDelay = 400 * time.Millisecond
	fetchInterval    = 500 * time.Millisecond // between checks whether a fetch is needed
	// transitAllowance is added to the age of a list that comes from another entry,
	// because that age does not include the time in transit.
	transitAllowance = 100 * time.Millisecond
)

// snapshot returns what other entries may fetch.
func (c *control) snapshot() mesh.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := mesh.Snapshot{
		Configuration: c.p.gateway.Configuration(), Targets: c.published, ListHash: c.listHash, ListEra: c.next.Era, ListNext: c.next.Offset,
		Settling: c.hasPendingRemovals, Age: time.Since(c.listCurrentAt),
	}
	if c.p.rollouts != nil {
		s.Plans, s.PlansComplete = c.p.rollouts.Plans(time.Now()), c.plansLoaded.Load()
	}
	if b := c.p.rollout.Current(); b != nil {
		s.Bundle = &b.AcceptedBundle
	}
	return s
}

// ownVersions returns the versions in effect here, which a fetched snapshot need not
// contain.
func (c *control) ownVersions() mesh.KnownVersions {
	known := mesh.KnownVersions{BundleVersion: c.p.rollout.Version()}
	if config := c.p.gateway.Configuration(); config != nil {
		known.ConfigurationVersion = config.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.ListHash = c.listHash
	return known
}

// requestFetch requests a fetch of a snapshot, first from the entry given.
func (c *control) requestFetch(from state.InstanceID) {
	select {
	case c.fetchRequests <- from:
	default: // a fetch is already requested
	}
}

// fetchLoop fetches snapshots from other entries: when requested, and at intervals
// while needsFetch.
func (c *control) fetchLoop(ctx context.Context) error {
	tick := time.NewTicker(fetchInterval)
	defer tick.Stop()
	for {
		var first state.InstanceID
		select {
		case <-ctx.Done():
			return nil
		case first = <-c.fetchRequests:
		case <-tick.C:
			if !c.needsFetch() {
				continue
			}
		}
		s, from, err := c.p.mesh.Fetch(ctx, first, c.ownVersions())
		if err != nil {
			c.p.log.Debug("snapshot not fetched", zap.Error(err))
			continue
		}
		c.post(func(now time.Time) { c.adoptSnapshot(now, s, from) })
	}
}

// needsFetch reports whether the configuration or the list of targets is missing, or
// reads of a topic have failed for outageFetchDelay. It asks the goroutine of loop, and
// returns false once that has ended.
func (c *control) needsFetch() bool {
	reply := make(chan bool, 1)
	c.post(func(now time.Time) {
		needs := c.p.gateway.Configuration() == nil || c.targetCount() == 0
		for _, d := range c.topics {
			needs = needs || !d.failedSince.IsZero() && now.Sub(d.failedSince) > outageFetchDelay
		}
		reply <- needs
	})
	select {
	case needs := <-reply:
		return needs
	case <-c.loopEnded:
		return false
	}
}

// adoptSnapshot puts into effect what is newer in another entry's snapshot.
func (c *control) adoptSnapshot(now time.Time, s *mesh.Snapshot, from netip.AddrPort) {
	if s.Configuration != nil {
		c.setConfiguration(s.Configuration, from.String())
	}
	if s.Bundle != nil {
		accepted, err := c.p.rollout.Offer(*s.Bundle, c.p.applyPolicies)
		c.recordBundleOffer(accepted, from.String(), err)
	}
	c.adoptPlans(now, s.Plans, s.PlansComplete) // before the targets of a new version
	currentAt := now.Add(-s.Age - transitAllowance)
	c.mu.Lock()
	next := keyedtopic.Position{Era: s.ListEra, Offset: s.ListNext}
	newer := currentAt.After(c.listCurrentAt) && c.mayFollow(next)
	if s.Settling && len(c.published) > 0 {
		newer = false // this entry may know already that some of the snapshot's targets left
	}
	sameList := s.ListHash == c.listHash
	if newer && sameList {
		c.listCurrentAt = currentAt
	}
	c.mu.Unlock()
	if newer && !sameList && len(s.Targets) > 0 {
		c.adoptList(now, currentAt, s.Targets, next)
	}
}
