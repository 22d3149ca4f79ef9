package side

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Parameters of the window's adaptation.
const (
	gapPercentile  = 95
	shrinkFactor   = 0.75 // applied when the gap exceeds its target
	growBelow      = 0.8  // of the target gap
	windowInterval = 250 * time.Millisecond
	// windowSamples is the number of gaps that an adaptation waits for, for at
	// most twice the interval.
	windowSamples = 20
	// gapCeiling is the largest gap that is told apart.
	gapCeiling = 60 * time.Second
	gapDigits  = 2
)

// window bounds the attempts that run on the target at once. It adapts to the
// measured gap between tokens.
type window struct {
	size     int
	floor    int
	max      int
	target   time.Duration
	reserves [state.MaxTiers]int
	gaps     *hdrhistogram.Histogram // microseconds
	tokens   bool                    // the target produces tokens, so growth needs measured gaps
	full     bool                    // an attempt was held back since the last adaptation
	adapted  time.Time
}

func newWindow() *window {
	return &window{gaps: hdrhistogram.New(1, gapCeiling.Microseconds(), gapDigits)}
}

// configure takes the limits of a bundle. The window starts at half of its
// maximum: the target's capacity is unknown until gaps have been measured.
func (w *window) configure(b *state.Bundle) {
	w.max = b.Queue.MaxWindow
	w.target = b.Queue.TokenGap.Std()
	w.reserves = [state.MaxTiers]int{}
	lowest := 0
	for i := range w.reserves {
		if i < len(b.Tiers) {
			lowest = b.Tiers[i].Reserve
		}
		w.reserves[i] = lowest
	}
	// Below this size the lowest tier could never start, and the window, which
	// grows only when it is full, would not recover.
	w.floor = min(1+lowest, w.max)
	if w.size == 0 {
		w.size = (w.max + 1) / 2
	}
	w.size = w.clamp(w.size)
}

func (w *window) clamp(n int) int { return max(w.floor, min(n, w.max)) }

// limit is the number of running attempts below which one of tier t may start.
func (w *window) limit(t state.Tier) int { return w.size - w.reserves[t] }

// gap records the time between two tokens of a stream.
func (w *window) gap(d time.Duration) {
	w.gaps.RecordValue(min(d, gapCeiling).Microseconds())
}

// due reports whether it is time to adapt.
func (w *window) due(now time.Time) bool {
	since := now.Sub(w.adapted)
	if since < windowInterval {
		return false
	}
	return !w.tokens || w.gaps.TotalCount() >= windowSamples || since >= 2*windowInterval
}

// adapt resizes the window by the gaps recorded since the last call.
func (w *window) adapt(now time.Time) {
	samples := w.gaps.TotalCount()
	gap := time.Duration(w.gaps.ValueAtQuantile(gapPercentile)) * time.Microsecond
	switch {
	case samples > 0 && gap > w.target:
		w.size = w.clamp(int(float64(w.size) * shrinkFactor))
	case w.tokens && samples == 0:
		// Nothing was measured, for example because all attempts are in prefill.
	case w.full && gap < time.Duration(growBelow*float64(w.target)):
		w.size = w.clamp(w.size + 1)
	}
	w.full = false
	w.gaps.Reset()
	w.adapted = now
}

// notAdmitted shrinks the window to what the target has shown to admit.
func (w *window) notAdmitted(running int) {
	w.size = w.clamp(min(w.size, running))
}
