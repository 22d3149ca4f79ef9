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
	DefaultMaxKeys    = 1 << 16
)

// MaxWait is the longest time that Claim waits for the log.
const MaxWait = 2 * time.Second

// StreamName returns the name of the stream of a partition.
func StreamName(partition int) string { return fmt.Sprintf("claims-%d", partition) }

// Config configures a Manager.
type Config struct {
	Log logstream.Log
	// Partitions is the number of claim streams. It must be the same in every
	// process; 0 stands for DefaultPartitions.
	Partitions int
	// MaxKeys is the number of keys held at most, over all partitions; 0 stands for
	// DefaultMaxKeys. While the table of a partition is full, claims for new keys are
	// refused.
	MaxKeys int
	// Retention is how long the log service retains records of the streams. If it is
	// below Horizon and records have been removed, a process refuses claims until it has
	// read for a horizon. If it is below two horizons, keys of retained claims may be in
	// doubt in a process that has just started, and claims for them are refused there.
	Retention time.Duration
	Logger    *zap.Logger
}

// Manager appends claims to their streams and folds the streams. It is safe for
// concurrent use.
type Manager struct {
	partitions []*partition
}

var _ entry.Claims = (*Manager)(nil)

// NewManager returns a manager that has read nothing yet; Run reads the streams.
func NewManager(cfg Config) *Manager {
	if cfg.Partitions == 0 {
		cfg.Partitions = DefaultPartitions
	}
	if cfg.MaxKeys == 0 {
		cfg.MaxKeys = DefaultMaxKeys
	}
	m := &Manager{}
	limiter := newAppendLimiter()
	for i := range cfg.Partitions {
		m.partitions = append(m.partitions, newPartition(cfg, StreamName(i), max(1, cfg.MaxKeys/cfg.Partitions), limiter))
	}
	return m
}

// Run reads the streams and appends claims until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range m.partitions {
		g.Go(func() error { return p.runTailer(ctx) })
		g.Go(func() error { return p.runAppends(ctx) })
	}
	return g.Wait()
}

// Ready reports whether every partition has been read to its end once.
func (m *Manager) Ready() bool {
	for _, p := range m.partitions {
		if !p.isReady() {
			return false
		}
	}
	return true
}

// Claim implements entry.Claims. It waits until ctx ends, but not longer than MaxWait.
func (m *Manager) Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWait)
	defer cancel()
	return m.partitionOf(c.Key).claim(ctx, c)
}

// Lookup implements entry.Claims.
func (m *Manager) Lookup(key string) (state.Claim, bool) {
	return m.partitionOf(key).lookup(key)
}

func (m *Manager) partitionOf(key string) *partition {
	return m.partitions[xxhash.Sum64String(key)%uint64(len(m.partitions))]
}

// unavailableError returns an error that wraps entry.ErrClaimUnavailable.
func unavailableError(stream, format string, args ...any) error {
	return fmt.Errorf("%w: stream %s: %s", entry.ErrClaimUnavailable, stream, fmt.Sprintf(format, args...))
}
