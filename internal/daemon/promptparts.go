package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/quarantine"
	"github.com/cassiaramp/cassiaramp/platform"
)

// promptPartsInterval is the time between checks whether the parts of prompts that are kept
// from targets are to be read from the store or written there.
const promptPartsInterval = time.Second

// sharePromptParts keeps the blocked parts of prompts in the store, for entries that start
// when no other knows them. The two entries that read the list of targets write them, each
// under its own name, because one entry alone is not believed.
func (c *control) sharePromptParts(ctx context.Context) error {
	tick := time.NewTicker(promptPartsInterval)
	defer tick.Stop()
	read := false
	var written writtenParts
	for {
		if !read {
			read = c.readPromptParts(ctx)
		} else if _, listReadAt := c.listTimes(); time.Since(listReadAt) < maxListAge && !c.othersReadStore() {
			written = c.writePromptParts(ctx, written)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readPromptParts passes the records of all entries to the quarantine. It reports whether
// they could be read.
func (c *control) readPromptParts(ctx context.Context) bool {
	records, err := c.p.store.PromptParts(ctx)
	if records == nil {
		c.p.log.Warn("blocked prompt parts not read", zap.Error(err))
		return false
	}
	if err != nil {
		c.p.log.Warn("records of blocked prompt parts ignored", zap.Error(err))
	}
	now := time.Now()
	for writer, r := range records {
		c.p.quarantine.LearnBlocks(now, writer, r.Blocks, max(0, now.Sub(r.WrittenAt)))
		c.p.log.Info("blocked prompt parts read", zap.String("writer", string(writer)), zap.Int("parts", len(r.Blocks)), zap.Duration("age", now.Sub(r.WrittenAt)))
	}
	return true
}

// writtenParts identifies what this entry has written last.
type writtenParts struct {
	change uint64 // as quarantine.Ledger.Changes
	era    uint64 // of the store
}

// writePromptParts writes the blocked parts if they have changed since they were written,
// or if the store has come back from an older copy. It returns what is written then.
func (c *control) writePromptParts(ctx context.Context, last writtenParts) writtenParts {
	current := writtenParts{change: c.p.quarantine.Changes(), era: c.era()}
	if current == last || current.change == 0 {
		return last
	}
	now := time.Now()
	blocks := c.p.quarantine.Blocks(now)
	if err := c.p.store.PutPromptParts(ctx, c.p.settings.Instance, platform.PromptPartsRecord{WrittenAt: now, Blocks: blocks}); err != nil {
		c.p.log.Warn("blocked prompt parts not written", zap.Int("parts", len(blocks)), zap.Error(err))
		return last
	}
	c.p.log.Info("blocked prompt parts written", zap.Int("parts", len(blocks)))
	return current
}

// logQuarantine logs that a part of prompts, or the content of a request, is blocked or
// released.
func (p *gatewayProcess) logQuarantine(c quarantine.Change) {
	what, counter := "prompt part", "prompt_part_"
	if c.Key.IsContent() {
		what, counter = "crashing request", "crashing_request_"
	}
	key := zap.Uint64("key", uint64(c.Key))
	switch {
	case c.Released:
		p.counters.Add(counter + "released")
		p.log.Info(what+" released", key)
	case c.Probation:
		p.counters.Add(counter + "on_probation")
		p.log.Warn(what+" on probation", key, zap.Bool("all_customers", c.All), zap.Int("crashes", c.Crashes), zap.Int("entries", c.Entries))
	default:
		p.counters.Add(counter + "blocked")
		p.log.Warn(what+" kept from targets", key, zap.Bool("all_customers", c.All), zap.Time("until", c.Until),
			zap.Int("crashes", c.Crashes), zap.Int("entries", c.Entries))
	}
}
