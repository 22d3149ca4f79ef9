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
	joinPause = 500 * time.Millisecond // between tries to write this entry's record
	leaveTime = 300 * time.Millisecond // for the removal of the record
)

// join writes this entry's record and learns the others.
func (c *control) join(ctx context.Context) error {
	value, err := platform.EncodeEntry(platform.EntryRecord{Address: netip.AddrPortFrom(c.p.settings.IP, c.p.settings.FirstPort).String()})
	if err != nil {
		return err
	}
	written := false
	for ctx.Err() == nil {
		if !written {
			err = c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), value)
			written = err == nil
		}
		if written {
			var entries map[state.InstanceID]platform.EntryRecord
			if entries, err = c.p.store.Entries(ctx); entries != nil {
				c.learn(entries, err)
				return nil
			}
		}
		c.p.log.Warn("entry record not exchanged", zap.Bool("written", written), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
	return nil
}

func (c *control) learn(entries map[state.InstanceID]platform.EntryRecord, malformed error) {
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

// leave removes this entry's record and tells the others.
func (c *control) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := c.p.mesh.Leave(&mesh.Message{Instance: c.p.settings.Instance, Incarnation: c.p.incarnation}); err != nil {
		c.p.log.Warn("leave not told", zap.Error(err))
	}
	if err := c.p.store.Put(ctx, platform.EntryTopic, string(c.p.settings.Instance), nil); err != nil {
		c.p.log.Warn("entry record not removed", zap.Error(err))
	}
}
