package placement

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against predictions that ignore a part of the work ahead or count work
// of a lower tier.
func TestPredictedDelay(t *testing.T) {
	full := state.Figures{Window: 1, RunningCount: 1, PrefillRate: 1000, DecodeRate: 100}
	with := func(change func(*state.Figures)) *state.Figures {
		f := full
		change(&f)
		return &f
	}
	for _, tc := range []struct {
		name    string
		figures *state.Figures
		cached  int
		sent    work
		senders float64
		delay   time.Duration
		wait    time.Duration
	}{
		{"unknown figures, typical speeds", nil, 0, work{}, 1, 640 * time.Millisecond, 640 * time.Millisecond},
		{"half of the prompt cached", nil, 5, work{}, 1, 320 * time.Millisecond, 320 * time.Millisecond},
		{"running", with(func(f *state.Figures) { f.RunningTokens = 200 }), 10, work{}, 1, 2 * time.Second, 2 * time.Second},
		{"same tier queued", with(func(f *state.Figures) { f.QueuedTokens[1] = 200 }), 10, work{}, 1, 1100 * time.Millisecond, 1100 * time.Millisecond},
		{"lower tier queued", with(func(f *state.Figures) { f.QueuedTokens[2] = 200 }), 10, work{}, 1, 0, 0},
		{"sent since", with(func(*state.Figures) {}), 10, work{tier: 1, prompt: 500, output: 50}, 1, time.Second, time.Second},
		{"others send alike", with(func(*state.Figures) {}), 10, work{tier: 1, prompt: 500, output: 50}, 3, 3 * time.Second, time.Second},
		{"free slot", with(func(f *state.Figures) { f.Window, f.RunningTokens = 2, 200 }), 10, work{}, 1, 2 * time.Second, 0},
		{"slowed five times", with(func(f *state.Figures) { f.DecodeRate, f.RunningTokens = 20, 200 }), 10, work{}, 1, 10 * time.Second, 10 * time.Second},
		{"plain calls", with(func(f *state.Figures) { f.RunningCount, f.Window, f.QueuedCount[0] = 4, 4, 1 }), -1, work{}, 1, 800 * time.Millisecond, 320 * time.Millisecond},
	} {
		e := &target{id: "e", figures: tc.figures, cacheTrust: 1, live: new(live)}
		if tc.sent != (work{}) {
			e.live.add(tc.sent, 1)
		}
		req := state.Request{Tier: 1, PromptTokens: 640}
		if tc.cached < 0 {
			req = state.Request{Tier: 1, Kind: state.PlainCall}
		}
		s := testEvaluation(req, e)
		s.service.senders = tc.senders
		c := &candidate{target: e, cached: max(0, tc.cached)}
		s.predict(c)
		if c.delay.Round(time.Millisecond) != tc.delay || c.wait.Round(time.Millisecond) != tc.wait {
			t.Errorf("%s: delay %v wait %v, want %v and %v", tc.name, c.delay, c.wait, tc.delay, tc.wait)
		}
		if got, want := predictedDelay(s, c), 1/(1+tc.delay.Seconds()); got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: score %.3f, want %.3f", tc.name, got, want)
		}
	}
}
