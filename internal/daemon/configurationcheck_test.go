package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/coordination/gateway"
	"github.com/cassiaramp/cassiaramp/internal/coordination/keyedtopic"
	"github.com/cassiaramp/cassiaramp/internal/coordination/origin"
	"github.com/cassiaramp/cassiaramp/internal/state"
)

// configurationLog is a keyedtopic.Source whose record at offset i has version i+1.
type configurationLog struct{ length atomic.Uint64 }

func (s *configurationLog) Newest(context.Context, string) ([]keyedtopic.Record, keyedtopic.Position, error) {
	n := s.length.Load()
	return []keyedtopic.Record{{Offset: n - 1}}, keyedtopic.Position{Offset: n}, nil
}

func (s *configurationLog) Read(_ context.Context, _ string, from keyedtopic.Position, _ time.Duration) (records []keyedtopic.Record, next keyedtopic.Position, err error) {
	n := s.length.Load()
	for offset := from.Offset; offset < n; offset++ {
		records = append(records, keyedtopic.Record{Offset: offset})
	}
	return records, keyedtopic.Position{Offset: n}, nil
}

// versionHandler puts the configurations of records into effect.
type versionHandler struct{ set func(version int64) }

func (h versionHandler) Listed(_ time.Time, records []keyedtopic.Record, next keyedtopic.Position) {
	h.Changed(time.Time{}, records, next)
}

func (h versionHandler) Changed(_ time.Time, records []keyedtopic.Record, _ keyedtopic.Position) {
	for _, r := range records {
		h.set(int64(r.Offset) + 1)
	}
}

func (h versionHandler) Failed(time.Time, error) {}

// Guards against streams that are refused, and told, when an entry begins to check the configuration in the store
// because the one that did so has ended: it reads all configurations since its own start, and takes those of hours
// ago for ones by which other entries have led streams until now.
func TestEntryThatBeginsToCheckConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		origins := origin.New(now, true)
		origins.SetTargets(now, twoServices)
		g := gateway.New(gateway.Config{Origins: origins})
		set := func(version int64) {
			g.SetConfiguration(routeTo(version, map[bool]state.Service{true: "s", false: "other"}[version <= 2]))
		}
		var source configurationLog
		var othersRead atomic.Bool
		othersRead.Store(true)
		source.length.Store(1)
		for _, topic := range []keyedtopic.Topic{
			{ReadInterval: time.Second},
			{ReadInterval: configurationCheckInterval, SkipRead: othersRead.Load}, // as in control.run
		} {
			go keyedtopic.Follow(t.Context(), &source, topic, versionHandler{set})
		}
		wait := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(500 * time.Millisecond)
				origins.Connected(time.Now(), time.Now(), time.Now())
			}
		}
		for range 2 { // versions 2 and 3 take effect
			wait(2 * time.Second)
			source.length.Add(1)
		}
		wait(time.Hour)
		if o, _, ok := origins.Find(time.Now(), "stream", streamPath); !ok || o.Service != "other" {
			t.Fatalf("an hour after the move: origin %v, known %t", o, ok)
		}
		othersRead.Store(false)
		wait(2 * time.Second)
		if o, _, ok := origins.Find(time.Now(), "stream", streamPath); !ok || o.Service != "other" {
			t.Errorf("after the first check: origin %v, known %t", o, ok)
		}
		if mixed := origins.ObservedMixed(time.Now()); len(mixed) > 0 {
			t.Errorf("other entries are told of streams of %q", mixed)
		}
	})
}
