package placement

import (
	"testing"
	"time"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Guards against predictions that ignore part of the work ahead or count queued
// work of a lower tier.
func TestScorePredictedDelay(t *testing.T) {
	fullWindow := state.LoadFigures{Window: 1, RunningCount: 1, PrefillRate: 1000, DecodeRate: 100}
	figuresWith := func(change func(*state.LoadFigures)) *state.LoadFigures {
		f := fullWindow
		change(&f)
		return &f
	}
	for _, tc := range []struct {
		name             string
		figures          *state.LoadFigures
		cached           int
		sent             requestCost
		senders          float64
		delay            time.Duration
		timeToFirstToken time.Duration
	}{
		{"unknown figures, median rates", nil, 0, requestCost{}, 1, 640 * time.Millisecond, 640 * time.Millisecond},
		{"half of the prompt cached", nil, 5, requestCost{}, 1, 320 * time.Millisecond, 320 * time.Millisecond},
		{"running", figuresWith(func(f *state.LoadFigures) { f.RunningTokens = 200 }), 10, requestCost{}, 1, 2 * time.Second, 2 * time.Second},
		{"same tier queued", figuresWith(func(f *state.LoadFigures) { f.QueuedTokens[1] = 200 }), 10, requestCost{}, 1, 1100 * time.Millisecond, 1100 * time.Millisecond},
		{"lower tier queued", figuresWith(func(f *state.LoadFigures) { f.QueuedTokens[2] = 200 }), 10, requestCost{}, 1, 0, 0},
		{"sent since the figures", figuresWith(func(*state.LoadFigures) {}), 10, requestCost{tier: 1, promptTokens: 500, outputTokens: 50}, 1, time.Second, time.Second},
		{"other entries send as much", figuresWith(func(*state.LoadFigures) {}), 10, requestCost{tier: 1, promptTokens: 500, outputTokens: 50}, 3, 3 * time.Second, time.Second},
		{"free slot", figuresWith(func(f *state.LoadFigures) { f.Window, f.RunningTokens = 2, 200 }), 10, requestCost{}, 1, 2 * time.Second, 0},
		{"a fifth of the decode rate", figuresWith(func(f *state.LoadFigures) { f.DecodeRate, f.RunningTokens = 20, 200 }), 10, requestCost{}, 1, 10 * time.Second, 10 * time.Second},
		{"plain calls", figuresWith(func(f *state.LoadFigures) { f.RunningCount, f.Window, f.QueuedCount[0] = 4, 4, 1 }), -1, requestCost{}, 1, 800 * time.Millisecond, 320 * time.Millisecond},
	} {
		e := &target{id: "e", figures: tc.figures, cacheTrust: 1, shared: new(sharedState)}
		if tc.sent != (requestCost{}) {
			e.shared.addCost(tc.sent, 1)
		}
		req := state.Request{Tier: 1, PromptTokens: 640}
		if tc.cached < 0 {
			req = state.Request{Tier: 1, Kind: state.PlainCall}
		}
		s := testEvaluation(req, e)
		s.service.sendersPerTarget = tc.senders
		c := &candidate{target: e, cachedBlocks: max(0, tc.cached)}
		s.predictDelays(c)
		if c.delay.Round(time.Millisecond) != tc.delay || c.timeToFirstToken.Round(time.Millisecond) != tc.timeToFirstToken {
			t.Errorf("%s: delay %v and time to first token %v, want %v and %v", tc.name, c.delay, c.timeToFirstToken, tc.delay, tc.timeToFirstToken)
		}
		if got, want := scorePredictedDelay(s, c), 1/(1+tc.delay.Seconds()); got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: score %.3f, want %.3f", tc.name, got, want)
		}
	}
}
