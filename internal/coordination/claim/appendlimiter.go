package claim

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// The log service takes several hundred appends a second from all processes
// together, and a process knows neither that limit nor how many others append. Its
// rate therefore adapts by additive increase and multiplicative decrease: it rises
// with each append that succeeds at once and falls with each that has to be retried.
const (
	initialRate        = 40.0  // appends a second
	minRate            = 5.0   // appends a second
	maxRate            = 100.0 // appends a second
	rateIncrease       = 0.5   // appends a second, added for each success
	rateDecreaseFactor = 0.7   // applied for each append that is retried
	appendBurst        = 8     // appends that need not wait after an idle time
)

// appendLimiter limits the rate of appends of one process over all partitions.
type appendLimiter struct {
	bucket *rate.Limiter
	mu     sync.Mutex // guards changes of the rate
}

func newAppendLimiter() *appendLimiter {
	return &appendLimiter{bucket: rate.NewLimiter(initialRate, appendBurst)}
}

// wait waits until the next append is allowed.
func (l *appendLimiter) wait(ctx context.Context) error { return l.bucket.Wait(ctx) }

// adjustRate adapts the rate to the number of calls that an append took.
func (l *appendLimiter) adjustRate(attempts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newRate := float64(l.bucket.Limit())
	if attempts > 1 {
		newRate = max(minRate, newRate*rateDecreaseFactor)
	} else {
		newRate = min(maxRate, newRate+rateIncrease)
	}
	l.bucket.SetLimit(rate.Limit(newRate))
}
