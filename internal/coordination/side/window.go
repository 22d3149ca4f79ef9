package side

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaramp/cassiaramp/internal/state"
)

// Parameters for adapting the window to the gaps between tokens.
const (
	gapPercentile = 95                     // the percentile of the gaps that is compared with the target gap
	shrinkFactor  = 0.75                   // applied to the window when the gap exceeds its target
	growThreshold = 0.8                    // the window may grow while the gap is below this share of the target gap
	adaptInterval = 250 * time.Millisecond // shortest time between two adaptations
	// minGapSamples is the number of gaps that an adaptation waits for, until
	// twice adaptInterval has passed.
	minGapSamples = 20
	// maxRecordedGap is the largest gap recorded; longer ones count as this one.
	maxRecordedGap = 60 * time.Second
	// gapSignificantDigits is the precision of the recorded gaps in decimal
	// digits.
	gapSignificantDigits = 2
)

// window limits the number of attempts that run on the target at once. It
// adapts this limit to the measured gap between tokens.
type window struct {
	size           int // attempts that may run at once
	minSize        int
	maxSize        int
	targetGap      time.Duration           // the window shrinks when the gap between tokens exceeds it
	reservedSlots  [state.MaxTiers]int     // slots that a tier may not use
	gaps           *hdrhistogram.Histogram // microseconds
	producesTokens bool                    // the target produces tokens, so growth requires measured gaps
	wasFull        bool                    // a queued attempt has had to wait for a slot since the last adaptation
	adaptedAt      time.Time
}

func newWindow() *window {
	return &window{gaps: hdrhistogram.New(1, maxRecordedGap.Microseconds(), gapSignificantDigits)}
}

// configure applies the limits of a bundle. The first window is half of the
// maximum, because the capacity of the target is unknown until gaps have been
// measured.
func (w *window) configure(b *state.Bundle) {
	w.maxSize = b.Queue.MaxWindow
	w.targetGap = b.Queue.TokenGap.Std()
	w.reservedSlots = [state.MaxTiers]int{}
	lowestTierReserve := 0
	for i := range w.reservedSlots {
		if i < len(b.Tiers) {
			lowestTierReserve = b.Tiers[i].Reserve
		}
		w.reservedSlots[i] = lowestTierReserve
	}
	// With fewer slots the lowest tier could never start, and the window, which
	// grows only when it is full, would not recover.
	w.minSize = min(1+lowestTierReserve, w.maxSize)
	if w.size == 0 {
		w.size = (w.maxSize + 1) / 2
	}
	w.size = w.clamp(w.size)
}

func (w *window) clamp(n int) int { return max(w.minSize, min(n, w.maxSize)) }

// limitFor returns the number of running attempts below which one of tier t may
// start.
func (w *window) limitFor(t state.Tier) int { return w.size - w.reservedSlots[t] }

// recordGap records the time between two tokens of a stream.
func (w *window) recordGap(d time.Duration) {
	w.gaps.RecordValue(min(d, maxRecordedGap).Microseconds())
}

// adaptationDue reports whether adapt should be called.
func (w *window) adaptationDue(now time.Time) bool {
	since := now.Sub(w.adaptedAt)
	if since < adaptInterval {
		return false
	}
	return !w.producesTokens || w.gaps.TotalCount() >= minGapSamples || since >= 2*adaptInterval
}

// adapt resizes the window according to the gaps recorded since the last call.
func (w *window) adapt(now time.Time) {
	samples := w.gaps.TotalCount()
	gap := time.Duration(w.gaps.ValueAtQuantile(gapPercentile)) * time.Microsecond
	switch {
	case samples > 0 && gap > w.targetGap:
		w.size = w.clamp(int(float64(w.size) * shrinkFactor))
	case w.producesTokens && samples == 0:
		// Nothing was measured, for example because all attempts are in prefill.
	case w.wasFull && gap < time.Duration(growThreshold*float64(w.targetGap)):
		w.size = w.clamp(w.size + 1)
	}
	w.wasFull = false
	w.gaps.Reset()
	w.adaptedAt = now
}

// shrinkTo shrinks the window to the number of attempts that the target runs
// after it did not admit another.
func (w *window) shrinkTo(running int) {
	w.size = w.clamp(min(w.size, running))
}
