package state

import (
	"math"
	"time"
)

// PredictionErrors sums up the ratios of actual to predicted times. It holds sums, so that those
// of several entries can be added.
type PredictionErrors struct {
	Count  int64   `json:"count"`
	LogSum float64 `json:"log_sum"`  // sum of the natural logarithms of the ratios
	Over15 int64   `json:"over_1_5"` // ratios above 1.5
	Over2  int64   `json:"over_2"`   // ratios above 2
}

// CalibrationRow compares the predicted with the actual times from the sending of a request
// to the start and to the end of its response, for the expvar "predictions".
type CalibrationRow struct {
	Service Service          `json:"service"`
	Route   string           `json:"route"`
	Speed   string           `json:"speed"` // class of the target: quick, usual or slow
	Load    string           `json:"load"`  // of the target before the request: idle, full or beyond
	Start   PredictionErrors `json:"start"`
	End     PredictionErrors `json:"end"` // of complete responses
	Cut     int64            `json:"cut"` // requests without a complete response at their deadline
}

// Observe adds the ratio of an actual time to the predicted one.
func (e *PredictionErrors) Observe(actual, predicted time.Duration) {
	ratio := float64(max(actual, time.Microsecond)) / float64(max(predicted, time.Microsecond))
	e.Count++
	e.LogSum += math.Log(ratio)
	if ratio > 1.5 {
		e.Over15++
	}
	if ratio > 2 {
		e.Over2++
	}
}

// Add adds the sums of other.
func (e *PredictionErrors) Add(other PredictionErrors) {
	e.Count += other.Count
	e.LogSum += other.LogSum
	e.Over15 += other.Over15
	e.Over2 += other.Over2
}

// MeanRatio returns the geometric mean of the ratios, or 0 without any.
func (e *PredictionErrors) MeanRatio() float64 {
	if e.Count == 0 {
		return 0
	}
	return math.Exp(e.LogSum / float64(e.Count))
}

// Shares returns the shares of the ratios above 1.5 and above 2.
func (e *PredictionErrors) Shares() (over15, over2 float64) {
	n := float64(max(1, e.Count))
	return float64(e.Over15) / n, float64(e.Over2) / n
}
