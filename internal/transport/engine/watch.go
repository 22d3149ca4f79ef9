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

// cacheGaps counts cache events that the engine did not deliver.
var cacheGaps = expvar.NewInt("engine_cache_event_gaps")

// Observer receives what an engine reports about itself. *side.Service
// implements it.
type Observer interface {
	LoadReported(side.Load)
	// CacheChanged reports prompt block hashes. An engine drops cache events, so
	// a hash that was reported as stored may be gone.
	CacheChanged(stored, evicted []uint64)
}

// Watch polls the load report and the cache events of an engine until ctx ends.
// Plain services publish neither; Watch returns at once for them.
func (c *Client) Watch(ctx context.Context, o Observer) {
	if c.cfg.Plain {
		return
	}
	w := &watcher{client: c, observer: o}
	for ctx.Err() == nil {
		w.report(w.poll(ctx))
		pause(ctx, c.cfg.PollInterval)
	}
}

type watcher struct {
	client   *Client
	observer Observer
	next     uint64 // sequence number of the next cache event
	failing  bool
}

func (w *watcher) poll(ctx context.Context) error {
	if err := w.pollLoad(ctx); err != nil {
		return err
	}
	for range maxCachePages {
		more, err := w.pollCache(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// report logs the first failure in a row and the recovery.
func (w *watcher) report(err error) {
	if failing := err != nil; failing != w.failing {
		w.failing = failing
		w.client.cfg.Log.Info("engine reports", zap.Bool("available", !failing), zap.Error(err))
	}
}

func (w *watcher) pollLoad(ctx context.Context) error {
	var load struct {
		Running int               `json:"running"`
		Waiting int               `json:"waiting"`
		Models  []state.ModelSpec `json:"models"`
		Time    time.Time         `json:"time"`
	}
	if err := w.client.get(ctx, "/load", &load); err != nil {
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
	if err := w.client.get(ctx, fmt.Sprintf("/cache/events?from=%d", w.next), &page); err != nil {
		return false, err
	}
	var stored, evicted []uint64
	expected := w.next
	for _, e := range page.Events {
		if e.Seq > expected {
			cacheGaps.Add(int64(e.Seq - expected))
		}
		expected = e.Seq + 1
		blocks, err := parseBlocks(e.Blocks)
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
	// The sequence starts again after a restart of the engine.
	w.next = page.Next
	return len(page.Events) > 0, nil
}

func parseBlocks(text []string) ([]uint64, error) {
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
