package side

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// adjustableEngine is an engine whose gap between tokens, in nanoseconds, the
// test changes while it runs.
type adjustableEngine struct{ gap atomic.Int64 }

func (e *adjustableEngine) run(ctx context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
	for i := range uint64(2000) {
		select {
		case <-time.After(time.Duration(e.gap.Load())):
		case <-ctx.Done():
			return state.Usage{}, ctx.Err()
		}
		emit(&state.Chunk{Offset: i, Data: []byte("t")})
	}
	return state.Usage{GeneratedTokens: 2000}, nil
}

// Guards against a prompt in prefill that is counted like as many tokens of
// output.
func TestPromptCountsAsEquivalentOutput(t *testing.T) {
	s := newRates()
	w := workload{count: 1, promptTokens: 7000, expectedOutput: 10}
	if got := s.equivalentOutputTokens(w); got != 10 {
		t.Errorf("%d tokens before any measurement, want the 10 of the output", got)
	}
	s.prefillRate, s.decodeCapacity = 70000, 600 // 0.1 s of prefill
	if got := s.equivalentOutputTokens(w); got != 70 {
		t.Errorf("%d tokens, want 10 and the 60 that are generated in 0.1 s", got)
	}
}

// Guards against a decode capacity that drops because a target has little work,
// so that an idle target gets none, and against one that stays at the earlier
// rate after a slowdown under little work.
func TestCapacityUnderLightLoad(t *testing.T) {
	s, now := newRates(), time.Now()
	s.sampledAt = now
	// run simulates one second of a target that decodes at most total tokens/s,
	// and at most 100 tokens/s for one attempt.
	run := func(attempts int, total float64) float64 {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			s.newTokens = int(min(total, 100*float64(attempts)*min(1, total/800)) / 20)
			s.sampleDecodeRate(now, attempts, 8)
		}
		return s.decodeCapacity
	}
	for _, step := range []struct {
		name      string
		attempts  int
		total     float64
		low, high float64
	}{
		{"one attempt before the target was saturated", 1, 800, 750, 850},
		{"saturated", 16, 800, 750, 850},
		{"one attempt", 1, 800, 750, 850},
		{"one attempt of a target slowed ten times", 1, 80, 0, 200},
		{"saturated while slowed", 16, 80, 50, 100},
		{"recovered", 16, 800, 750, 850},
	} {
		if got := run(step.attempts, step.total); got < step.low || got > step.high {
			t.Errorf("%s: capacity %.0f tokens/s, want %.0f to %.0f", step.name, got, step.low, step.high)
		}
	}
}

// Guards against a window or a decode rate that follows a slowdown too late:
// the figures must show it within 500 ms.
func TestFiguresFollowSlowdown(t *testing.T) {
	engine := &adjustableEngine{}
	engine.gap.Store(int64(10 * time.Millisecond))
	withHarness(t, &scriptedRunner{run: engine.run}, testBundle(16, 40), func(h *harness) {
		for range 30 {
			d := h.newDispatch(0)
			d.Request.MaxTokens = 2000
			h.session.Dispatch(d)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		before := h.Figures()
		if before.Window != 16 || before.RunningCount != 16 {
			h.t.Errorf("window %d with %d running, want it to have grown to 16", before.Window, before.RunningCount)
		}
		if before.DecodeRate < 1400 || before.DecodeRate > 1700 {
			h.t.Errorf("decode rate %.0f tokens/s, want about 1600", before.DecodeRate)
		}
		engine.gap.Store(int64(100 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		after := h.Figures()
		if after.DecodeRate > before.DecodeRate/4 {
			h.t.Errorf("decode rate %.0f tokens/s 500 ms after a slowdown from %.0f by 10", after.DecodeRate, before.DecodeRate)
		}
		if after.Window >= before.Window {
			h.t.Errorf("window %d did not shrink", after.Window)
		}
		time.Sleep(5 * time.Second)
		if w := h.Figures().Window; w != 1 {
			h.t.Errorf("window %d after a lasting slowdown, want 1", w)
		}

		h.session.Close() // cancels the streams
		time.Sleep(2 * SessionGrace)
	})
}

// Guards against figures that do not change while an engine is silent or a
// prefill takes long.
func TestPrefillRateFollowsStall(t *testing.T) {
	hang := func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		if id.Seq == 1 {
			time.Sleep(100 * time.Millisecond)
			emit(&state.Chunk{Data: []byte("t")})
			return state.Usage{PromptTokens: 1000, GeneratedTokens: 1}, nil
		}
		<-ctx.Done()
		return state.Usage{}, ctx.Err()
	}
	withHarness(t, &scriptedRunner{run: hang}, testBundle(4, 10), func(h *harness) {
		first := h.newDispatch(0)
		first.Request.PromptTokens = 1000
		finalEvent[*state.Done](h, h.session.Dispatch(first))
		if f := h.Figures(); f.PrefillRate < 9000 || f.PrefillRate > 11000 {
			h.t.Errorf("prefill rate %.0f tokens/s, want about 10000", f.PrefillRate)
		}
		second := h.newDispatch(0)
		second.Request.PromptTokens = 1000
		stalled := h.session.Dispatch(second)
		time.Sleep(500 * time.Millisecond)
		if f := h.Figures(); f.PrefillRate > 2500 {
			h.t.Errorf("prefill rate %.0f tokens/s although 1000 tokens have taken 500 ms", f.PrefillRate)
		}
		stalled.Cancel()
		finalEvent[*state.Failed](h, stalled)
	})
}

// Guards against a window that never recovers because the lowest tier cannot
// start, and against growth without measurements.
func TestWindowBounds(t *testing.T) {
	w := newWindow()
	w.configure(testBundle(8, 10, 0, 0, 1, 2))
	w.producesTokens = true
	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(time.Second)
		w.recordGap(time.Second)
		w.adapt(now)
	}
	if w.size != 3 || w.limitFor(3) != 1 {
		t.Errorf("window %d, limit of the lowest tier %d, want 3 and 1", w.size, w.limitFor(3))
	}
	w.wasFull = true
	w.adapt(now)
	if w.size != 3 {
		t.Errorf("window grew to %d without a measured gap", w.size)
	}
	for range 20 {
		w.wasFull = true
		w.recordGap(10 * time.Millisecond)
		w.adapt(now)
	}
	if w.size != 8 {
		t.Errorf("window %d, want its maximum", w.size)
	}
	w.recordGap(10 * time.Millisecond)
	w.recordGap(35 * time.Millisecond)
	w.wasFull = true
	w.size = 5
	w.adapt(now)
	if w.size != 5 {
		t.Errorf("window %d, want 5 unchanged for a gap between 80%% and 100%% of its target", w.size)
	}
	w.shrinkTo(1)
	if w.size != 3 {
		t.Errorf("window %d, want its floor", w.size)
	}
}
