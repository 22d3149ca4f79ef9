package side

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// slowable is an engine whose gap between tokens can change under load.
type slowable struct{ gap atomic.Int64 }

func (e *slowable) run(ctx context.Context, _ state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
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

// Guards against a prompt in progress that looks like as many tokens of output.
func TestRunningPromptCountsByItsTime(t *testing.T) {
	s := newSpeed()
	w := work{count: 1, prompt: 7000, output: 10}
	if got := s.outputTokens(w); got != 10 {
		t.Errorf("%d tokens before any measurement, want the 10 of the output", got)
	}
	s.prefill, s.capacity = 70000, 600 // 0.1 s of prefill
	if got := s.outputTokens(w); got != 70 {
		t.Errorf("%d tokens, want 10 and the 60 that are generated in 0.1 s", got)
	}
}

// Guards against a decode rate that mistakes little work for a slow target, so
// that an idle target stays idle, and against one that keeps the earlier rate
// after a slowdown with little work.
func TestCapacityOutlastsLittleWork(t *testing.T) {
	s, now := newSpeed(), time.Now()
	s.sampled = now
	// run feeds a second of a target that decodes at most total tokens/s, and at
	// most 100 for one attempt.
	run := func(attempts int, total float64) float64 {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			s.tokens = int(min(total, 100*float64(attempts)*min(1, total/800)) / 20)
			s.sample(now, attempts, 8)
		}
		return s.capacity
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
// figures must show it within 500 ms.
func TestSlowdownShows(t *testing.T) {
	engine := &slowable{}
	engine.gap.Store(int64(10 * time.Millisecond))
	withRig(t, &scriptedRunner{run: engine.run}, bundle(16, 40), func(r *rig) {
		for range 30 {
			d := r.job(0)
			d.Request.MaxTokens = 2000
			r.session.Dispatch(d)
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		before := r.Figures()
		if before.Window != 16 || before.RunningCount != 16 {
			r.t.Errorf("window %d with %d running, want it to have grown to 16", before.Window, before.RunningCount)
		}
		if before.DecodeRate < 1400 || before.DecodeRate > 1700 {
			r.t.Errorf("decode rate %.0f tokens/s, want about 1600", before.DecodeRate)
		}
		engine.gap.Store(int64(100 * time.Millisecond))
		time.Sleep(500 * time.Millisecond)
		after := r.Figures()
		if after.DecodeRate > before.DecodeRate/4 {
			r.t.Errorf("decode rate %.0f tokens/s 500 ms after a slowdown from %.0f by 10", after.DecodeRate, before.DecodeRate)
		}
		if after.Window >= before.Window {
			r.t.Errorf("window %d did not shrink", after.Window)
		}
		time.Sleep(5 * time.Second)
		if w := r.Figures().Window; w != 1 {
			r.t.Errorf("window %d after a lasting slowdown, want 1", w)
		}

		r.session.Close() // cancels the streams
		time.Sleep(2 * SessionGrace)
	})
}

// Guards against a silent engine or a long prefill that leaves the figures as
// they were.
func TestStallShows(t *testing.T) {
	hang := func(ctx context.Context, id state.AttemptID, emit func(state.AttemptEvent)) (state.Usage, error) {
		if id.Seq == 1 {
			time.Sleep(100 * time.Millisecond)
			emit(&state.Chunk{Data: []byte("t")})
			return state.Usage{PromptTokens: 1000, GeneratedTokens: 1}, nil
		}
		<-ctx.Done()
		return state.Usage{}, ctx.Err()
	}
	withRig(t, &scriptedRunner{run: hang}, bundle(4, 10), func(r *rig) {
		first := r.job(0)
		first.Request.PromptTokens = 1000
		last[*state.Done](r, r.session.Dispatch(first))
		if f := r.Figures(); f.PrefillRate < 9000 || f.PrefillRate > 11000 {
			r.t.Errorf("prefill rate %.0f tokens/s, want about 10000", f.PrefillRate)
		}
		second := r.job(0)
		second.Request.PromptTokens = 1000
		stalled := r.session.Dispatch(second)
		time.Sleep(500 * time.Millisecond)
		if f := r.Figures(); f.PrefillRate > 2500 {
			r.t.Errorf("prefill rate %.0f tokens/s although 1000 tokens have taken 500 ms", f.PrefillRate)
		}
		stalled.Cancel()
		last[*state.Failed](r, stalled)
	})
}

// Guards against a window that never recovers because the lowest tier cannot
// start, and against growth without measurements.
func TestWindowBounds(t *testing.T) {
	w := newWindow()
	w.configure(bundle(8, 10, 0, 0, 1, 2))
	w.tokens = true
	now := time.Unix(0, 0)
	for range 20 {
		now = now.Add(time.Second)
		w.gap(time.Second)
		w.adapt(now)
	}
	if w.size != 3 || w.limit(3) != 1 {
		t.Errorf("window %d, limit of the lowest tier %d, want 3 and 1", w.size, w.limit(3))
	}
	w.full = true
	w.adapt(now)
	if w.size != 3 {
		t.Errorf("window grew to %d without a measured gap", w.size)
	}
	for range 20 {
		w.full = true
		w.gap(10 * time.Millisecond)
		w.adapt(now)
	}
	if w.size != 8 {
		t.Errorf("window %d, want its maximum", w.size)
	}
	w.gap(10 * time.Millisecond)
	w.gap(35 * time.Millisecond)
	w.full = true
	w.size = 5
	w.adapt(now)
	if w.size != 5 {
		t.Errorf("window %d, want 5 unchanged for a gap between 80%% and 100%% of its target", w.size)
	}
	w.notAdmitted(1)
	if w.size != 3 {
		t.Errorf("window %d, want its floor", w.size)
	}
}
