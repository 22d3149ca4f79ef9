package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/bundle"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	// eraCheckInterval is the time between checks whether the store has come back from an
	// older copy.
	eraCheckInterval = 500 * time.Millisecond
	// maxRewriteDelay bounds the random delay of writes after that, so that the entries do
	// not all write at once.
	maxRewriteDelay = time.Second
)

// keepOwnRecords writes again what this entry has written to the store, when that has come
// back from an older copy: its own record and, at one of the entries, the bundle in effect.
// The records of other tasks are written again by these.
func (c *control) keepOwnRecords(ctx context.Context) error {
	tick := time.NewTicker(eraCheckInterval)
	defer tick.Stop()
	known := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		era := c.era()
		if known == 0 || era == known {
			known = era
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rand.N(maxRewriteDelay)):
		}
		if c.rewriteRecords(ctx, era) {
			known = era
		}
	}
}

// rewriteRecords writes the records of this entry. It reports whether that succeeded.
func (c *control) rewriteRecords(ctx context.Context, era uint64) bool {
	if err := c.putEntryRecord(ctx); err != nil {
		c.p.log.Warn("records not written again", zap.Uint64("era", era), zap.Error(err))
		return false
	}
	bundleWritten := false
	if current := c.p.rollout.Current(); current != nil && c.readsListFirst(time.Now()) {
		var err error
		if bundleWritten, err = bundle.Keep(ctx, platform.BundleRegister{Store: c.p.store}, current); err != nil {
			c.p.log.Warn("bundle not written again", zap.Uint64("era", era), zap.Uint64("version", current.Version), zap.Error(err))
			return false
		}
	}
	c.p.log.Info("records written again", zap.Uint64("era", era), zap.Bool("bundle", bundleWritten))
	return true
}

// readsListFirst reports whether this entry has the lowest name of those that read the list
// of targets.
func (c *control) readsListFirst(now time.Time) bool {
	_, listReadAt := c.listTimes()
	return now.Sub(listReadAt) <= maxListAge && c.p.mesh.CountReadersBelow(now, c.p.settings.Instance) == 0
}
