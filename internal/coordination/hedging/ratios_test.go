package hedging

import (
	"testing"
	"time"
)

// Guards against a delay that is not that of the 95th percentile, and against one that falls
// because the slowest requests are those that hedges end.
func TestQuantileCountsRequestsThatWereEnded(t *testing.T) {
	var responded, ended Ratios
	for i := range 2000 {
		ratio := 0.8 + 0.4*float64(i%100)/100
		responded.Observe(ratio, true)
		if i%20 == 0 { // 5 % are still without a response after twice the predicted time
			ended.Observe(2, false)
			continue
		}
		ended.Observe(ratio, true)
	}
	if q := responded.Quantile(0.95); q < 1.1 || q > 1.5 {
		t.Errorf("95th percentile of ratios from 0.8 to 1.2 is %.2f", q)
	}
	if q := ended.Quantile(0.99); q < 2 {
		t.Errorf("99th percentile is %.2f although one request in 20 took longer than 2", q)
	}
	if q := new(Ratios).Quantile(0.95); q != defaultQuantile {
		t.Errorf("95th percentile is %.2f without observations", q)
	}
}

// Guards against a hedge of a request that will respond soon, and against waiting for one that
// is silent for longer than all others.
func TestRestOfARequest(t *testing.T) {
	var r Ratios
	for i := range 2000 {
		r.Observe(0.8+0.4*float64(i%100)/100, true)
	}
	const predicted = 100 * time.Millisecond
	if rest := r.Rest(predicted, 80*time.Millisecond); rest > 60*time.Millisecond {
		t.Errorf("rest after 80 ms is %s, though all take 120 ms or less", rest)
	}
	if rest := r.Rest(predicted, 400*time.Millisecond); rest != 400*time.Millisecond {
		t.Errorf("rest after 400 ms is %s, want as long again", rest)
	}
}
