package engine

import (
	"context"
	"expvar"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaramp/cassiaramp/internal/coordination/side"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// missedCacheEvents counts cache events that are missing from an engine's sequence.
var missedCacheEvents = expvar.NewInt("engine_cache_event_gaps")

// Observer receives what an engine reports about itself. *side.Service
// implements it.
type Observer interface {
	LoadReported(side.Load)
	// CacheChanged reports the hashes of prompt blocks that the engine stored in or
	// evicted from its cache. An engine may drop cache events, so a block that was
	// reported as stored may be gone.
	CacheChanged(stored, evicted []uint64)
}

// Watch polls the load report and the cache events of an engine until ctx ends.
// Plain services report neither, so Watch returns at once for them.
func (c *Client) Watch(ctx context.Context, o Observer) {
	if c.cfg.PlainService {
		return
	}
	w := &watcher{client: c, observer: o}
	for ctx.Err() == nil {
		w.logAvailability(w.poll(ctx))
		pause(ctx, c.cfg.PollInterval)
	}
}

// watcher holds the state of one Watch.
type watcher struct {
	client   *Client
	observer Observer
	nextSeq  uint64 // sequence number of the next cache event
	failing  bool
}

// poll reads the load and then the cache events that are available, up to
// maxCachePagesPerPoll pages.
func (w *watcher) poll(ctx context.Context) error {
	if err := w.pollLoad(ctx); err != nil {
		return err
	}
	for range maxCachePagesPerPoll {
		more, err := w.pollCache(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// logAvailability logs the first of successive failed polls and the recovery.
func (w *watcher) logAvailability(err error) {
	if failing := err != nil; failing != w.failing {
		w.failing = failing
		w.client.cfg.Log.Info("availability of engine reports changed", zap.Bool("available", !failing), zap.Error(err))
	}
}

func (w *watcher) pollLoad(ctx context.Context) error {
	var load struct {
		Running int               `json:"running"`
		Waiting int               `json:"waiting"`
		Models  []state.ModelSpec `json:"models"`
		Time    time.Time         `json:"time"`
	}
	if err := w.client.getJSON(ctx, "/load", &load); err != nil {
		return err
	}
	w.observer.LoadReported(side.Load{Running: load.Running, Waiting: load.Waiting, Models: load.Models, Time: load.Time})
	return nil
}

// pollCache reads one page of cache events and reports whether there may be
// more.
func (w *watcher) pollCache(ctx context.Context) (more bool, err error) {
	var page struct {
		Next   uint64 `json:"next"`
		Events []struct {
			Seq    uint64   `json:"seq"`
			Type   string   `json:"type"`
			Blocks []string `json:"blocks"`
		} `json:"events"`
	}
	if err := w.client.getJSON(ctx, fmt.Sprintf("/cache/events?from=%d", w.nextSeq), &page); err != nil {
		return false, err
	}
	var stored, evicted []uint64
	expected := w.nextSeq
	for _, e := range page.Events {
		if e.Seq > expected {
			missedCacheEvents.Add(int64(e.Seq - expected))
		}
		expected = e.Seq + 1
		blocks, err := parseBlockHashes(e.Blocks)
		if err != nil {
			return false, fmt.Errorf("cache event %d: %w", e.Seq, err)
		}
		switch e.Type {
		case "stored":
			stored = append(stored, blocks...)
		case "evicted":
			evicted = append(evicted, blocks...)
		}
	}
	if len(stored)+len(evicted) > 0 {
		w.observer.CacheChanged(stored, evicted)
	}
	// Next can be lower than before, since the sequence starts again when the engine
	// restarts.
	w.nextSeq = page.Next
	return len(page.Events) > 0, nil
}

// parseBlockHashes parses hashes in decimal.
func parseBlockHashes(text []string) ([]uint64, error) {
	blocks := make([]uint64, len(text))
	for i, t := range text {
		b, err := strconv.ParseUint(t, 10, 64)
		if err != nil {
			return nil, err
		}
		blocks[i] = b
	}
	return blocks, nil
}
