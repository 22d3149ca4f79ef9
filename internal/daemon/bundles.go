package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/internal/coordination/dispatch"
	"github.com/cassiaramp/cassiaramp/internal/coordination/registry"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// bundleWait is how long the store holds a read of the bundle.
	bundleWait = 20 * time.Second
	// bundlePause is the time between reads. A bundle is in effect everywhere some
	// seconds after its publication.
	bundlePause = time.Second
)

// followBundles reads the bundle from the store at the entries that also read the
// list of targets. The others fetch it when a report names a higher version.
func (c *control) followBundles(ctx context.Context) error {
	topic := registry.Topic{Name: platform.BundleTopic, ReadWait: bundleWait, ReadInterval: bundlePause, SkipRead: func() bool {
		return c.p.mesh.CountReadersBelow(time.Now(), c.p.settings.Instance) >= listReaders
	}}
	return registry.Follow(ctx, c.p.store, topic, &topicHandler{control: c, name: platform.BundleTopic, apply: c.applyBundles})
}

func (c *control) applyBundles(_ time.Time, _ bool, records []registry.Record, _ uint64) {
	for _, r := range records {
		if r.Key != platform.BundleKey || len(r.Value) == 0 {
			continue
		}
		accepted, err := c.p.rollout.OfferRecord(r.Value, r.Offset, c.p.putPolicies)
		c.bundleOffered(accepted, "store", err)
	}
}

// bundleReported has the bundle fetched when another entry has a newer one.
func (c *control) bundleReported(now time.Time, from state.InstanceID, version uint64) {
	own := c.p.rollout.Version()
	if c.p.followsBundles && version > own && c.bundleBehind.ask(now, own, 0) {
		c.askFor(from)
	}
}

func (c *control) bundleOffered(accepted *bundle.DecodedBundle, source string, err error) {
	switch {
	case err != nil:
		c.p.counters.Add("bundle_refused")
		c.p.log.Error("bundle refused", zap.String("source", source), zap.Error(err))
	case accepted != nil:
		c.p.log.Info("bundle in effect", zap.Uint64("version", accepted.Version), zap.String("bundle", string(accepted.ID)),
			zap.String("source", source), zap.String("note", accepted.Bundle.Note))
	}
}

// putPolicies puts the policies of a bundle into effect. A rollout offers only
// bundles that have Admission.
func (p *gatewayProcess) putPolicies(b *state.Bundle) error {
	policies, err := dispatch.NewPolicies(*b.Admission, b.Policies, b.Split)
	if err != nil {
		return err
	}
	p.scheduler.SetPolicies(policies)
	return nil
}
