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

// keepOwnRecords writes again what the store has lost when it has come back from an older
// copy: the record of this entry and, if it is the first reader of the list of targets, the
// bundle in effect. The records of other tasks are written again by these.
func (c *control) keepOwnRecords(ctx context.Context) error {
	tick := time.NewTicker(eraCheckInterval)
	defer tick.Stop()
	// The eras in which the records are known to be in the store; 0 for none. An entry writes
	// its record at its start, but may become the first reader at any time.
	var entryEra, bundleEra uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		era := c.era()
		if entryEra == 0 {
			entryEra = era
		}
		if era != entryEra && c.rewriteEntryRecord(ctx, era) {
			entryEra = era
		}
		if era != bundleEra && c.readsListFirst(time.Now()) && c.keepBundle(ctx, era) {
			bundleEra = era
		}
	}
}

// rewriteEntryRecord writes this entry's record after a random delay. It reports whether
// that succeeded.
func (c *control) rewriteEntryRecord(ctx context.Context, era uint64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(maxRewriteDelay)):
	}
	if err := c.putEntryRecord(ctx); err != nil {
		c.p.log.Warn("entry record not written again", zap.Uint64("era", era), zap.Error(err))
		return false
	}
	c.p.log.Info("entry record written again", zap.Uint64("era", era))
	return true
}

// keepBundle writes the bundle in effect if the store has none or an older one. It reports
// whether the store has it then.
func (c *control) keepBundle(ctx context.Context, era uint64) bool {
	current := c.p.rollout.Current()
	if current == nil {
		return false
	}
	written, err := bundle.Keep(ctx, platform.BundleRegister{Store: c.p.store}, current)
	if err != nil {
		c.p.log.Warn("bundle not written again", zap.Uint64("era", era), zap.Uint64("version", current.Version), zap.Error(err))
		return false
	}
	if written {
		c.p.log.Info("bundle written again", zap.Uint64("era", era), zap.Uint64("version", current.Version))
	}
	return true
}

// readsListFirst reports whether this entry has the lowest name of those that read the list
// of targets.
func (c *control) readsListFirst(now time.Time) bool {
	_, listReadAt := c.listTimes()
	return now.Sub(listReadAt) <= maxListAge && c.p.mesh.CountReadersBelow(now, c.p.settings.Instance) == 0
}
