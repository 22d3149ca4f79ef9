package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// bundleReadWait is how long a read of the bundle waits at the store for a new
	// record.
	bundleReadWait = 20 * time.Second
	// bundleReadInterval is the pause between reads. A bundle is in effect at all
	// entries some seconds after its publication.
	bundleReadInterval = time.Second
)

// followBundles reads bundles from the store if this entry is one of the
// maxListReaders that read the list of targets. Other entries skip the reads and fetch
// the bundle from an entry when a report names a higher version.
func (c *control) followBundles(ctx context.Context) error {
	topic := keyedtopic.Topic{Name: platform.BundleTopic, ReadWait: bundleReadWait, ReadInterval: bundleReadInterval, SkipRead: c.othersReadStore, Era: c.knownEra}
	return keyedtopic.Follow(ctx, c.p.store, topic, &topicHandler{control: c, name: platform.BundleTopic, apply: c.applyBundles})
}

// applyBundles offers the bundles among the records of the topic to the rollout.
func (c *control) applyBundles(_ time.Time, _ bool, records []keyedtopic.Record, _ keyedtopic.Position) {
	for _, r := range records {
		if r.Key != platform.BundleKey || len(r.Value) == 0 {
			continue
		}
		accepted, err := c.p.rollout.OfferRecord(r.Value, r.Offset, c.p.applyPolicies)
		c.recordBundleOffer(accepted, "store", err)
	}
}

// onBundleReport requests a fetch of the bundle when another entry has a newer one.
func (c *control) onBundleReport(now time.Time, from state.InstanceID, version uint64) {
	own := c.p.rollout.Version()
	if c.p.followsBundles && version > own && c.bundleFetches.allow(now, own, 0) {
		c.requestFetch(from)
	}
}

// recordBundleOffer logs and counts the result of offering a bundle to the rollout.
// accepted is nil if the bundle was refused or is not newer.
func (c *control) recordBundleOffer(accepted *bundle.DecodedBundle, source string, err error) {
	switch {
	case err != nil:
		c.p.counters.Add("bundle_refused")
		c.p.log.Error("bundle refused", zap.String("source", source), zap.Error(err))
	case accepted != nil:
		c.p.log.Info("bundle in effect", zap.Uint64("version", accepted.Version), zap.String("bundle", string(accepted.ID)),
			zap.String("source", source), zap.String("note", accepted.Bundle.Note),
			zap.Float64("hedging_share", c.p.hedgingShare()))
	}
}

// hedgingShare returns the extra work that hedges may do: what the bundle in effect states, or
// else the flag of the daemon.
func (p *gatewayProcess) hedgingShare() float64 {
	if b := p.rollout.Current(); b != nil && b.Bundle.Admission.Hedging != nil {
		return *b.Bundle.Admission.Hedging
	}
	return p.hedgingFlag
}

// applyPolicies puts the policies of a bundle into effect. b.Admission must be set,
// which the rollout makes sure of.
func (p *gatewayProcess) applyPolicies(b *state.Bundle) error {
	policies, err := dispatch.NewPolicies(*b.Admission, b.Policies, b.Split)
	if err != nil {
		return err
	}
	p.scheduler.SetPolicies(policies)
	return nil
}
