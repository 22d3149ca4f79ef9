package main

import (
	"math"
	"os"
	"testing"
)

// Guards against wrong coefficients in the capacity page.
func TestLine(t *testing.T) {
	base, slope, miss := line([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(base-3) > 1e-9 || math.Abs(slope-2) > 1e-9 || miss > 1e-9 {
		t.Errorf("line through 3+2x: base %g, slope %g, miss %g", base, slope, miss)
	}
	if _, _, miss := line([]float64{0, 1, 2}, []float64{0, 3, 0}); math.Abs(miss-2) > 1e-9 {
		t.Errorf("miss %g, want 2", miss)
	}
	if base, slope, _ := line([]float64{4}, []float64{7}); base != 7 || slope != 0 {
		t.Errorf("one point: base %g, slope %g; want 7 and 0", base, slope)
	}
}

// Guards against fields of /proc that are read from the wrong place.
func TestProcess(t *testing.T) {
	for began := cpuOfThisProcess(); cpuOfThisProcess()-began < 3*tick; {
	}
	got, err := cpuTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if own := cpuOfThisProcess(); got < own-3*tick || got > own+3*tick {
		t.Errorf("processor time %s, getrusage says %s", got, own)
	}
	rss, anonymous, err := resident(os.Getpid())
	if err != nil || anonymous < 1<<20 || rss < anonymous || rss > 1<<30 {
		t.Errorf("resident %g, anonymous %g, error %v", rss, anonymous, err)
	}
}
