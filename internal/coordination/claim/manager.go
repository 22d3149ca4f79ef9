package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cassiaramp/cassiaramp/internal/coordination/entry"
	"github.com/cassiaramp/cassiaramp/internal/coordination/logstream"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Defaults of Config.
const (
	DefaultPartitions = 4
	DefaultLimit      = 1 << 16
)

// Limit is the longest time that Claim waits for the log.
const Limit = 2 * time.Second

// StreamName returns the name of the stream of a partition.
func StreamName(partition int) string { return fmt.Sprintf("claims-%d", partition) }

// Config configures a Manager.
type Config struct {
	Log logstream.Log
	// Partitions is the number of claim streams, the same in every process; 0
	// stands for DefaultPartitions.
	Partitions int
	// Limit is the number of keys held at most; 0 stands for DefaultLimit. While
	// the table of a partition is full, new keys are refused.
	Limit int
	// Retention is how long the log service retains records of the streams. Below
	// Horizon a process serves no claims until it has read for a horizon. Below
	// two horizons, the keys of retained claims may be in doubt for a process
	// that has just started, and are refused there.
	Retention time.Duration
	Logger    *zap.Logger
}

// Manager appends and folds claims. It is safe for concurrent use.
type Manager struct {
	partitions []*partition
}

var _ entry.Claims = (*Manager)(nil)

// NewManager returns a manager that has read nothing.
func NewManager(cfg Config) *Manager {
	if cfg.Partitions == 0 {
		cfg.Partitions = DefaultPartitions
	}
	if cfg.Limit == 0 {
		cfg.Limit = DefaultLimit
	}
	m := &Manager{}
	pace := newPace()
	for i := range cfg.Partitions {
		m.partitions = append(m.partitions, newPartition(cfg, StreamName(i), max(1, cfg.Limit/cfg.Partitions), pace))
	}
	return m
}

// Run reads and appends until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range m.partitions {
		g.Go(func() error { return p.tail(ctx) })
		g.Go(func() error { return p.append(ctx) })
	}
	return g.Wait()
}

// Ready reports whether every partition was read to its end once.
func (m *Manager) Ready() bool {
	for _, p := range m.partitions {
		if !p.isReady() {
			return false
		}
	}
	return true
}

// Claim implements entry.Claims. It waits until ctx ends or for Limit,
// whichever is shorter.
func (m *Manager) Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	return m.partition(c.Key).claim(ctx, c)
}

// Lookup implements entry.Claims.
func (m *Manager) Lookup(key string) (state.Claim, bool) {
	return m.partition(key).lookup(key)
}

func (m *Manager) partition(key string) *partition {
	return m.partitions[xxhash.Sum64String(key)%uint64(len(m.partitions))]
}

func unavailable(stream, format string, args ...any) error {
	return fmt.Errorf("%w: stream %s: %s", entry.ErrClaimUnavailable, stream, fmt.Sprintf(format, args...))
}
