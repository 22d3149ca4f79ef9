package main

import (
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"testing"
)

// Guards against a response that counts as complete although it ends inside its last event.
func TestStreamIsCompleteWithItsLastEvent(t *testing.T) {
	for body, want := range map[string]bool{
		"data: {}\n\ndata: [DONE]\n\n": true,
		"data: {}\n\ndata: [DONE]\n":   false,
		"data: {}\n\ndata: [DONE]":     false,
		"data: {}\n\n":                 false,
	} {
		resp := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body))}
		if err := readStream(resp); (err == nil) != want {
			t.Errorf("%q: error %v, want complete: %t", body, err, want)
		}
	}
}

// Guards against wrong coefficients in docs/CAPACITY.md.
func TestFitLine(t *testing.T) {
	intercept, slope, maxResidual := fitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(intercept-3) > 1e-9 || math.Abs(slope-2) > 1e-9 || maxResidual > 1e-9 {
		t.Errorf("line through 3+2x: intercept %g, slope %g, largest residual %g", intercept, slope, maxResidual)
	}
	if _, _, maxResidual := fitLine([]float64{0, 1, 2}, []float64{0, 3, 0}); math.Abs(maxResidual-2) > 1e-9 {
		t.Errorf("largest residual %g, want 2", maxResidual)
	}
	if intercept, slope, _ := fitLine([]float64{4}, []float64{7}); intercept != 7 || slope != 0 {
		t.Errorf("one point: intercept %g, slope %g; want 7 and 0", intercept, slope)
	}
}

// Guards against reading the wrong fields of the files in /proc/PID.
func TestProcessResources(t *testing.T) {
	for began := ownCPUTime(); ownCPUTime()-began < 3*clockTick; {
	}
	got, err := cpuTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if own := ownCPUTime(); got < own-3*clockTick || got > own+3*clockTick {
		t.Errorf("processor time %s from /proc, %s from getrusage", got, own)
	}
	rss, anonymous, err := residentMemory(os.Getpid())
	if err != nil || anonymous < 1<<20 || rss < anonymous || rss > 1<<30 {
		t.Errorf("resident %g bytes, anonymous %g bytes, error %v", rss, anonymous, err)
	}
}
