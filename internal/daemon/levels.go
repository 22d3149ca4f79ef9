package daemon

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/quota"
	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/platform"
)

// maxStoredLevelsAge is the age, by the clocks of two instances, up to which stored levels
// of allowances count. Later ones tell little of what customers have left, and clocks may
// have been set.
const maxStoredLevelsAge = 5 * time.Second

// storeLevels keeps the levels of the customers' allowances in the store. The entry that
// reads the list of targets first writes them, and entries read them at their start, so
// that a restart of all entries does not empty the allowances of customers that were within
// them.
func (c *control) storeLevels(ctx context.Context) error {
	tick := time.NewTicker(quota.StoreInterval)
	defer tick.Stop()
	var stored map[state.Customer]float64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(c.p.startedAt) < startupTime {
			continue // each entry reads the list of targets itself then
		}
		levels := c.p.quota.Levels(now)
		if len(levels) == 0 || !c.readsListFirst(now) || maps.Equal(levels, stored) {
			continue
		}
		if err := c.p.store.PutLevels(ctx, platform.LevelsRecord{Levels: levels, WrittenMillis: now.UnixMilli()}); err != nil {
			c.p.log.Warn("levels of allowances not stored", zap.Int("customers", len(levels)), zap.Error(err))
			continue
		}
		stored = levels
	}
}

// learnLevels passes levels that were read from the store to the ledger.
func (c *control) learnLevels(now time.Time, r platform.LevelsRecord) {
	if r.WrittenMillis == 0 {
		return
	}
	age := now.Sub(time.UnixMilli(r.WrittenMillis))
	used := age.Abs() <= maxStoredLevelsAge
	if used {
		c.p.quota.AdoptStored(r.Levels)
	}
	c.p.log.Info("levels of allowances read", zap.Int("customers", len(r.Levels)), zap.Duration("age", age), zap.Bool("used", used))
}
