package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/state"
	"github.com/cassiaramp/cassiaramp/internal/transport/mesh"
	"github.com/cassiaramp/cassiaramp/platform"
)

const (
	joinRetryInterval = 500 * time.Millisecond // between attempts to exchange entry records with the store
	leaveTimeout      = 300 * time.Millisecond // bounds the removal of this entry's record
)

// join writes this entry's record to the store and passes the addresses in the other
// entries' records to the mesh. It retries until both have succeeded once.
func (c *control) join(ctx context.Context) error {
	written := false
	for ctx.Err() == nil {
		var err error
		if !written {
			err = c.putEntryRecord(ctx)
			written = err == nil
		}
		if written {
			var entries map[state.InstanceID]platform.EntryRecord
			var levels platform.LevelsRecord
			if entries, levels, err = c.p.store.Entries(ctx); entries != nil {
				c.learnEntries(entries, err)
				c.learnLevels(time.Now(), levels)
				return nil
			}
		}
		c.p.log.Warn("entry record not exchanged", zap.Bool("written", written), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
	return nil
}

// putEntryRecord writes this entry's record.
func (c *control) putEntryRecord(ctx context.Context) error {
	value, err := platform.EncodeEntry(platform.EntryRecord{Address: netip.AddrPortFrom(c.p.settings.IP, c.p.settings.FirstPort).String()})
	if err != nil {
		return err
	}
	return c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), value)
}

// learnEntries passes the entries' addresses to the mesh. malformed is the error of
// the records that could not be decoded, or nil.
func (c *control) learnEntries(entries map[state.InstanceID]platform.EntryRecord, malformed error) {
	if malformed != nil {
		c.p.log.Warn("entry records ignored", zap.Error(malformed))
	}
	for id, entry := range entries {
		a, err := netip.ParseAddrPort(entry.Address)
		if err != nil {
			c.p.log.Warn("entry record ignored", zap.String("entry", string(id)), zap.Error(err))
			continue
		}
		c.p.mesh.AddAddress(a)
	}
}

// leave tells the other entries that this one stops and removes its record from the
// store.
func (c *control) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := c.p.mesh.Leave(&mesh.Message{Instance: c.p.settings.Instance, Incarnation: c.p.incarnation}); err != nil {
		c.p.log.Warn("other entries not told that this entry leaves", zap.Error(err))
	}
	if err := c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), nil); err != nil {
		c.p.log.Warn("entry record not removed from the store", zap.Error(err))
	}
}
